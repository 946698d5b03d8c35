"""Responses that break off while the request is still being sent, and invalid statuses."""

import httpcore
import pytest

from marigoldtrail.net import Address
from marigoldtrail.testing import ResettingStream
from marigoldtrail.upstream.connections import Connection

UPLOAD = b"u" * 400_000


def connect(answer, *, read_delay_s=0.1, write_delay_s=0.0):
    stream = ResettingStream(
        answer=answer,
        reset_at=200_000,
        read_delay_s=read_delay_s,
        write_delay_s=write_delay_s,
    )
    return Connection(address=Address("10.0.0.1", 80), stream=stream)


async def test_reset_does_not_complete_a_response_without_length(autojump_clock):
    """Guards against a truncated response that is complete because the write saw the reset."""
    conn = connect(b"HTTP/1.1 200 OK\r\n\r\nten bytes.")
    with pytest.raises(httpcore.ReadError):
        await conn.exchange("POST", "/run", UPLOAD, [])


async def test_complete_early_response_is_read(autojump_clock):
    """Guards against losing a complete response because its upstream stopped reading."""
    conn = connect(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nten bytes.")
    answer = await conn.exchange("POST", "/run", UPLOAD, [])
    assert answer.body == b"ten bytes."


@pytest.mark.parametrize("status", [b"000", b"600", b"999"])
async def test_invalid_status_is_no_response(autojump_clock, status):
    """Guards against a status that is none being taken for an answer."""
    conn = connect(b"HTTP/1.1 " + status + b" Odd\r\ncontent-length: 0\r\n\r\n")
    with pytest.raises(httpcore.ProtocolError):
        await conn.exchange("POST", "/run", UPLOAD, [])
