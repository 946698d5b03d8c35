"""Endpoints for the platform's calls: configuration, evacuations, look-ups, readiness."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, unquote

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason
from marigoldtrail.platform.json_elements import is_nested_over
from marigoldtrail.relay import CallerRequest, Reply
from marigoldtrail.relay.endpoints import Handler
from marigoldtrail.routing.bounds import MAX_INLINE_PARSE_BYTES
from marigoldtrail.site.lookup import FindEntries

if TYPE_CHECKING:
    from marigoldtrail.site.operations import Operations

_JSON = [(b"content-type", b"application/json")]
_RETRY = [*_JSON, (b"retry-after", b"0.3")]
# Configurations need 6. How many a host can decode depends on its stack, so that one that is
# accepted near that limit might not come into force everywhere.
MAX_CONFIG_LEVELS = 64
_EVACUATIONS = "/-/evacuations/"
_encode = msgspec.json.Encoder().encode


def make_operator_handler(operations: Operations) -> Handler:
    """Return the handler of the operators' API."""

    async def handle(request: CallerRequest) -> Reply:
        if request.path == "/-/config" and request.method == b"PUT":
            fault = await _find_unreadable_part(request.body)
            if fault:
                return Reply(status=400, headers=_JSON, body=_encode({"faults": [fault]}))
            outcome = await operations.submit_routes(request.body)
            if isinstance(outcome, Failure):
                return _failure_reply(outcome)
            if outcome.outcome == "invalid":
                return Reply(status=400, headers=_JSON, body=_encode({"faults": outcome.faults}))
            return Reply(status=200, headers=_JSON, body=_encode({"version": outcome.version}))
        if request.path == "/-/config" and request.method == b"GET":
            reply = await operations.get_routes()
            if isinstance(reply, Failure):
                return _failure_reply(reply)
            return Reply(status=200, headers=_JSON, body=reply.document)
        if request.path.startswith(_EVACUATIONS) and request.method in (b"POST", b"DELETE"):
            data_centre = unquote(request.path.removeprefix(_EVACUATIONS))
            if not operations.is_data_centre(data_centre):
                status, headers = (
                    (503, _RETRY) if operations.may_miss_data_centres() else (404, _JSON)
                )
                return Reply(
                    status=status, headers=headers, body=_encode({"error": "unknown zone"})
                )
            outcome = await operations.set_takeout(data_centre, out=request.method == b"POST")
            if isinstance(outcome, Failure):
                return _failure_reply(outcome)
            return Reply(status=200, headers=_JSON, body=b"{}")
        return Reply(status=404, headers=_JSON, body=_encode({"error": "unknown call"}))

    return handle


async def _find_unreadable_part(body: bytes) -> str:
    """Return why a document can't be read in full; empty if it can, as far as is known here."""
    try:
        # The decoder does not check the encoding of fields that it skips.
        body.decode()
    except UnicodeDecodeError as exc:
        return f"config: {exc.reason} at byte {exc.start}"
    if len(body) > MAX_INLINE_PARSE_BYTES:
        is_too_deep = await trio.to_thread.run_sync(is_nested_over, body, MAX_CONFIG_LEVELS)
    else:
        is_too_deep = is_nested_over(body, MAX_CONFIG_LEVELS)
    return f"config: nested more than {MAX_CONFIG_LEVELS} levels deep" if is_too_deep else ""


def _failure_reply(failure: Failure) -> Reply:
    # Another control host, or this one after a retry, may be able to answer.
    status = 404 if failure.reason is Reason.NOT_FOUND else 503
    return Reply(status=status, headers=_RETRY, body=_encode({"error": str(failure)}))


def make_lookup_handler(find_entries: FindEntries) -> Handler:
    """Return the handler of callers' address look-ups."""

    async def handle(request: CallerRequest) -> Reply:
        if request.path != "/-/resolve":
            return Reply(status=404)
        query = parse_qs(request.target.partition(b"?")[2].decode("latin-1"))
        found = find_entries(query.get("region", [""])[0], query.get("zone", [""])[0])
        if not found.addresses:
            return Reply(status=503, headers=_RETRY)
        body = _encode({"addresses": found.addresses, "ttl_s": found.ttl_s})
        return Reply(status=200, headers=_JSON, body=body)

    return handle


def make_ready_handler(is_ready: Callable[[], bool]) -> Handler:
    """Return the handler of readiness checks."""

    async def handle(request: CallerRequest) -> Reply:
        return Reply(status=200 if is_ready() else 503)

    return handle
