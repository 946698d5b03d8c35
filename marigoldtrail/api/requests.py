"""Handlers of pipeline requests: parsing, execution, JSON and streamed responses."""

from __future__ import annotations

import hashlib
import json
from typing import Any

import msgspec
import trio
from opentelemetry import context as otel_context
from opentelemetry import trace
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from marigoldtrail.api.context import ApiContext, record_to_dict
from marigoldtrail.api.http import (
    ApiRequest,
    Response,
    encode_json,
    failure_response,
    json_response,
)
from marigoldtrail.api.problems import bad_request_failure, build_problem
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.fleet import new_request_id
from marigoldtrail.schema.generated.manifest import Pipeline
from marigoldtrail.serving import PipelineRequest
from marigoldtrail.telemetry import request_id_var

MAX_DEADLINE_MS = 11_000
MAX_PRIORITY = 9

_BODY_FIELDS = ("input", "deadline_ms", "stream")
_trace_propagator = TraceContextTextMapPropagator()


class TokenEvent(msgspec.Struct, frozen=True):
    """Payload of a ``token`` event."""

    n: int
    text: str


class EndMarker(msgspec.Struct, frozen=True):
    """Payload of an ``end`` event."""

    count: int
    digest: str
    request_id: str


async def run_pipeline(ctx: ApiContext, req: ApiRequest) -> Response | None:
    """
    Handle ``POST /v1/pipelines/{name}/requests``.

    Parameters
    ----------
    ctx : ApiContext
        Components of the node.
    req : ApiRequest
        The request.

    Returns
    -------
    Response or None
        None if the response was streamed or the caller has disconnected.
    """
    received_at = ctx.timers.now()
    token = otel_context.attach(extract_trace(req))
    try:
        with ctx.telemetry.span("api.request", pipeline=req.params["name"]) as span:
            parsed = await parse_request(ctx, req, received_at)
            if isinstance(parsed, Failure):
                return _refuse_unparsed(ctx, parsed)
            span.set_attribute("request_id", parsed.request_id)
            add_response_headers(req, parsed, span)
            log_token = request_id_var.set(parsed.request_id)
            try:
                return await _run_parsed(ctx, req, parsed)
            finally:
                request_id_var.reset(log_token)
    finally:
        otel_context.detach(token)


def _refuse_unparsed(ctx: ApiContext, failure: Failure) -> Response:
    if failure.reason is Reason.BAD_REQUEST:
        return failure_response(failure)
    return ctx.refuse(failure)


async def _run_parsed(ctx: ApiContext, req: ApiRequest, parsed: PipelineRequest) -> Response | None:
    writer = EventWriter(req=req)
    result: Any = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_at_disconnect, req, nursery.cancel_scope)
        if parsed.stream:
            nursery.start_soon(writer.run)
        result = await ctx.server.run_request(parsed, writer)
        if parsed.stream:
            await writer.close()
        nursery.cancel_scope.cancel()
    if result is None:
        # The caller disconnected and cannot receive a response.
        ctx.telemetry.metrics.count("caller_gone")
        return None
    if isinstance(result, Failure):
        return await _send_refusal(ctx, req, parsed, result)
    return await _send_answer(req, parsed, result)


async def _cancel_at_disconnect(req: ApiRequest, scope: trio.CancelScope) -> None:
    await req.wait_for_disconnect()
    scope.cancel()


async def _send_refusal(
    ctx: ApiContext, req: ApiRequest, parsed: PipelineRequest, failure: Failure
) -> Response | None:
    if not req.has_started:
        return ctx.refuse(failure, request_id=parsed.request_id)
    problem = build_problem(
        failure, request_id=parsed.request_id, alternatives=ctx.find_alternatives(failure)
    )
    await req.send_chunk(b"event: refusal\ndata: " + encode_json(problem) + b"\n\n")
    await req.end_response()
    return None


async def _send_answer(req: ApiRequest, parsed: PipelineRequest, answer: Any) -> Response | None:
    if not parsed.stream:
        end = {"count": answer.count, "digest": answer.digest}
        body = {"request_id": parsed.request_id, "output": answer.output, "end": end}
        return json_response(body)
    if not req.has_started:
        await start_events(req)
    end_marker = EndMarker(answer.count, answer.digest, parsed.request_id)
    await req.send_chunk(b"event: end\ndata: " + encode_json(end_marker) + b"\n\n")
    await req.end_response()
    return None


