"""Opens connections to upstreams and determines the run state of failed exchanges."""

from __future__ import annotations

import errno

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net import Address, Network
from marigoldtrail.schema.generated.manifest import Upstream
from marigoldtrail.schema.generated.slots import SlotGrant
from marigoldtrail.timers import Timers
from marigoldtrail.upstream.connections import (
    EXCHANGE_ERRORS,
    AnswerTooLargeError,
    Connection,
    ConnectionPool,
    RawAnswer,
    parse_number,
)
from marigoldtrail.upstream.gate import Gate
from marigoldtrail.upstream.messages import LoadReport
from marigoldtrail.upstream.streams import STREAM_ERRORS

CONNECT_TIMEOUT_S = 1.0
LOAD_TIMEOUT_S = 1.0

OVERLOADED_STATUSES = (429, 503)
MAX_DETAIL_CHARS = 200

DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class Connector:
    """
    Connection pools of all upstreams.

    Parameters
    ----------
    network : Network
        Opens the connections.
    timers : Timers
        Clock.
    gate : Gate
        Decides whether work may be sent.
    """

    __slots__ = ("gate", "_network", "_timers", "_pools")

    def __init__(self, *, network: Network, timers: Timers, gate: Gate) -> None:
        self.gate = gate
        self._network = network
        self._timers = timers
        self._pools: dict[str, ConnectionPool] = {}

    async def aclose(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            await pool.aclose()

    def pool_of(self, upstream: Upstream) -> ConnectionPool:
        """Return the pool of an upstream at its current address."""
        pool = self._pools.get(upstream.name)
        if pool is None or str(pool.address) != upstream.address:
            # Connections to an earlier address are closed when they are garbage-collected.
            pool = ConnectionPool(address=Address.parse(upstream.address), timers=self._timers)
            self._pools[upstream.name] = pool
        return pool

    async def connect(
        self, upstream: Upstream, pool: ConnectionPool, step: str, slot: SlotGrant | None
    ) -> Connection | Failure:
        """Take or open a connection that may carry work; else return a ``NOT_RUN`` failure."""
        refusal = self.gate.check_state(upstream, pool, step, slot)
        if refusal is not None:
            return refusal
        conn = await pool.acquire_idle(self.gate.expected_instance(upstream, slot))
        if conn is not None:
            return conn
        dialled = await self.dial(upstream, pool, step)
        if isinstance(dialled, Failure):
            return dialled
        refusal = await self._check_new(upstream, pool, dialled, step, slot)
        if refusal is not None:
            await dialled.aclose()
            return refusal
        return dialled

    async def dial(
        self, upstream: Upstream, pool: ConnectionPool, step: str
    ) -> Connection | Failure:
        """Open a connection that is not yet bound to an instance."""
        stream: trio.abc.Stream | None = None
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                stream = await self._network.connect(pool.address)
            except STREAM_ERRORS as exc:
                refused = is_refused(exc)
                if refused:
                    pool.has_abnormal_close = True
                    self.gate.add_evidence(upstream, pool, "", "down", "connection refused")
                return unreachable_failure(upstream, step, "refused" if refused else str(exc))
        if stream is None:
            return unreachable_failure(
                upstream, step, f"not connected within {CONNECT_TIMEOUT_S} s"
            )
        return Connection(address=pool.address, stream=stream)

    async def _check_new(
        self,
        upstream: Upstream,
        pool: ConnectionPool,
        conn: Connection,
        step: str,
        slot: SlotGrant | None,
    ) -> Failure | None:
        if not upstream.reports_load:
            return self.gate.check_without_report(upstream, pool, step, slot)
        report: LoadReport | None = None
        detail = f"no load report within {LOAD_TIMEOUT_S} s"
        with trio.move_on_after(LOAD_TIMEOUT_S):
            try:
                answer = await conn.exchange("GET", "/load", b"", [])
                report = msgspec.json.decode(answer.body, type=LoadReport)
            except (*EXCHANGE_ERRORS, *DECODE_ERRORS, AnswerTooLargeError) as exc:
                detail = f"load report: {exc}"
        if report is None or not conn.is_idle():
            # The call itself has not been sent: the report is the first exchange of the connection.
            return unreachable_failure(upstream, step, detail)
        conn.instance = report.instance
        return self.gate.check_report(upstream, pool, report, step, slot)

    async def exchange(
        self,
        upstream: Upstream,
        pool: ConnectionPool,
        conn: Connection,
        method: str,
        target: str,
        body: bytes,
        step: str,
        headers: list[tuple[bytes, bytes]],
    ) -> RawAnswer | Failure:
        """Send one request and receive its answer."""
        try:
            return await conn.exchange(method, target, body, headers)
        except EXCHANGE_ERRORS as exc:
            return self.handle_broken_exchange(upstream, pool, conn, step, exc)
        except AnswerTooLargeError as exc:
            return may_have_run_failure(upstream, step, Reason.BAD_ANSWER, str(exc))

    def handle_broken_exchange(
        self,
        upstream: Upstream,
        pool: ConnectionPool,
        conn: Connection,
        step: str,
        exc: Exception,
    ) -> Failure:
        """Note the abnormal close and return the failure of an exchange that was interrupted."""
        pool.has_abnormal_close = True
        state = RunState.MAY_HAVE_RUN if conn.stream.may_have_sent else RunState.NOT_RUN
        return Failure(
            reason=Reason.UNREACHABLE,
            run_state=state,
            step=step,
            peer=upstream.name,
            detail=str(exc) or type(exc).__name__,
        )

    async def handle_timeout(
        self, upstream: Upstream, pool: ConnectionPool, conn: Connection | None, step: str
    ) -> Failure:
        """Close the connection of an exchange that timed out and return its failure."""
        state = RunState.NOT_RUN
        if conn is not None:
            if conn.stream.may_have_sent:
                state = RunState.MAY_HAVE_RUN
            await conn.aclose()
        return Failure(reason=Reason.TIMEOUT, run_state=state, step=step, peer=upstream.name)


def is_refused(exc: BaseException) -> bool:
    """
    Tell whether a connect failed because no process listens.

    Parameters
    ----------
    exc : BaseException
        Error of the connect.

    Returns
    -------
    bool
        True for a refused connection, also if trio has wrapped the error.
    """
    if isinstance(exc, BaseExceptionGroup):
        return all(is_refused(inner) for inner in exc.exceptions)
    if isinstance(exc, OSError) and exc.errno == errno.ECONNREFUSED:
        return True
    if isinstance(exc, ConnectionRefusedError):
        return True
    return exc.__cause__ is not None and is_refused(exc.__cause__)


def unreachable_failure(upstream: Upstream, step: str, detail: str) -> Failure:
    """Return the failure of a call that could not be sent."""
    return Failure(
        reason=Reason.UNREACHABLE,
        run_state=RunState.NOT_RUN,
        step=step,
        peer=upstream.name,
        detail=detail,
    )


def may_have_run_failure(upstream: Upstream, step: str, reason: Reason, detail: str) -> Failure:
    """Return the failure of a call that was sent."""
    return Failure(
        reason=reason,
        run_state=RunState.MAY_HAVE_RUN,
        step=step,
        peer=upstream.name,
        detail=detail,
    )


def error_status_failure(upstream: Upstream, step: str, answer: RawAnswer) -> Failure:
    """Return the failure for an answer with an HTTP error status."""
    overloaded = answer.status in OVERLOADED_STATUSES
    retry_after = parse_number(answer.headers.get(b"retry-after", b""))
    text = answer.body[:MAX_DETAIL_CHARS].decode("utf-8", "replace")
    return Failure(
        reason=Reason.OVERLOADED if overloaded else Reason.UPSTREAM_ERROR,
        # An error status does not prove that the call had no effect.
        run_state=RunState.MAY_HAVE_RUN,
        step=step,
        peer=upstream.name,
        detail=f"HTTP status {answer.status} {text}".rstrip(),
        retry_after_s=float(retry_after or 0),
    )
