"""Simulated callers and operators, which keep connections open, look up entries and retry."""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Sequence

import h11
import msgspec
import trio

from bench.soak.fleet import CONTROL, ENTRIES, Fleet
from bench.soak.ledger import Attempt, Ledger
from bench.soak.planned import DEADLINE, END, LOST_S, RESET
from bench.soak.sockets import read_unread_bytes
from bench.soak.upstreams import PIECES, count_events
from marigoldtrail.net import Address
from marigoldtrail.platform.standin import (
    CONFIG_PATH,
    encode_config,
    make_caller_headers,
    make_engine_route,
    make_lookup_target,
    make_route,
)
from marigoldtrail.standins.client import HttpConnection
from marigoldtrail.standins.http import STREAM_ERRORS

KEY = "k-soak-secret"
ACCOUNT = "acme"
HOST = "a.example"
DEADLINE_S = 4.0
# Covers two silences of 1.6 s. A request that was sent before a stop reaches it before the last
# sixth of the grace period; one that was sent after the signal may not.
LONG_DEADLINE_S = 6.0
CALL_TIMEOUT_S = 1.5
CONFIG_TIMEOUT_S = 10.0
CONNECT_TIMEOUT_S = 1.0
MAX_THINK_S = 0.12
# Time within which a request is sent as a whole.
SENDING_S = 0.02
MAX_CONFIG_PAUSE_S = 1.5
# Weights of the kinds of request.
REQUEST_WEIGHTS = {"plain": 6, "order": 5, "version": 3, "stream": 3, "resume": 3}
LONG_KINDS = frozenset({"long_stream", "long_resume"})
STREAM_KINDS = LONG_KINDS | {"stream", "resume"}
# Kinds of request that run once at most.
ONCE_KINDS = frozenset({"order", "stream", "long_stream"})
ERRORS = (*STREAM_ERRORS, h11.ProtocolError)


async def open_connection(address: str) -> HttpConnection | None:
    """Connect to an address; return None if that fails."""
    target = Address.parse(address)
    with trio.move_on_after(CONNECT_TIMEOUT_S):
        try:
            return HttpConnection(stream=await trio.open_tcp_stream(target.ip, target.port))
        except OSError:
            return None
    return None


async def call(
    address: str, method: str, target: str, body: bytes = b"", *, timeout_s: float = CALL_TIMEOUT_S
) -> tuple[int, bytes] | None:
    """Make a call on a new connection; return None without a complete response."""
    conn = await open_connection(address)
    if conn is None:
        return None
    with trio.move_on_after(timeout_s):
        try:
            await conn.send(method, target, [("host", HOST)], body)
            head = await conn.read_response_head()
            if head is not None:
                return head.status_code, await conn.read_body()
        except ERRORS:
            return None
        finally:
            with trio.CancelScope(shield=True):
                await conn.aclose()
    return None


def make_document(version: int) -> bytes:
    """Return a configuration; only the path of one route depends on the version."""
    fields = {"timeout_ms": 4000, "target_latency_ms": 1000, "max_attempts": 2}
    long_fields = {**fields, "timeout_ms": round(1000 * LONG_DEADLINE_S)}
    routes = [
        make_route("plain", "/plain/", "safe", "desk", **fields),
        make_route("order", "/order/", "unsafe", "desk", **fields),
        make_route("version", f"/version/{version}/", "safe", "desk", **fields),
        make_engine_route("stream", "/stream/", **{**fields, "max_attempts": 1}),
        make_engine_route("resume", "/resume/", resumable=True, **fields),
        make_engine_route("long_stream", "/long_stream/", **{**long_fields, "max_attempts": 1}),
        make_engine_route("long_resume", "/long_resume/", resumable=True, **long_fields),
    ]
    return encode_config(version, routes=routes, accounts={ACCOUNT: [KEY]})