async def start_events(req: ApiRequest) -> None:
    """Send the status and headers of a streamed response."""
    headers = [(b"content-type", b"text/event-stream"), (b"cache-control", b"no-store")]
    await req.start_response(200, [*headers, *req.response_headers])


class EventWriter:
    """
    Streams the tokens of a request to its caller as server-sent events.

    A slow reader delays neither the pipeline nor its engine: tokens that cannot be sent yet are
    buffered and merged into the next event. The pipeline bounds the number of tokens.

    Parameters
    ----------
    req : ApiRequest
        Request whose response carries the events.
    """

    __slots__ = ("_req", "_first", "_texts", "_wakeup", "_is_closing", "_done")

    def __init__(self, *, req: ApiRequest) -> None:
        self._req = req
        self._first = 0
        self._texts: list[str] = []
        self._wakeup = trio.Event()
        self._is_closing = False
        self._done = trio.Event()

    async def token(self, first: int, text: str) -> None:
        """Buffer the tokens that follow those buffered before."""
        if not self._texts:
            self._first = first
        self._texts.append(text)
        self._wakeup.set()

    async def run(self) -> None:
        """Send events until `close` is called."""
        while True:
            if self._texts:
                await self._send_event()
            elif self._is_closing:
                self._done.set()
                return
            else:
                self._wakeup = trio.Event()
                await self._wakeup.wait()

    async def _send_event(self) -> None:
        data = TokenEvent(self._first, "".join(self._texts))
        self._texts.clear()
        if not self._req.has_started:
            await start_events(self._req)
        await self._req.send_chunk(b"event: token\ndata: " + encode_json(data) + b"\n\n")

    async def close(self) -> None:
        """Send the buffered tokens and wait until they are sent."""
        self._is_closing = True
        self._wakeup.set()
        await self._done.wait()


async def parse_request(
    ctx: ApiContext, req: ApiRequest, received_at: float
) -> PipelineRequest | Failure:
    """
    Parse and check a request of a caller.

    Parameters
    ----------
    ctx : ApiContext
        Components of the node.
    req : ApiRequest
        The request.
    received_at : float
        Monotonic time of arrival in seconds, from which the deadline is counted.

    Returns
    -------
    PipelineRequest or Failure
        The request, or the first fault with its location and the allowed values.
    """
    pipeline = find_pipeline(ctx, req.params["name"], has_key=b"idempotency-key" in req.headers)
    if isinstance(pipeline, Failure):
        return pipeline
    client_account = find_account(ctx, req)
    if isinstance(client_account, Failure):
        return client_account
    key = req.get_header(b"idempotency-key")
    if isinstance(key, Failure):
        return key
    if not key and b"idempotency-key" in req.headers:
        return bad_request_failure("header idempotency-key: must not be empty")
    priority = parse_priority(req, pipeline.priority)
    if isinstance(priority, Failure):
        return priority
    body = await req.read_json(ctx.max_body_bytes)
    if isinstance(body, Failure):
        return body
    deadline_ms = check_body(body, pipeline)
    if isinstance(deadline_ms, Failure):
        return deadline_ms
    try:
        digest = digest_request(pipeline.name, body["input"])
    except ValueError as exc:
        return bad_request_failure(f"body: $.input: {exc}")
    request_id = new_request_id(client_account, ctx.control.record_groups)
    return PipelineRequest(
        request_id=request_id,
        pipeline=pipeline.name,
        client_account=client_account,
        idempotency_key=key or request_id,
        priority=priority,
        deadline=received_at + deadline_ms / 1000,
        input=body["input"],
        stream=body.get("stream", False),
        digest=digest,
    )


def find_pipeline(ctx: ApiContext, name: str, *, has_key: bool = False) -> Pipeline | Failure:
    """
    Return a pipeline of the manifest in force.

    Parameters
    ----------
    ctx : ApiContext
        Parts of the node.
    name : str
        Name of the pipeline.
    has_key : bool
        Whether the caller sent an idempotency key; an earlier request with this key may have run.

    Returns
    -------
    Pipeline or Failure
        The pipeline; the failure lists the known pipelines.
    """
    manifest = ctx.view.manifest
    if manifest is None:
        return Failure(
            reason=Reason.VIEW_NOT_CURRENT,
            run_state=RunState.MAY_HAVE_RUN if has_key else RunState.NOT_RUN,
            step="request.parse",
            peer=ctx.host,
            detail="no manifest is known yet",
            retry_after_s=1.0,
        )
    for pipeline in manifest.pipelines:
        if pipeline.name == name:
            return pipeline
    known = ", ".join(pipeline.name for pipeline in manifest.pipelines)
    return Failure(
        reason=Reason.UNKNOWN_PIPELINE,
        run_state=RunState.NOT_RUN,
        step="request.parse",
        detail=f"path: {name[:80]!r} is not one of the pipelines {known}",
    )


