"""Translation of the headers of the platform's requests and answers."""

from __future__ import annotations

import functools
import logging
import math
import re

from marigoldtrail.relay import Forwarding, HeaderCodec, Headers, RequestInfo, ResponseInfo

_AUTHORIZATION = b"authorization"
_KEY_SCHEME = "token"
# Valid for one connection only; the body is framed again on the next one.
_HOP_BY_HOP = frozenset(
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
# Set by an entry that forwards a request to another one.
_FORWARDED_BY = b"x-marigoldtrail-entry"
# Set by marigoldtrail only; values sent by a caller are dropped.
_RESERVED = frozenset(
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
        _FORWARDED_BY,
    }
)
# Most and least urgent rank of a request at an engine; the platform's default is 5.
_MOST_URGENT_RANK = 2
_LEAST_URGENT_RANK = 9
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
# Longer numbers are invalid: no time or count in a header is that large, a message between hosts
# can't hold them, and the conversion of very long ones fails.
_MAX_DIGITS = 15
# Longer pauses count as this one, so that an upstream is tried again.
_MAX_RETRY_AFTER_S = 3600.0
_MISDIRECTED = 421
_CONFLICT = 409
_UNAVAILABLE = 503

_log = logging.getLogger(__name__)


def parse_request(headers: Headers) -> RequestInfo:
    """Return the metadata in a caller's request headers; invalid values count as missing."""
    values = {name: value.decode("latin-1").strip() for name, value in headers}
    tokens = _parse_numbers(values.get(b"x-token-count", ""))
    deadline_ms = _parse_number(values.get(b"x-deadline-ms", ""))
    scheme, _, key = values.get(_AUTHORIZATION, "").partition(" ")
    return RequestInfo(
        request_id=values.get(b"x-request-id", ""),
        deadline_s=deadline_ms / 1000 if deadline_ms is not None else None,
        key=key.strip() if scheme.lower() == _KEY_SCHEME else "",
        prompt_tokens=tokens[0] if tokens else 0,
        output_tokens=tokens[1] if len(tokens) > 1 else 0,
        prefix=_parse_prefix(values.get(b"x-prompt-prefix", "")),
        piece_counts=tuple(_parse_numbers(values.get(b"x-pieces", ""))),
        piece_key=values.get(b"x-piece-key", ""),
        resume_after=values.get(b"last-event-id", ""),
        is_forwarded=_FORWARDED_BY in values,
        resumed_id=values.get(b"resumes", ""),
    )


def _parse_number(text: str) -> int | None:
    is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS
    return int(text) if is_number else None


def _parse_numbers(text: str) -> list[int]:
    numbers = [_parse_number(part.strip()) for part in text.split(",")] if text else []
    return [number for number in numbers if number is not None]


def _parse_prefix(text: str) -> tuple[tuple[str, int], ...]:
    parts = []
    for entry in text.split(",") if text else []:
        part, _, tokens = entry.strip().partition(":")
        parts.append((part, _parse_number(tokens) or 0))
    return tuple(parts)


def build_request_headers(headers: Headers, forwarding: Forwarding) -> Headers:
    """Return the headers for a request to an upstream."""
    dropped = _HOP_BY_HOP | _RESERVED | read_connection_options(headers)
    if forwarding.removes_key:
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
        rank = min(_LEAST_URGENT_RANK, _MOST_URGENT_RANK + max(0, forwarding.priority))
        kept.append((b"x-request-priority", str(rank).encode()))
    if forwarding.inputs:
        kept.append((b"x-inputs", ",".join(forwarding.inputs).encode()))
    if forwarding.resume_after:
        kept.append((b"last-event-id", forwarding.resume_after.encode()))
    return kept


def build_forwarded_headers(headers: Headers, left_s: float, host: str) -> Headers:
    """Return the headers for a request to another entry, which sets what is for upstreams."""
    dropped = _HOP_BY_HOP | {b"x-deadline-ms", _FORWARDED_BY} | read_connection_options(headers)
    kept = [(name, value) for name, value in headers if name not in dropped]
    left_ms = max(1, int(left_s * 1000))
    return [*kept, (b"x-deadline-ms", str(left_ms).encode()), (_FORWARDED_BY, host.encode())]


def read_connection_options(headers: Headers) -> set[bytes]:
    """Return the names of the headers that the ``Connection`` header lists."""
    return {
        part.strip().lower()
        for name, value in headers
        if name == b"connection"
        for part in value.split(b",")
    }


def parse_response(status: int, headers: Headers) -> ResponseInfo:
    """Return the metadata in the status and headers of an upstream's answer."""
    values = {name: value.decode("latin-1").strip() for name, value in headers}
    is_refusal = b"x-not-executed" in values
    return ResponseInfo(
        request_id=values.get(b"x-request-id", ""),
        is_signed=bool(values.get(b"x-response-seal")),
        is_refusal=is_refusal,
        is_misdirected=status == _MISDIRECTED,
        is_encoded=values.get(b"content-encoding", "identity") != "identity",
        is_missing_inputs=is_refusal and status == _CONFLICT,
        is_leaving=values.get(b"server-leaving") == "1",
        pause_s=(
            _parse_retry_after(values.get(b"retry-after", "")) if status == _UNAVAILABLE else None
        ),
        keep_alive_s=_parse_keep_alive(values.get(b"keep-alive", "")),
        requests_per_s=_parse_limits([v for name, v in headers if name == b"server-limit"]),
        max_rejections=_parse_limits([v for name, v in headers if name == b"server-brittle"]),
    )


def _parse_limits(texts: list[bytes]) -> float | None:
    """Return the lowest valid limit; None if there is none."""
    return min((limit for text in texts if (limit := _parse_limit(text)) is not None), default=None)


@functools.lru_cache(maxsize=64)
def _parse_limit(text: bytes) -> float | None:
    if _DECIMAL.fullmatch(text.strip()):
        return float(text)
    _log.info("invalid limit of an upstream ignored", extra={"value": repr(text[:40])})
    return None


def _parse_retry_after(text: str) -> float | None:
    if not text:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if seconds >= 0 and math.isfinite(seconds):
        return min(seconds, _MAX_RETRY_AFTER_S)
    _log.info("invalid Retry-After header ignored", extra={"value": text[:40]})
    return None


def _parse_keep_alive(text: str) -> float | None:
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        seconds = _parse_number(value.strip()) if name.strip().lower() == "timeout" else None
        if seconds is not None:
            return float(seconds)
    return None


def build_response_headers(headers: Headers) -> Headers:
    """Return the headers for the answer to the caller."""
    dropped = _HOP_BY_HOP | read_connection_options(headers)
    return [(name, value) for name, value in headers if name not in dropped]


HEADER_CODEC = HeaderCodec(
    parse_request=parse_request,
    build_request_headers=build_request_headers,
    build_forwarded_headers=build_forwarded_headers,
    parse_response=parse_response,
    build_response_headers=build_response_headers,
)
