"""Handlers of the address route for callers and of the routes for operators."""

from __future__ import annotations

from typing import Any

import msgspec
import trio

from marigoldtrail.api.addresses import AddressResponse, rank_addresses
from marigoldtrail.api.context import ApiContext, not_found_failure
from marigoldtrail.api.display import format_ms
from marigoldtrail.api.http import (
    ApiRequest,
    Response,
    check_text,
    encode_json,
    failure_response,
    json_response,
)
from marigoldtrail.api.problems import bad_request_failure
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.fleet import record_group_of
from marigoldtrail.schema import parse_manifest
from marigoldtrail.schema.documents import MAX_DOCUMENT_BYTES
from marigoldtrail.schema.generated.control import (
    Decision,
    GetDecisions,
    SetService,
    SubmitManifest,
    SubmitReply,
)
from marigoldtrail.schema.generated.records import ClaimStatus, ListClaims, SettleClaim

MAX_SMALL_BODY_BYTES = 65536
MAX_LIMIT = 1000
DEFAULT_LIMIT = 100
# Limit of concurrent decision queries; a fleet has up to 330 nodes.
MAX_PARALLEL_CALLS = 32
DECISIONS_TIMEOUT_S = 1.0

SERVICE_KINDS = ("data_centre", "host", "upstream")
SERVICE_STATES = ("in", "out")
CLAIM_STATES = ("pending", "done", "may_have_run")
SETTLED_STATES = ("done", "not_run")


async def list_addresses(ctx: ApiContext, req: ApiRequest) -> Response:
    """Handle ``GET /v1/addresses``."""
    query = req.parse_query(("data_centre",))
    if isinstance(query, Failure):
        return failure_response(query)
    if not ctx.view.is_current():
        failure = Failure(
            reason=Reason.VIEW_NOT_CURRENT,
            run_state=RunState.NOT_RUN,
            step="addresses",
            peer=ctx.host,
            detail="this entry does not know the present state of the fleet",
            retry_after_s=1.0,
        )
        return ctx.refuse(failure)
    entries = rank_addresses(ctx.view, ctx.rng, query.get("data_centre", ""))
    return json_response(AddressResponse(addresses=entries))


async def submit_manifest(ctx: ApiContext, req: ApiRequest) -> Response:
    """Handle ``PUT /v1/manifest``; the header ``Operator`` holds the operator's name."""
    operator = req.get_header(b"operator", "unnamed")
    if isinstance(operator, Failure):
        return failure_response(operator)
    document = await req.read_body(MAX_DOCUMENT_BYTES)
    if isinstance(document, Failure):
        return failure_response(document)
    manifest = parse_manifest(document)
    if isinstance(manifest, list):
        faults = [str(fault) for fault in manifest]
        return ctx.refuse(bad_request_failure(faults[0], step="manifest.parse"), faults=faults)
    reply = await ctx.control.submit_manifest(SubmitManifest(document=document, operator=operator))
    return _submit_response(ctx, reply, "manifest.submit")


def _submit_response(ctx: ApiContext, reply: SubmitReply | Failure, step: str) -> Response:
    if isinstance(reply, Failure):
        return ctx.refuse(reply)
    if reply.outcome in ("accepted", "repeated"):
        return json_response(reply)
    reason = Reason.BAD_REQUEST if reply.outcome == "invalid" else Reason.KEY_MISMATCH
    failure = Failure(
        reason=reason,
        run_state=RunState.NOT_RUN,
        step=step,
        detail=describe_refusal(reply, step),
    )
    extra = {
        "outcome": reply.outcome,
        "number": str(reply.number),
        "digest": reply.digest,
        "winner_operator": reply.winner_operator,
        "winner_wall_ms": str(reply.winner_wall_ms),
    }
    return ctx.refuse(failure, faults=reply.faults, extra=extra)


def describe_refusal(reply: SubmitReply, step: str) -> str:
    """
    Describe why a change was refused, and which change is in force instead.

    Parameters
    ----------
    reply : SubmitReply
        Reply with an outcome other than accepted or repeated.
    step : str
        Step at which it was refused.

    Returns
    -------
    str
        Outcome, number in force, and the known facts about the winning change: operator, time,
        and the digest of a manifest or the state of a service.
    """
    text = f"{reply.outcome}: number {reply.number} is in force"
    if reply.winner_operator:
        text += f", submitted by {reply.winner_operator}"
    if reply.winner_wall_ms:
        text += f" at {format_ms(reply.winner_wall_ms)}"
    label = "digest" if step == "manifest.submit" else "state"
    return text + (f", {label} {reply.digest[:12]}" if reply.digest else "")