def find_account(ctx: ApiContext, req: ApiRequest) -> str | Failure:
    """Return the client account of a request, checked if the manifest lists any accounts."""
    client_account = req.get_header(b"client-account")
    if isinstance(client_account, Failure):
        return client_account
    if not client_account:
        return bad_request_failure("header client-account: missing")
    manifest = ctx.view.manifest
    accounts = manifest.client_accounts if manifest is not None else []
    if accounts and not any(account.name == client_account for account in accounts):
        return Failure(
            reason=Reason.UNKNOWN_ACCOUNT,
            run_state=RunState.NOT_RUN,
            step="request.parse",
            detail=f"header client-account: {client_account!r} is not in the manifest",
        )
    return client_account


def parse_priority(req: ApiRequest, default: int) -> int | Failure:
    """Return the priority of a request."""
    text = req.get_header(b"request-priority", str(default))
    if isinstance(text, Failure):
        return text
    if len(text) != 1 or not text.isdigit():
        detail = f"header request-priority: {text!r} is not a number from 0 to {MAX_PRIORITY}"
        return bad_request_failure(detail)
    return int(text)


def check_body(body: dict[str, Any], pipeline: Pipeline) -> int | Failure:
    """Check the fields of a body; return the deadline in milliseconds."""
    for name in body:
        if name not in _BODY_FIELDS:
            allowed = ", ".join(_BODY_FIELDS)
            return bad_request_failure(f"body: $.{name[:40]}: unknown; allowed are {allowed}")
    if "input" not in body:
        return bad_request_failure("body: $.input: missing")
    if not isinstance(body.get("stream", False), bool):
        return bad_request_failure("body: $.stream: true or false is expected")
    deadline_ms = body.get("deadline_ms", pipeline.deadline_ms)
    if type(deadline_ms) is not int or not 1 <= deadline_ms <= MAX_DEADLINE_MS:
        detail = f"body: $.deadline_ms: a whole number from 1 to {MAX_DEADLINE_MS} is expected"
        return bad_request_failure(detail)
    return deadline_ms


def digest_request(pipeline: str, value: Any) -> str:
    """
    Return the digest that identifies repetitions of a request.

    Parameters
    ----------
    pipeline : str
        Name of the pipeline.
    value : object
        JSON input; the order of its keys has no effect.

    Returns
    -------
    str
        SHA-256 in hexadecimal digits.

    Raises
    ------
    ValueError
        If a number is infinite or a text is not valid Unicode.
    """
    text = json.dumps([pipeline, value], sort_keys=True, ensure_ascii=False, allow_nan=False)
    return hashlib.sha256(text.encode()).hexdigest()


def extract_trace(req: ApiRequest) -> otel_context.Context:
    """Return the trace context of the ``traceparent`` header; empty if missing or invalid."""
    value = req.headers.get(b"traceparent", b"").decode("latin-1")
    carrier = {"traceparent": value} if value else {}
    return _trace_propagator.extract(carrier, context=otel_context.Context())


def add_response_headers(req: ApiRequest, parsed: PipelineRequest, span: trace.Span) -> None:
    """Add request id, idempotency key and trace context to the response headers."""
    req.response_headers += [
        (b"request-id", parsed.request_id.encode()),
        (b"idempotency-key", parsed.idempotency_key.encode()),
    ]
    context = span.get_span_context()
    if context.is_valid:
        flags = int(context.trace_flags)
        value = f"00-{context.trace_id:032x}-{context.span_id:016x}-{flags:02x}"
        req.response_headers.append((b"traceparent", value.encode()))


async def show_request(ctx: ApiContext, req: ApiRequest) -> Response:
    """Handle ``GET /v1/requests/{request_id}``."""
    record = await ctx.server.find_request(req.params["request_id"])
    if isinstance(record, Failure):
        return ctx.refuse(record, request_id=req.params["request_id"])
    return json_response(record_to_dict(record))


async def show_results(ctx: ApiContext, req: ApiRequest) -> Response:
    """Handle ``GET /v1/results/{digest}``."""
    records = await ctx.server.find_result(req.params["digest"])
    if isinstance(records, Failure):
        return ctx.refuse(records)
    return json_response({"records": [record_to_dict(record) for record in records]})
