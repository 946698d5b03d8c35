"""Responses whose bytes cost much processor time, and the turns of other tasks meanwhile."""

import random
import re

import trio
import trio.testing

from marigoldtrail.platform.headers import HEADER_CODEC
from marigoldtrail.relay import events
from marigoldtrail.relay.events import EventSplitter, is_event
from marigoldtrail.relay.tests.helpers import SEAL_HEADER
from marigoldtrail.relay.upstream_connection import READ_BYTES, UpstreamConnection

CHUNK = b"1\r\nx\r\n"
CHUNKS = READ_BYTES // len(CHUNK)
HEAD = f"HTTP/1.1 200 OK\r\n{SEAL_HEADER}transfer-encoding: chunked\r\n\r\n".encode()


async def test_other_tasks_run_while_short_chunks_are_parsed(nursery):
    """Guards against requests that wait while a faulty upstream's chunks of a byte are parsed."""
    ours, theirs = trio.testing.memory_stream_pair()
    conn = UpstreamConnection(stream=ours, upstream="i-0", header_codec=HEADER_CODEC)
    conn.prepare_request(b"GET", b"/", [(b"host", b"a")], b"")
    await conn.send_request()
    await theirs.send_all(HEAD)
    await conn.read_head()
    turns = 0

    async def count_turns():
        nonlocal turns
        while True:
            await trio.lowlevel.checkpoint()
            turns += 1

    await theirs.send_all(CHUNK * CHUNKS)
    nursery.start_soon(count_turns)
    await trio.lowlevel.checkpoint()
    turns = 0
    assert await conn.read_body_part() == b"x" * CHUNKS
    assert turns >= CHUNKS // 200


class CountingPattern:
    """A pattern that counts its matches."""

    def __init__(self, pattern):
        self.pattern = pattern
        self.matches = 0

    def finditer(self, data, start):
        for match in self.pattern.finditer(data, start):
            self.matches += 1
            yield match


def test_lines_without_events_are_skipped_together(monkeypatch):
    """Guards against processor time for each blank line or comment of a faulty upstream."""
    for filler in (b"\n", b"\r\n", b"\r\n\n", b": c\n\n", b": c\r\n\r\n", b":\n\n\n"):
        pattern = CountingPattern(events._EVENT_END)
        monkeypatch.setattr(events, "_EVENT_END", pattern)
        splitter = EventSplitter()
        for _ in range(3):
            assert splitter.feed(filler * (60_000 // len(filler))) == b""
        assert pattern.matches <= 6 and splitter.count == 0
        assert splitter.feed(b"data: a\n\n\n\n").endswith(b"data: a\n\n")
        assert splitter.count == 1
        monkeypatch.undo()


class PlainSplitter:
    """The rules of `EventSplitter`, one blank line after the other."""

    def __init__(self):
        self.partial = b""
        self.block_start = 0
        self.count = 0

    def feed(self, data):
        self.partial += data
        end = 0
        while match := re.compile(rb"\r?\n\r?\n").search(self.partial, self.block_start):
            if is_event(self.partial[self.block_start : match.end()]):
                end = match.end()
                self.count += 1
            self.block_start = match.end()
        complete, self.partial = self.partial[:end], self.partial[end:]
        self.block_start -= end
        return complete


def test_events_are_split_as_one_blank_line_after_the_other():
    """Guards against events that are forwarded late, early, or counted twice."""
    rng = random.Random(1)
    pieces = [b"\n", b"\r\n", b"\r", b": c", b":", b"data: a", b"id: 1", b"x", b"\n\n", b"a: b\n"]
    for _ in range(4000):
        splitter, plain = EventSplitter(), PlainSplitter()
        for _ in range(rng.randrange(1, 8)):
            data = b"".join(rng.choices(pieces, k=rng.randrange(8)))
            assert splitter.feed(data) == plain.feed(data)
            assert splitter.count == plain.count
            assert splitter.is_within_event == bool(plain.partial[plain.block_start :].strip())
            assert splitter.held_bytes == len(plain.partial)
