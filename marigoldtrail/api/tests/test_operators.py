"""Tests of the routes for operators."""

import json

import msgspec

from marigoldtrail.api.tests.helpers import MANIFEST, Rig, check_problem, make_node
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.schema.generated.control import DecisionsReply, ManifestReply, SubmitReply
from marigoldtrail.schema.generated.records import ClaimReply, ClaimsReply, ClaimStatus

NO_QUORUM = Failure(reason=Reason.NO_QUORUM, run_state=RunState.NOT_RUN, step="config")


def make_claim(stage="deposit", account="acme"):
    return ClaimStatus(
        client_account=account,
        idempotency_key="a/b",
        stage=stage,
        request_id="00r",
        attempt_id="a1",
        digest="d",
        entry="a",
        upstream="ledger-1",
        state="may_have_run",
        opened_ms=1,
    )


async def test_addresses_need_a_current_view(autojump_clock):
    """Guards against addresses from an entry whose view of the fleet is outdated."""
    rig = Rig(nodes=[make_node("b", "nbo-1")])
    status, _, body = await rig.send_request("GET", "/v1/addresses?data_centre=nbo-1")
    answer = json.loads(body)
    assert status == 200 and answer["max_age_s"] == 5
    assert [entry["host"] for entry in answer["addresses"]] == ["b"]
    rig.view._current_until = float("-inf")
    check_problem(await rig.send_request("GET", "/v1/addresses"), 503, reason="view_not_current")


async def test_manifest_outcomes(autojump_clock):
    """Guards against reporting a conflicting or invalid manifest as accepted."""
    rig = Rig()
    document = msgspec.json.encode(MANIFEST)
    headers = [(b"operator", b"ana")]
    rig.control.replies["submit_manifest"] = SubmitReply(outcome="accepted", number=1)
    status, _, _ = await rig.send_request("PUT", "/v1/manifest", headers=headers, body=document)
    ((_, (request,)),) = rig.control.calls
    assert (status, request.operator, request.document) == (200, "ana", document)
    rig.control.replies["submit_manifest"] = SubmitReply(
        outcome="conflict", number=1, winner_operator="bea"
    )
    response = await rig.send_request("PUT", "/v1/manifest", body=document)
    problem = check_problem(response, 409, reason="key_mismatch", text="conflict")
    assert problem.extra["winner_operator"] == "bea" and "by bea" in problem.detail
    bad = msgspec.json.encode({**MANIFEST, "number": 0, "colour": "red"})
    problem = check_problem(await rig.send_request("PUT", "/v1/manifest", body=bad), 400)
    assert len(problem.faults) == 2 and any("$.number" in fault for fault in problem.faults)
    rig.control.replies["get_manifest"] = ManifestReply(number=1, digest="d", document=document)
    _, _, body = await rig.send_request("GET", "/v1/manifest")
    assert json.loads(body) == {"number": 1, "digest": "d", "manifest": MANIFEST}
    rig.control.replies["get_status"] = NO_QUORUM
    check_problem(await rig.send_request("GET", "/v1/status"), 503, reason="no_quorum")


async def test_service_changes_are_checked(autojump_clock):
    """Guards against service changes with an unknown kind or state."""
    rig = Rig()
    rig.control.replies["set_service"] = SubmitReply(outcome="accepted", number=3)
    body = b'{"state": "out", "number": 3, "operator": "ana"}'
    status, _, _ = await rig.send_request("PUT", "/v1/services/data_centre/nbo%2F1", body=body)
    ((_, (request,)),) = rig.control.calls
    assert status == 200 and (request.kind, request.name) == ("data_centre", "nbo/1")
    path = "/v1/services/host/h"
    check_problem(
        await rig.send_request("PUT", "/v1/services/rack/h", body=body), 400, text="data_centre"
    )
    for bad in (b'{"state": "off", "number": 3, "operator": "ana"}', b'{"state": "out"}'):
        check_problem(await rig.send_request("PUT", path, body=bad), 400, text="body")
    assert len(rig.control.calls) == 1


async def test_decisions_of_all_nodes_are_joined(autojump_clock):
    """Guards against silently omitting the decisions of other nodes."""
    nodes = [make_node("a", "nbo-1"), make_node("b", "nbo-1"), make_node("c", "nbo-1")]
    rig = Rig(nodes=[*nodes, make_node("d", "nbo-1", state="dead")])
    rig.telemetry.decisions.add("refuse", "quotes", "overloaded", request_id="00r")
    local = rig.telemetry.decisions.find()
    other = msgspec.structs.replace(local[0], wall_ms=1, host="b")

    def reply(host, request):
        return DecisionsReply(decisions=[other]) if host == "b" else NO_QUORUM

    rig.control.replies["get_decisions"] = reply
    _, _, body = await rig.send_request("GET", "/v1/decisions?request_id=00r")
    answer = json.loads(body)
    assert [decision["host"] for decision in answer["decisions"]] == ["b", "a"]
    assert answer["unreachable"] == ["c"]


async def test_claims_are_listed_completely_and_settled(autojump_clock):
    """Guards against partial lists, and against settling the wrong stage or attempt."""
    rig = Rig()
    path = "/v1/claims/acme/a%2Fb/settle"
    body = b'{"state": "done", "operator": "ana", "answer": {"receipt": 1}}'
    rig.control.replies["list_claims"] = NO_QUORUM
    check_problem(await rig.send_request("GET", "/v1/claims"), 503, reason="no_quorum")
    rig.control.replies["list_claims"] = ClaimsReply(claims=[])
    check_problem(await rig.send_request("POST", path, body=body), 404, reason="not_found")
    rig.control.replies["list_claims"] = ClaimsReply(claims=[make_claim(), make_claim("order")])
    check_problem(await rig.send_request("POST", path, body=body), 400, text="deposit, order")
    rig.control.replies["settle_claim"] = ClaimReply(state="done", request_id="00r")
    settled = body.replace(b'"operator"', b'"stage": "order", "operator"')
    status, _, _ = await rig.send_request("POST", path, body=settled)
    name, (request,) = rig.control.calls[-1]
    assert (status, name, request.stage, request.state) == (200, "settle_claim", "order", "done")
    assert json.loads(request.answer) == {"receipt": 1} and request.operator == "ana"
    for attempt, expected in ((b"a1", 200), (b"a2", 404)):
        one = settled.replace(b'"operator"', b'"attempt_id": "%s", "operator"' % attempt)
        assert (await rig.send_request("POST", path, body=one))[0] == expected
    for bad in (b"{}", b'{"state": "done", "operator": "ana"}', body.replace(b"ana", b"")):
        check_problem(await rig.send_request("POST", path, body=bad), 400, text="body")
