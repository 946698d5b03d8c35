"""Send requests to upstreams: open connections, send, and account for what was sent."""

from __future__ import annotations

import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.quarantine import PromptAttempt, PromptGuard
from marigoldtrail.reachability import UpstreamContact
from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.owed_response import GiveUpCause
from marigoldtrail.relay.pool import ConnectionPool
from marigoldtrail.relay.prefill import PrefillReservation
from marigoldtrail.relay.responses import (
    CompleteResponse,
    StreamForwarded,
    is_event_stream,
    make_refusal_failure,
)
from marigoldtrail.relay.types import Forwarding, HeaderCodec
from marigoldtrail.relay.upstream_connection import ResponseHead, UpstreamConnection
from marigoldtrail.relay.upstream_monitor import UpstreamMonitor
from marigoldtrail.routing import Upstream
from marigoldtrail.timers import Timers

OFFER_CONNECT_TIMEOUT_S = 0.3
# An upstream without room refuses at once. A run must have left its upstream 0.4 s after it goes
# on at another one.
REFUSAL_WAIT_S = 0.2

# Failures for which the upstream is not to blame.
_BLAMELESS_REASONS = (
    Reason.NOT_FOUND,
    Reason.NO_MEMORY,
    Reason.QUARANTINED,
    Reason.VIEW_NOT_CURRENT,
)


class Transmission:
    """
    A request that was, or is being, sent to one upstream.

    Parameters
    ----------
    upstream : Upstream
        The upstream.
    conn : UpstreamConnection
        Connection that carries the request.
    attempt : PromptAttempt
        Tells whether the upstream answered the request or crashed.
    prefill : PrefillReservation
        Prompt tokens that the upstream has yet to prefill.
    started : float
        Monotonic time in seconds at which it was begun.
    had_not_run : bool
        Whether no upstream could have run the request before.

    Attributes
    ----------
    head : ResponseHead, Failure or None
        Head of the response, or why there is none, if it was read already.
    """

    __slots__ = ("upstream", "conn", "attempt", "prefill", "started", "had_not_run", "head")

    def __init__(
        self,
        *,
        upstream: Upstream,
        conn: UpstreamConnection,
        attempt: PromptAttempt,
        prefill: PrefillReservation,
        started: float,
        had_not_run: bool,
    ) -> None:
        self.upstream = upstream
        self.conn = conn
        self.attempt = attempt
        self.prefill = prefill
        self.started = started
        self.had_not_run = had_not_run
        self.head: ResponseHead | Failure | None = None


