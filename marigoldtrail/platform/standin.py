"""
Peer side of the platform's formats, for stand-ins of upstreams, callers and operators.

In-memory tests of a site and the soak test of real processes use it, so that they contain none of
the platform's names.
"""

from __future__ import annotations

from typing import Any
from urllib.parse import urlencode

import msgspec

CONFIG_PATH = "/-/config"
HEALTH_PATH = "/health"
PIECES_PATH = "/-/stage-run"
FREE_PATH = "/-/stage-free"
INTERNAL_PREFIX = "/-/"
NOT_RUN = {"x-not-executed": "1"}
STATUS_OTHER_UPSTREAM = 421
STATUS_MISSING_INPUTS = 409
GONE = "gone"

_encode = msgspec.json.Encoder().encode


class ReceivedRequest(msgspec.Struct, kw_only=True, frozen=True):
    """
    Content of the headers of a request at an upstream.

    Parameters
    ----------
    request_id, account, resume_after : str
        Request id, client account, and id of the last event that the caller received.
    inputs : tuple of str
        Handles of the results that the request reads.
    prompt : tuple of str
        Identities of the parts of the prompt.
    """

    request_id: str
    account: str
    resume_after: str
    inputs: tuple[str, ...]
    prompt: tuple[str, ...]


class ReceivedPiece(msgspec.Struct, kw_only=True, frozen=True):
    """
    One piece that an upstream is asked to run.

    Parameters
    ----------
    request_id : str
        Id of the request.
    stage, index : int
        Index of the stage, and of the piece within the stage.
    key : str or None
        Key of the input of a first stage.
    inputs : tuple of str
        Handles of the results that the piece reads.
    """

    request_id: str = msgspec.field(name="id")
    stage: int
    index: int = msgspec.field(name="piece")
    key: str | None = None
    inputs: tuple[str, ...] = ()


class _PieceCall(msgspec.Struct):
    items: list[ReceivedPiece]


_piece_decoder = msgspec.json.Decoder(_PieceCall)


def make_list_entry(
    name: str,
    service: str,
    address: str,
    data_centre: str,
    *,
    state: str = "ready",
    version: str = "v1",
) -> dict[str, Any]:
    """Return an upstream in the format of the platform's list."""
    return {
        "id": name,
        "service": service,
        "address": address,
        "zone": data_centre,
        "version": version,
        "slots": 4,
        "state": state,
        "cold_remaining_ms": 0,
    }


