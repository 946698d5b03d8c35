"""Headers of the platform's requests and answers."""

from __future__ import annotations

import logging
import math

from marigoldtrail.relay import AnswerFacts, Dialect, Forwarding, Headers, RequestFacts

_AUTHORIZATION = b"authorization"
_KEY_SCHEME = "token"
# Concern one connection only; the body is framed anew on each.
_PER_CONNECTION = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Set by the system; what a caller sends under these names is dropped.
_SYSTEM_ONLY = frozenset(
    {
        b"x-expect-instance",
        b"x-expect-version",
        b"x-tenant",
        b"x-deadline-ms",
        b"x-inputs",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"x-request-priority",
    }
)
# The most urgent rank of an engine; the platform's default is 5.
_FIRST_RANK = 2
_LAST_RANK = 9
_MISDIRECTED = 421
_CONFLICT = 409
_UNAVAILABLE = 503

_log = logging.getLogger(__name__)


def read_request(headers: Headers) -> RequestFacts:
    """Return what the head of a caller's request says; odd values count as missing."""
    values = {name: value.decode("latin-1").strip() for name, value in headers}
    tokens = _numbers(values.get(b"x-token-count", ""))
    deadline_ms = _number(values.get(b"x-deadline-ms", ""))
    scheme, _, key = values.get(_AUTHORIZATION, "").partition(" ")
    return RequestFacts(
        request_id=values.get(b"x-request-id", ""),
        deadline_s=deadline_ms / 1000 if deadline_ms is not None else None,
        key=key.strip() if scheme.lower() == _KEY_SCHEME else "",
        prompt_tokens=tokens[0] if tokens else 0,
        output_tokens=tokens[1] if len(tokens) > 1 else 0,
        prefix=_prefix(values.get(b"x-prompt-prefix", "")),
        piece_counts=tuple(_numbers(values.get(b"x-pieces", ""))),
        piece_key=values.get(b"x-piece-key", ""),
        resume_after=values.get(b"last-event-id", ""),
    )


def _number(text: str) -> int | None:
    return int(text) if text.isascii() and text.isdigit() else None


def _numbers(text: str) -> list[int]:
    numbers = [_number(part.strip()) for part in text.split(",")] if text else []
    return [number for number in numbers if number is not None]


def _prefix(text: str) -> tuple[tuple[str, int], ...]:
    parts = []
    for entry in text.split(",") if text else []:
        part, _, tokens = entry.strip().partition(":")
        parts.append((part, _number(tokens) or 0))
    return tuple(parts)


def build_request(headers: Headers, forwarding: Forwarding) -> Headers:
    """Return the headers of a request to an upstream."""
    dropped = _PER_CONNECTION | _SYSTEM_ONLY | named_by_connection(headers)
    if forwarding.hides_key:
        dropped |= {_AUTHORIZATION}
    if forwarding.resume_after:
        dropped |= {b"last-event-id"}
    kept = [(name, value) for name, value in headers if name not in dropped]
    left_ms = max(1, int(forwarding.left_s * 1000))
    kept += [
        (b"x-deadline-ms", str(left_ms).encode()),
        (b"x-expect-instance", forwarding.upstream.encode()),
    ]
    if forwarding.account:
        kept.append((b"x-tenant", forwarding.account.encode()))
    if forwarding.priority is not None:
        rank = min(_LAST_RANK, _FIRST_RANK + max(0, forwarding.priority))
        kept.append((b"x-request-priority", str(rank).encode()))
    if forwarding.inputs:
        kept.append((b"x-inputs", ",".join(forwarding.inputs).encode()))
    if forwarding.resume_after:
        kept.append((b"last-event-id", forwarding.resume_after.encode()))
    return kept


def named_by_connection(headers: Headers) -> set[bytes]:
    """Return the names of headers that the header ``Connection`` declares to be its own."""
    return {
        part.strip().lower()
        for name, value in headers
        if name == b"connection"
        for part in value.split(b",")
    }


def read_answer(status: int, headers: Headers) -> AnswerFacts:
    """Return what the head of an upstream's answer says."""
    values = {name: value.decode("latin-1").strip() for name, value in headers}
    is_refusal = b"x-not-executed" in values
    return AnswerFacts(
        request_id=values.get(b"x-request-id", ""),
        is_signed=bool(values.get(b"x-response-seal")),
        is_refusal=is_refusal,
        is_other_upstream=status == _MISDIRECTED,
        is_encoded=values.get(b"content-encoding", "identity") != "identity",
        lacks_inputs=is_refusal and status == _CONFLICT,
        is_leaving=values.get(b"server-leaving") == "1",
        pause_s=_pause(values.get(b"retry-after", "")) if status == _UNAVAILABLE else None,
        keep_alive_s=_keep_alive(values.get(b"keep-alive", "")),
    )


def _pause(text: str) -> float | None:
    if not text:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if seconds >= 0 and math.isfinite(seconds):
        return seconds
    _log.info("an unreadable Retry-After was ignored", extra={"value": text[:40]})
    return None


def _keep_alive(text: str) -> float | None:
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        seconds = _number(value.strip()) if name.strip().lower() == "timeout" else None
        if seconds is not None:
            return float(seconds)
    return None


def build_answer(headers: Headers) -> Headers:
    """Return the headers of the answer to the caller."""
    dropped = _PER_CONNECTION | named_by_connection(headers)
    return [(name, value) for name, value in headers if name not in dropped]


DIALECT = Dialect(
    read_request=read_request,
    build_request=build_request,
    read_answer=read_answer,
    build_answer=build_answer,
)