class Transmitter:
    """
    Sends the requests of one entry, and accounts for them.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to the upstreams.
    contact : UpstreamContact
        Counts the requests that wait for upstreams.
    monitor : UpstreamMonitor
        Records the outcomes.
    prompts : PromptGuard
        Holds off requests that crash upstreams.
    header_codec : HeaderCodec
        Converts headers.
    timers : Timers
        Clock.
    """

    __slots__ = ("_pool", "_contact", "_monitor", "_prompts", "_header_codec", "_timers")

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        contact: UpstreamContact,
        monitor: UpstreamMonitor,
        prompts: PromptGuard,
        header_codec: HeaderCodec,
        timers: Timers,
    ) -> None:
        self._pool = pool
        self._contact = contact
        self._monitor = monitor
        self._prompts = prompts
        self._header_codec = header_codec
        self._timers = timers

    async def open(self, exchange: Exchange, upstream: Upstream) -> Transmission | Failure:
        """
        Prepare to send a request.

        Parameters
        ----------
        exchange : Exchange
            The request.
        upstream : Upstream
            The upstream.

        Returns
        -------
        Transmission or Failure
            ``NOT_RUN`` if no connection could be opened. `close` must be called with a
            transmission.
        """
        conn = await self._pool.acquire(
            upstream,
            may_repeat=exchange.route.is_idempotent,
            request_id=exchange.info.request_id,
        )
        return await self._begin(exchange, upstream, conn)

    async def offer(self, exchange: Exchange, upstream: Upstream) -> Transmission | Failure:
        """
        Send a request to another upstream while the one that has it is silent.

        Parameters
        ----------
        exchange : Exchange
            The request.
        upstream : Upstream
            The other upstream.

        Returns
        -------
        Transmission or Failure
            The transmission if the upstream has taken the request: it did not refuse it for
            `REFUSAL_WAIT_S`, or has begun to respond. Nothing of the response was forwarded.
        """
        if exchange.conn.has_started:
            # A new connection carries no late response to an earlier request.
            conn = await self._pool.dial(upstream, OFFER_CONNECT_TIMEOUT_S)
        else:
            conn = await self._pool.acquire(
                upstream, may_repeat=True, request_id=exchange.info.request_id
            )
        tx = await self._begin(exchange, upstream, conn)
        if isinstance(tx, Failure):
            return tx
        failure: Failure | None = None
        is_taken = False
        try:
            failure = await self._wait_for_refusal(exchange, tx)
            is_taken = failure is None
        finally:
            if not is_taken:
                await self.close(tx)
        if failure is None:
            return tx
        self.record(exchange, tx, failure)
        return failure

    async def _begin(
        self, exchange: Exchange, upstream: Upstream, conn: UpstreamConnection | Failure
    ) -> Transmission | Failure:
        if isinstance(conn, Failure):
            self._monitor.record_failure(upstream.name, is_dead=True)
            return conn
        tokens = exchange.count_prefill_tokens()
        is_trial, exchange.has_trial_grant = exchange.has_trial_grant, False
        try:
            self._prepare_request(exchange, upstream, conn)
        except Exception:
            await conn.aclose()
            raise
        tx = Transmission(
            upstream=upstream,
            conn=conn,
            attempt=PromptAttempt(
                guard=self._prompts,
                request=exchange.identity,
                parts=exchange.parts,
                upstream=upstream.name,
                is_trial=is_trial,
                may_give_up=lambda: exchange.owed.give_up(GiveUpCause.QUARANTINE),
            ),
            prefill=PrefillReservation(monitor=self._monitor, name=upstream.name, tokens=tokens),
            started=self._timers.now(),
            had_not_run=not exchange.may_have_run,
        )
        exchange.sent_at = tx.started
        exchange.sends += 1
        exchange.runs += 1
        # Until a refusal has been read, assume that the request runs there.
        exchange.may_have_run = True
        self._monitor.start_request(upstream.name, tokens)
        self._contact.start_request()
        return tx

    def _prepare_request(
        self, exchange: Exchange, upstream: Upstream, conn: UpstreamConnection
    ) -> None:
        forwarding = Forwarding(
            upstream=upstream.name,
            left_s=max(0.0, exchange.deadline - self._timers.now()),
            account=exchange.account_name,
            removes_key=exchange.removes_key,
            priority=exchange.priority if exchange.service.engine is not None else None,
            inputs=exchange.stage_run.handles if exchange.stage_run is not None else (),
            resume_after=exchange.splitter.last_id,
        )
        request = exchange.request
        conn.prepare_request(
            request.method,
            request.target,
            self._header_codec.build_request_headers(request.headers, forwarding),
            request.body,
            request_id=exchange.info.request_id,
        )

    async def _wait_for_refusal(self, exchange: Exchange, tx: Transmission) -> Failure | None:
        """Send an offered request; return why the upstream does not take it, if it says so."""
        conn = tx.conn
        with trio.move_on_after(REFUSAL_WAIT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(conn.send_request)
                tx.head = await conn.read_head()
                nursery.cancel_scope.cancel()
        if isinstance(tx.head, Failure):
            return tx.head
        if tx.head is not None:
            failure = find_fault(tx, tx.head)
            if failure is not None:
                return failure
            if exchange.is_stream and not is_event_stream(tx.head):
                return conn.make_failure(Reason.UPSTREAM_ERROR, f"status {tx.head.status}")
        if not conn.is_sent:
            return conn.make_failure(Reason.TIMEOUT, "the request could not be sent in time")
        return None

    def record(
        self,
        exchange: Exchange,
        tx: Transmission,
        result: CompleteResponse | StreamForwarded | Failure,
    ) -> None:
        """Record the result of a transmission for the request, its prompt and the upstream."""
        record_prompt_outcome(tx.attempt, result)
        if isinstance(result, Failure) and result.run_state is RunState.NOT_RUN:
            exchange.runs -= 1
            if tx.had_not_run:
                exchange.may_have_run = exchange.runs > 0
        name = tx.upstream.name
        if isinstance(result, StreamForwarded):
            self._monitor.record_success(name)
        elif isinstance(result, CompleteResponse):
            if result.is_error:
                self._monitor.record_failure(name, is_dead=False)
            else:
                self._monitor.record_success(name, self._timers.now() - tx.started)
        elif result.reason is Reason.OVERLOADED:
            self._monitor.record_failure(name, is_dead=False)
            self._monitor.start_pause(name, result.retry_after_s)
        elif result.reason not in _BLAMELESS_REASONS:
            self._monitor.record_failure(name, is_dead=True)

    async def close(self, tx: Transmission) -> None:
        """End the accounts of a transmission; keep its connection if it can be used again."""
        self.end_accounts(tx)
        with trio.CancelScope(shield=True):
            # Closing the connection makes the upstream stop working on the request.
            await self._pool.release(tx.upstream.name, tx.conn)

    def end_accounts(self, tx: Transmission) -> None:
        """Count a transmission no longer as in progress."""
        tx.attempt.end()
        tx.prefill.release()
        self._contact.finish_request()
        self._monitor.finish_request(tx.upstream.name)


def find_fault(tx: Transmission, head: ResponseHead) -> Failure | None:
    """
    Return why the response with a head is not forwarded.

    Parameters
    ----------
    tx : Transmission
        The transmission.
    head : ResponseHead
        Head of its response.

    Returns
    -------
    Failure or None
        ``NOT_RUN`` if the upstream refuses the request, ``BAD_ANSWER`` if the response is not
        signed or is encoded; None if it may be forwarded.
    """
    info = head.info
    if info.is_misdirected or info.is_refusal:
        return make_refusal_failure(tx.upstream.name, head)
    if info.is_encoded or not info.is_signed:
        detail = f"an unsigned answer with status {head.status}"
        return tx.conn.make_failure(Reason.BAD_ANSWER, detail)
    return None


def record_prompt_outcome(
    attempt: PromptAttempt, result: CompleteResponse | StreamForwarded | Failure
) -> None:
    """Record whether an upstream answered a request or closed the connection before."""
    if isinstance(result, Failure):
        if result.reason is Reason.DISCONNECTED:
            attempt.record_disconnect()
    elif not (isinstance(result, CompleteResponse) and result.is_error):
        attempt.record_answer()