async def show_manifest(ctx: ApiContext, req: ApiRequest) -> Response:
    """Handle ``GET /v1/manifest``."""
    reply = await ctx.control.get_manifest()
    if isinstance(reply, Failure):
        return ctx.refuse(reply)
    if not reply.document:
        return ctx.refuse(
            not_found_failure("no manifest has been accepted yet", step="manifest.show")
        )
    document = msgspec.Raw(reply.document)
    return json_response({"number": reply.number, "digest": reply.digest, "manifest": document})


async def set_service(ctx: ApiContext, req: ApiRequest) -> Response:
    """Handle ``PUT /v1/services/{kind}/{name}``."""
    if req.params["kind"] not in SERVICE_KINDS:
        detail = f"path: {req.params['kind'][:40]!r} is not one of {', '.join(SERVICE_KINDS)}"
        return failure_response(bad_request_failure(detail))
    body = await req.read_json(MAX_SMALL_BODY_BYTES)
    if isinstance(body, Failure):
        return failure_response(body)
    request = _parse_fields(
        {**body, "kind": req.params["kind"], "name": req.params["name"]},
        SetService,
        ("state", "number", "operator"),
        body,
    )
    if isinstance(request, Failure):
        return failure_response(request)
    operator = check_text(request.operator, "body: $.operator")
    if isinstance(operator, Failure):
        return failure_response(operator)
    return _submit_response(ctx, await ctx.control.set_service(request), "service.set")


def _parse_fields(
    fields: dict[str, Any], target: type[Any], allowed: tuple[str, ...], body: dict[str, Any]
) -> Any:
    for name in body:
        if name not in allowed:
            detail = f"body: $.{name[:40]}: unknown; allowed are {', '.join(allowed)}"
            return bad_request_failure(detail)
    try:
        return msgspec.convert(fields, target)
    except msgspec.ValidationError as exc:
        return bad_request_failure(f"body: {exc}")


async def show_status(ctx: ApiContext, req: ApiRequest) -> Response:
    """Handle ``GET /v1/status``."""
    reply = await ctx.control.get_status()
    return ctx.refuse(reply) if isinstance(reply, Failure) else json_response(reply)


def parse_limit(text: str) -> int | Failure:
    """
    Parse the query field ``limit``.

    Parameters
    ----------
    text : str
        Text of the field; empty for the default.

    Returns
    -------
    int or Failure
        From 1 to `MAX_LIMIT`.
    """
    if not text:
        return DEFAULT_LIMIT
    if not text.isdigit() or not 1 <= int(text) <= MAX_LIMIT:
        return bad_request_failure(
            f"query: limit: a whole number from 1 to {MAX_LIMIT} is expected"
        )
    return int(text)


async def list_decisions(ctx: ApiContext, req: ApiRequest) -> Response:
    """Handle ``GET /v1/decisions``: merge recent decisions of all reachable nodes."""
    query = req.parse_query(("request_id", "upstream", "limit"))
    if isinstance(query, Failure):
        return failure_response(query)
    limit = parse_limit(query.get("limit", ""))
    if isinstance(limit, Failure):
        return failure_response(limit)
    request = GetDecisions(
        request_id=query.get("request_id", ""), subject=query.get("upstream", ""), limit=limit
    )
    decisions = ctx.telemetry.decisions.find(
        request_id=request.request_id, subject=request.subject, limit=limit
    )
    unreachable = await _query_nodes(ctx, request, decisions)
    decisions.sort(key=lambda decision: decision.wall_ms)
    return json_response({"decisions": decisions[-limit:], "unreachable": sorted(unreachable)})


async def _query_nodes(
    ctx: ApiContext, request: GetDecisions, decisions: list[Decision]
) -> list[str]:
    unreachable: list[str] = []
    limiter = trio.CapacityLimiter(MAX_PARALLEL_CALLS)

    async def query_node(host: str) -> None:
        async with limiter:
            reply = await ctx.control.get_decisions(host, request, timeout_s=DECISIONS_TIMEOUT_S)
        if isinstance(reply, Failure):
            unreachable.append(host)
        else:
            decisions.extend(reply.decisions)

    async with trio.open_nursery() as nursery:
        for node in ctx.view.nodes:
            if node.host != ctx.host and node.state != "dead":
                nursery.start_soon(query_node, node.host)
    return unreachable


async def list_claims(ctx: ApiContext, req: ApiRequest) -> Response:
    """Handle ``GET /v1/claims``."""
    query = req.parse_query(("state", "client_account", "limit"))
    if isinstance(query, Failure):
        return failure_response(query)
    limit = parse_limit(query.get("limit", ""))
    if isinstance(limit, Failure):
        return failure_response(limit)
    state = query.get("state", "may_have_run")
    if state not in CLAIM_STATES:
        detail = f"query: state: {state!r} is not one of {', '.join(CLAIM_STATES)}"
        return failure_response(bad_request_failure(detail))
    claims = await find_claims(ctx, state, query.get("client_account", ""), limit)
    return ctx.refuse(claims) if isinstance(claims, Failure) else json_response({"claims": claims})