class Operators:
    """Operators that send configurations to any control host until one is accepted or refused."""

    __slots__ = ("_ledger", "_fleet", "_rng", "_versions", "newest")

    def __init__(self, *, ledger: Ledger, fleet: Fleet, rng: random.Random) -> None:
        self._ledger = ledger
        self._fleet = fleet
        self._rng = rng
        self._versions = itertools.count(1)
        self.newest = 0

    async def run(self) -> None:
        """Send configurations in sequence until cancelled."""
        while True:
            await self.send_next(CONFIG_TIMEOUT_S)
            await trio.sleep(self._rng.uniform(0, MAX_CONFIG_PAUSE_S))

    async def send_next(self, timeout_s: float) -> bool:
        """Send the next configuration; return whether it was acknowledged."""
        version = next(self._versions)
        document = make_document(version)
        self._ledger.sent[version] = document
        with trio.move_on_after(timeout_s):
            while True:
                address = self._fleet.operator_address(self._rng.choice(CONTROL))
                reply = await call(address, "PUT", CONFIG_PATH, document)
                if reply is not None and reply[0] == 200:
                    self._ledger.accepted[version] = document
                    self.newest = max(self.newest, version)
                    return True
                if reply is not None and 400 <= reply[0] < 500:
                    self._ledger.report_violation(
                        f"valid configuration {version} was refused: {reply}"
                    )
                    return False
                await trio.sleep(0.1)
        return False


