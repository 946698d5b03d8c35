"""Answers of a faulty upstream that have no end."""

from __future__ import annotations

import msgspec
import trio

from bench.soak.proxy import reset_stream

BLOCK_BYTES = 65536
BLOCK_INTERVAL_S = 0.03
# An answer that nobody has ended by then is reset, so that it never looks complete.
MAX_ANSWER_S = 8.0
LINE_BYTES = 1024
ANNOUNCED_BYTES = 900_000_000_000
REFUSED = 503
REFUSAL = "refusal"

CHUNKED = {"transfer-encoding": "chunked"}
TEXT = {"content-type": "text/plain"}
EVENTS = {"content-type": "text/event-stream"}
BODY_BLOCK = b"x" * BLOCK_BYTES
COMMENT_BLOCK = (b": " + b"x" * (LINE_BYTES - 3) + b"\n") * (BLOCK_BYTES // LINE_BYTES)
ONE_BYTE_CHUNK = b"1\r\nx\r\n"


class EndlessAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """
    An answer that does not end.

    Parameters
    ----------
    status : int
        Status of the response.
    headers : dict of str to str
        Headers of the response.
    block : bytes
        Bytes that are sent again and again.
    """

    status: int = 200
    headers: dict[str, str]
    block: bytes


def make_chunk(data: bytes) -> bytes:
    """
    Return a chunk of a chunked body.

    Examples
    --------
    >>> make_chunk(b"x")
    b'1\\r\\nx\\r\\n'
    """
    return b"%x\r\n%s\r\n" % (len(data), data)


ANSWERS = {
    "no_length": EndlessAnswer(headers=TEXT, block=BODY_BLOCK),
    "chunked": EndlessAnswer(headers={**TEXT, **CHUNKED}, block=make_chunk(BODY_BLOCK)),
    "announced": EndlessAnswer(
        headers={**TEXT, "content-length": str(ANNOUNCED_BYTES)}, block=BODY_BLOCK
    ),
    "one_byte_chunks": EndlessAnswer(
        headers={**TEXT, **CHUNKED}, block=ONE_BYTE_CHUNK * (BLOCK_BYTES // len(ONE_BYTE_CHUNK))
    ),
    REFUSAL: EndlessAnswer(
        status=REFUSED, headers={**TEXT, **CHUNKED}, block=make_chunk(BODY_BLOCK)
    ),
    "comments": EndlessAnswer(headers={**EVENTS, **CHUNKED}, block=make_chunk(COMMENT_BLOCK)),
    "one_byte_events": EndlessAnswer(
        headers={**EVENTS, **CHUNKED}, block=ONE_BYTE_CHUNK * (BLOCK_BYTES // len(ONE_BYTE_CHUNK))
    ),
}


async def send_endless(kind: str, stream: trio.abc.Stream, headers: dict[str, str]) -> None:
    """
    Send an answer until its connection closes, at a steady rate.

    Parameters
    ----------
    kind : str
        One of `ANSWERS`.
    stream : trio.abc.Stream
        The connection.
    headers : dict of str to str
        Further headers of the response.
    """
    answer = ANSWERS[kind]
    fields = {**headers, **answer.headers}
    lines = [f"HTTP/1.1 {answer.status} OK", *(f"{name}: {fields[name]}" for name in fields)]
    with trio.move_on_after(MAX_ANSWER_S):
        await stream.send_all("\r\n".join([*lines, "", ""]).encode())
        at = trio.current_time()
        while True:
            await stream.send_all(answer.block)
            at += BLOCK_INTERVAL_S
            await trio.sleep_until(at)
    if isinstance(stream, trio.SocketStream):
        reset_stream(stream)
