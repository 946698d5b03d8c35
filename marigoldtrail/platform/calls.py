"""Calls to the platform's list of upstreams and to the upstreams themselves."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.pieces import Piece, PieceCall, PieceResult
from marigoldtrail.platform.documents import DECODE_ERRORS, parse_page
from marigoldtrail.platform.entry_checks import LeftOutEntry, make_left_out_reporter
from marigoldtrail.relay import ConnectionPool
from marigoldtrail.relay.calls import CallResponse, call_upstream
from marigoldtrail.routing import Upstream
from marigoldtrail.schema.generated.registry import UpstreamEntry

Result = TypeVar("Result")

PAGE_TIMEOUT_S = 0.8
FREE_RESULTS_TIMEOUT_S = 1.0
MAX_PAGES = 64
# All pages together: over 15,000 entries of usual size. Decoded, they take many times as much.
MAX_LIST_BYTES = 4 * 1024 * 1024
# An entry of usual size has a comma each 18 bytes; values of a byte or two take most memory.
MAX_LIST_COMMAS = MAX_LIST_BYTES // 16
# Larger pages are parsed in a thread, which keeps the leader sending its heartbeats.
MAX_INLINE_PARSE_BYTES = 65536
# Answers to calls of stages hold handles. All upstreams of stages may be called at the same time.
MAX_STAGE_ANSWER_BYTES = 256 * 1024
HTTP_OK = 200
MAX_HANDLE_CHARS = 1024
_JSON = (b"content-type", b"application/json")
_encode = msgspec.json.Encoder().encode


def make_list_reader(
    pool: ConnectionPool, address: str, count_left_out: Callable[[str], None]
) -> Callable[[], Awaitable[list[UpstreamEntry] | Failure]]:
    """Return a function that reads all pages of the platform's list of upstreams."""
    platform = Upstream(name="platform", service="", address=address, data_centre="", slots=1)
    report = make_left_out_reporter(count_left_out)

    def read_page(answer: CallResponse) -> bytes | Failure:
        if answer.head.status != HTTP_OK:
            return _bad_answer(platform.name, f"status {answer.head.status}")
        return answer.body

    async def read_list() -> list[UpstreamEntry] | Failure:
        entries: list[UpstreamEntry] = []
        left_out: list[LeftOutEntry] = []
        token: str | None = None
        size = commas = 0
        for _ in range(MAX_PAGES):
            target = "/instances" + (f"?page_token={quote(token)}" if token else "")
            body = await call_upstream(
                pool,
                platform,
                method=b"GET",
                target=target.encode(),
                headers=[],
                timeout_s=PAGE_TIMEOUT_S,
                parse=read_page,
                max_answer_bytes=MAX_LIST_BYTES,
                are_answers_alike=True,
            )
            if isinstance(body, Failure):
                return body
            size += len(body)
            commas += body.count(b",")
            if size > MAX_LIST_BYTES or commas > MAX_LIST_COMMAS:
                return _bad_answer(platform.name, f"a list of over {size} bytes, {commas} commas")
            if len(body) > MAX_INLINE_PARSE_BYTES:
                page = await trio.to_thread.run_sync(parse_page, body, left_out)
            else:
                page = parse_page(body, left_out)
            if isinstance(page, str):
                return _bad_answer(platform.name, page)
            entries += page[0]
            token = page[1]
            if token is None:
                report(left_out)
                return entries
        return _bad_answer(platform.name, f"more than {MAX_PAGES} pages")

    return read_list


class _ResultItem(msgspec.Struct):
    handle: str = ""
    reason: str = ""


class _StageAnswer(msgspec.Struct):
    items: list[_ResultItem]


_stage_decoder = msgspec.json.Decoder(_StageAnswer)


def make_piece_call(pool: ConnectionPool) -> PieceCall:
    """Return the functions that run pieces and free their results."""

    async def post(
        upstream: Upstream,
        target: bytes,
        value: dict[str, Any],
        timeout_s: float,
        parse: Callable[[CallResponse], Result | Failure],
        *,
        are_answers_alike: bool = False,
    ) -> Result | Failure:
        return await call_upstream(
            pool,
            upstream,
            method=b"POST",
            target=target,
            headers=[_JSON, (b"x-expect-instance", upstream.name.encode())],
            body=_encode(value),
            timeout_s=timeout_s,
            parse=parse,
            max_answer_bytes=MAX_STAGE_ANSWER_BYTES,
            are_answers_alike=are_answers_alike,
        )

    async def run(
        upstream: Upstream, pieces: list[Piece], remaining_s: list[float]
    ) -> list[PieceResult] | Failure:
        items = [
            encode_piece(piece, remaining)
            for piece, remaining in zip(pieces, remaining_s, strict=True)
        ]
        parse = partial(_parse_results, upstream.name, len(pieces))
        return await post(upstream, b"/-/stage-run", {"items": items}, float("inf"), parse)

    async def free(upstream: Upstream, handles: list[str]) -> Failure | None:
        return await post(
            upstream,
            b"/-/stage-free",
            {"handles": handles},
            FREE_RESULTS_TIMEOUT_S,
            partial(_check_freed, upstream.name),
            are_answers_alike=True,
        )

    return PieceCall(run=run, free=free)


def _parse_results(upstream: str, count: int, answer: CallResponse) -> list[PieceResult] | Failure:
    if answer.head.status != HTTP_OK:
        return _bad_answer(upstream, f"status {answer.head.status}")
    try:
        results = _stage_decoder.decode(answer.body).items
    except DECODE_ERRORS as exc:
        return _bad_answer(upstream, str(exc))
    if len(results) != count:
        return _bad_answer(upstream, f"{len(results)} results for {count} pieces")
    if not all(_is_handle(item.handle) for item in results):
        return _bad_answer(upstream, "a handle that no header can hold")
    return [PieceResult(handle=item.handle, reason=item.reason) for item in results]


def _check_freed(upstream: str, answer: CallResponse) -> Failure | None:
    if answer.head.status != HTTP_OK:
        return _bad_answer(upstream, f"status {answer.head.status}")
    return None


def _is_handle(text: str) -> bool:
    """Return whether handles can be listed in a header; a piece that failed has an empty one."""
    is_value = text.isprintable() and text == text.strip() and "," not in text
    return is_value and len(text) <= MAX_HANDLE_CHARS


def encode_piece(piece: Piece, remaining_s: float) -> dict[str, Any]:
    """Return a piece in the format of the platform's upstreams."""
    job = piece.job
    item: dict[str, Any] = {
        "id": job.request_id,
        "stage": job.stage,
        "piece": piece.index,
        "left_ms": max(1, int(remaining_s * 1000)),
    }
    if job.inputs:
        item["inputs"] = job.inputs
    else:
        item["key"] = job.key
    return item


def _bad_answer(peer: str, detail: str) -> Failure:
    return Failure(
        reason=Reason.BAD_ANSWER,
        run_state=RunState.MAY_HAVE_RUN,
        step="platform",
        peer=peer,
        detail=detail,
    )