class Callers:
    """Callers that send requests to entries and check the responses."""

    __slots__ = (
        "counts",
        "_ledger",
        "_fleet",
        "_operators",
        "_rng",
        "_prefix",
        "_numbers",
        "_addresses",
    )

    def __init__(
        self,
        *,
        ledger: Ledger,
        fleet: Fleet,
        operators: Operators,
        rng: random.Random,
        prefix: str = "id",
    ) -> None:
        self._prefix = prefix
        self.counts: Counter[str] = Counter()
        self._ledger = ledger
        self._fleet = fleet
        self._operators = operators
        self._rng = rng
        self._numbers = itertools.count(1)
        self._addresses = [fleet.request_address(name) for name in ENTRIES]

    async def follow_directory(self) -> None:
        """Poll the addresses of entries; keep the last addresses while lookups fail."""
        target = make_lookup_target(HOST, "r", "z")
        while True:
            address = self._fleet.lookup_address(self._rng.choice(CONTROL))
            reply = await call(address, "GET", target, timeout_s=1.0)
            if reply is not None and reply[0] == 200:
                self._addresses = msgspec.json.decode(reply[1])["addresses"]
            await trio.sleep(1.0)

    async def send_plain(self, entries: tuple[str, ...]) -> None:
        """Send a plain request to each entry, on connections of their own."""
        for name in entries:
            conn = await open_connection(self._fleet.request_address(name))
            if conn is not None:
                await self.send_request(conn, name, "plain")
                await conn.aclose()

    async def run(self) -> None:
        """Use connections in sequence until cancelled."""
        while True:
            await self._use_connection(self._rng.choice(self._addresses))
            await trio.sleep(self._rng.uniform(0, MAX_THINK_S))

    async def _use_connection(self, address: str) -> None:
        entry = self._fleet.entry_at(address)
        conn = await open_connection(address)
        if conn is None:
            return
        try:
            while True:
                kind = self._rng.choices(list(REQUEST_WEIGHTS), list(REQUEST_WEIGHTS.values()))[0]
                if not await self.send_request(conn, entry, kind):
                    return
                await trio.sleep(self._rng.uniform(0, MAX_THINK_S))
        finally:
            with trio.CancelScope(shield=True):
                await conn.aclose()

    async def send_request(
        self,
        conn: HttpConnection,
        entry: str,
        kind: str,
        *,
        headers: Sequence[tuple[str, str]] = (),
        direct_from: Address | None = None,
    ) -> bool:
        """
        Send a request and check the response.

        Parameters
        ----------
        conn : HttpConnection
            A connection with no request in progress.
        entry, kind : str
            The entry at its other end, and the kind of request.
        headers : sequence of (str, str)
            More headers.
        direct_from : Address or None
            The caller's end of a connection without the proxy.

        Returns
        -------
        bool
            Whether the connection is reusable.
        """
        attempt, version = self._make_attempt(entry, kind, is_direct=direct_from is not None)
        fields = [*self._make_headers(attempt, kind), *headers]
        async with trio.open_nursery() as nursery:
            if direct_from is not None:
                nursery.start_soon(self._watch_reading, attempt, direct_from)
            is_reusable = await self._exchange(conn, attempt, kind, version, fields)
            nursery.cancel_scope.cancel()
        return is_reusable

    async def _watch_reading(self, attempt: Attempt, caller: Address) -> None:
        """Note whether the process has read a request that has no answer after some time."""
        await trio.sleep(LOST_S + SENDING_S)
        if attempt.sent_at + LOST_S <= trio.current_time():
            entry = self._fleet.bound_request_address(attempt.entry[0])
            attempt.unread_bytes = read_unread_bytes(entry, caller)

    def _make_attempt(self, entry: str, kind: str, *, is_direct: bool) -> tuple[Attempt, int]:
        """Record an attempt; return it and the version that its path needs."""
        request_id = f"{self._prefix}-{next(self._numbers)}"
        body = request_id.encode() * self._rng.randint(0, 20) if kind != "version" else b""
        version = self._operators.newest
        path = f"/{kind}/{version}/x" if kind == "version" else f"/{kind}/{request_id}"
        attempt = Attempt(
            request_id=request_id,
            path=path,
            body=body,
            may_repeat=kind not in ONCE_KINDS,
            entry=(entry, self._fleet.starts[entry]),
            deadline_s=LONG_DEADLINE_S if kind in LONG_KINDS else DEADLINE_S,
            is_direct=is_direct,
        )
        self._ledger.record_attempt(attempt)
        return attempt, version

    def _make_headers(self, attempt: Attempt, kind: str) -> list[tuple[str, str]]:
        return make_caller_headers(
            HOST,
            request_id=attempt.request_id,
            deadline_s=attempt.deadline_s,
            key=KEY,
            prompt=f"5c1e:200,{next(self._numbers):x}:100",
            prompt_tokens=300,
            output_tokens=20,
            piece_counts=PIECES if kind in STREAM_KINDS else (),
            piece_key=attempt.request_id if kind in STREAM_KINDS else "",
        )

    async def _exchange(
        self,
        conn: HttpConnection,
        attempt: Attempt,
        kind: str,
        version: int,
        headers: list[tuple[str, str]],
    ) -> bool:
        served_before = self._ledger.newest_served_version(attempt.entry)
        outcome = "no answer"
        is_reusable = False
        with trio.move_on_after(attempt.deadline_s) as scope:
            try:
                method = "POST" if attempt.body else "GET"
                await conn.send(method, attempt.path, headers, attempt.body)
                attempt.sent_at = trio.current_time()
                head = await conn.read_response_head()
                if head is not None:
                    outcome = str(head.status_code)
                    is_unknown = kind == "version" and head.status_code == 404
                    if not is_unknown:
                        self._ledger.check_status(attempt, head.status_code)
                    if head.status_code == 200:
                        outcome = "cut"
                        await self._read_success(conn, attempt, kind, head)
                        outcome = "200"
                    else:
                        await conn.read_body()
                    is_reusable = conn.prepare_next_request()
            except h11.ProtocolError:
                attempt.failure = END
            except STREAM_ERRORS:
                attempt.failure = RESET
        if scope.cancelled_caught:
            attempt.failure = DEADLINE
        attempt.ended_at = trio.current_time()
        if outcome == "200" and kind == "version":
            self._ledger.check_served_version(attempt.entry, version, served_before)
        self.counts[f"{kind} {outcome}"] += 1
        return is_reusable

    async def _read_success(
        self, conn: HttpConnection, attempt: Attempt, kind: str, head: h11.Response
    ) -> None:
        headers = {name.decode(): value.decode() for name, value in head.headers}
        if kind not in STREAM_KINDS:
            self._ledger.check_answer(attempt, headers, await conn.read_body())
            return
        events = [e.split(b"\nid: ") for e in (await conn.read_body()).split(b"\n\n") if e]
        if any(event[0] != b"data: " + attempt.request_id.encode() for event in events):
            self._ledger.report_violation(
                f"{attempt.request_id}: received events of another request: {events}"
            )
        self._ledger.check_stream(
            attempt, [int(event[1]) for event in events], count_events(attempt.path)
        )