def build_page(entries: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the platform's list as a single page."""
    return {"instances": entries, "next": None}


def is_addressed_to(headers: dict[str, str], name: str) -> bool:
    """Return whether a call is addressed to the named upstream or to any."""
    return headers.get("x-expect-instance", name) == name


def read_received(headers: dict[str, str]) -> ReceivedRequest:
    """Return the content of the headers of a request at an upstream."""
    inputs = headers.get("x-inputs", "")
    prompt = headers.get("x-prompt-prefix", "")
    return ReceivedRequest(
        request_id=headers.get("x-request-id", ""),
        account=headers.get("x-tenant", ""),
        resume_after=headers.get("last-event-id", ""),
        inputs=tuple(inputs.split(",")) if inputs else (),
        prompt=tuple(part.partition(":")[0] for part in prompt.split(",") if part),
    )


def read_pieces(body: bytes) -> list[ReceivedPiece]:
    """Decode the pieces of a call."""
    return _piece_decoder.decode(body).items


def build_results(results: list[str | None]) -> dict[str, Any]:
    """Return the answer to a call with pieces; None means that the inputs of a piece are lost."""
    return {"items": [{"handle": item} if item else {"reason": GONE} for item in results]}


def make_answer_headers(request_id: str, seal: str) -> dict[str, str]:
    """Return the headers of a signed answer."""
    return {"x-request-id": request_id, "x-response-seal": seal}


def make_limit_headers(limit: str) -> dict[str, str]:
    """Return the headers with which an upstream limits its requests; none for an empty text."""
    return {"server-limit": limit} if limit else {}


def make_brittle_headers(max_rejections: int | None) -> dict[str, str]:
    """Return the headers of an upstream that crashes beyond some rejections; none for None."""
    return {} if max_rejections is None else {"server-brittle": str(max_rejections)}


def make_identity_headers(name: str) -> dict[str, str]:
    """Return the headers with which an upstream identifies itself."""
    return {"x-instance-id": name}


def make_resume_headers(request_id: str, last_event: str) -> list[tuple[str, str]]:
    """Return the headers with which a caller resumes a stream; empty ones are left out."""
    fields = [("resumes", request_id), ("last-event-id", last_event)]
    return [(name, value) for name, value in fields if value]


def read_seal(headers: dict[str, str]) -> str:
    """Return the seal of an answer; empty if it has none."""
    return headers.get("x-response-seal", "")


def make_caller_headers(
    hostname: str,
    *,
    request_id: str,
    deadline_s: float,
    key: str = "",
    prompt: str = "",
    prompt_tokens: int = 0,
    output_tokens: int = 0,
    piece_counts: tuple[int, ...] = (),
    piece_key: str = "",
) -> list[tuple[str, str]]:
    """Return the headers of a caller's request without the empty ones."""
    fields = {
        "host": hostname,
        "x-request-id": request_id,
        "x-deadline-ms": str(round(deadline_s * 1000)),
        "authorization": f"Token {key}" if key else "",
        "x-prompt-prefix": prompt,
        "x-token-count": f"{prompt_tokens},{output_tokens}" if prompt_tokens else "",
        "x-model": "m" if prompt_tokens else "",
        "x-pieces": ",".join(map(str, piece_counts)),
        "x-piece-key": piece_key,
    }
    return [(name, value) for name, value in fields.items() if value]


def make_lookup_target(hostname: str, region: str, data_centre: str) -> str:
    """Return the target of a caller's address look-up."""
    query = urlencode({"name": hostname, "region": region, "zone": data_centre})
    return f"/-/resolve?{query}"


def make_route(name: str, prefix: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "host": "a.example",
        "timeout_ms": 5000,
        "target_latency_ms": 500,
        "max_attempts": 1,
        "priority": 0,
        "name": name,
        "path_prefix": prefix,
        "kind": kind,
        "service": service,
        **fields,
    }


def make_engine_route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a streaming route with two stages; the second reads the results of the first."""
    stages = [
        {"service": "board", "after": [], "bytes": 1000},
        {"service": "board", "after": [0], "bytes": 1000},
    ]
    return make_route(name, prefix, "streaming", "llm", stages=stages, **fields)


def encode_config(
    version: int,
    *,
    routes: list[dict[str, Any]],
    accounts: dict[str, list[str]],
    room_mb: float = 1.0,
    **changes: Any,
) -> bytes:
    """Return a configuration document with the services desk, llm and board."""
    value = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "desk", "max_connections": 50},
            {"name": "llm", "max_connections": 50, "engine": {"slots": 8, "kv_capacity": 100000}},
            {
                "name": "board",
                "max_connections": 50,
                "pieces": {
                    "slots": 1,
                    "queue": 2,
                    "batch": 4,
                    "call_ms": 50.0,
                    "item_ms": 5.0,
                    "headroom_mb": room_mb,
                    "handle_s": 4.0,
                },
            },
        ],
        "tenants": [{"name": name, "api_keys": keys} for name, keys in accounts.items()],
    }
    return _encode({**value, **changes})


def make_takeout_target(data_centre: str) -> str:
    """Return the path of orders that take a data centre out of service (POST) or in (DELETE)."""
    return f"/-/evacuations/{data_centre}"


def read_version(document: bytes) -> int:
    """Return the version of a configuration document."""
    return int(msgspec.json.decode(document)["version"])