async def find_claims(
    ctx: ApiContext, state: str, client_account: str, limit: int
) -> list[ClaimStatus] | Failure:
    """
    List claims of all record groups or of one client account.

    Parameters
    ----------
    ctx : ApiContext
        Components of the node.
    state : str
        State of the claims to list.
    client_account : str
        Account whose claims to list; empty for all accounts.
    limit : int
        Maximum number of claims.

    Returns
    -------
    list of ClaimStatus or Failure
        Oldest first. If one group does not respond, the whole call fails, so that no claim is
        silently missing.
    """
    groups = ctx.control.record_groups
    if client_account:
        groups = [record_group_of(client_account, groups)]
    claims: list[ClaimStatus] = []
    for group in groups:
        fields = {
            "group": group,
            "state": state,
            "limit": limit,
            "client_account": client_account,
        }
        reply = await ctx.control.list_claims(msgspec.convert(fields, ListClaims))
        if isinstance(reply, Failure):
            return reply
        claims += reply.claims
    claims.sort(key=lambda claim: claim.opened_ms)
    return claims[:limit]


async def settle_claim(ctx: ApiContext, req: ApiRequest) -> Response:
    """
    Handle ``POST /v1/claims/{client_account}/{key}/settle``.

    The body is ``{"state": "done" or "not_run", "operator": s, "stage": s, "attempt_id": s,
    "answer": value}``. The stage may be omitted if the key has only one open claim, the answer
    unless the state is ``done``. With an attempt id, only the claim held by this attempt is
    settled.
    """
    body = await req.read_json(ctx.max_body_bytes)
    if isinstance(body, Failure):
        return failure_response(body)
    fault = _check_settlement(body)
    if fault is not None:
        return failure_response(fault)
    claim = await _find_claim_to_settle(ctx, req, body.get("stage", ""), body.get("attempt_id", ""))
    if isinstance(claim, Failure):
        return ctx.refuse(claim)
    request = SettleClaim(
        client_account=claim.client_account,
        idempotency_key=claim.idempotency_key,
        stage=claim.stage,
        request_id=claim.request_id,
        attempt_id=claim.attempt_id,
        state=body["state"],
        answer=encode_json(body["answer"]) if "answer" in body else b"",
        operator=body["operator"],
    )
    reply = await ctx.control.settle_claim(request)
    if isinstance(reply, Failure):
        return ctx.refuse(reply)
    answer = msgspec.Raw(reply.answer) if reply.answer else None
    return json_response({**msgspec.structs.asdict(reply), "answer": answer})


def _check_settlement(body: dict[str, Any]) -> Failure | None:
    allowed = ("state", "operator", "stage", "attempt_id", "answer")
    for name in body:
        if name not in allowed:
            return bad_request_failure(
                f"body: $.{name[:40]}: unknown; allowed are {', '.join(allowed)}"
            )
    if body.get("state") not in SETTLED_STATES:
        return bad_request_failure(f"body: $.state: one of {', '.join(SETTLED_STATES)} is expected")
    for name in ("operator", "stage", "attempt_id"):
        value = body.get(name, "")
        if not isinstance(value, str):
            return bad_request_failure(f"body: $.{name}: a text is expected")
        checked = check_text(value, f"body: $.{name}")
        if isinstance(checked, Failure):
            return checked
    if not body.get("operator"):
        return bad_request_failure("body: $.operator: missing")
    if body["state"] == "done" and "answer" not in body:
        return bad_request_failure("body: $.answer: needed for state 'done'")
    try:
        encode_json(body.get("answer"))
    except UnicodeEncodeError as exc:
        return bad_request_failure(f"body: $.answer: {exc}")
    return None


async def _find_claim_to_settle(
    ctx: ApiContext, req: ApiRequest, stage: str, attempt_id: str
) -> ClaimStatus | Failure:
    claims = await find_claims(ctx, "may_have_run", req.params["client_account"], MAX_LIMIT)
    if isinstance(claims, Failure):
        return claims
    found = [
        claim
        for claim in claims
        if claim.idempotency_key == req.params["key"]
        and stage in ("", claim.stage)
        and attempt_id in ("", claim.attempt_id)
    ]
    if not found:
        return not_found_failure("no claim with this key may have run", step="claim.settle")
    if len(found) > 1:
        stages = ", ".join(claim.stage for claim in found)
        return bad_request_failure(f"body: $.stage: needed; one of {stages}", step="claim.settle")
    return found[0]
