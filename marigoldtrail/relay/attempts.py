"""Attempts of requests at one upstream, which end early if another one takes the request."""

from __future__ import annotations

from collections.abc import Callable

import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.quarantine.attempt import MIN_ANSWER_EVENTS
from marigoldtrail.reachability import ReachabilityMonitor
from marigoldtrail.relay.abandoned import AbandonedAttempts
from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.owed_response import GiveUpCause
from marigoldtrail.relay.request_mover import RequestMover
from marigoldtrail.relay.responses import CompleteResponse, StreamForwarded
from marigoldtrail.relay.sender import Sender
from marigoldtrail.relay.stream_admission import StreamAdmission
from marigoldtrail.relay.transmission import Transmission
from marigoldtrail.relay.upstream_chooser import DEFAULT_DURATION_S
from marigoldtrail.relay.upstream_monitor import UpstreamMonitor
from marigoldtrail.routing import RouteKind, Upstream
from marigoldtrail.timers import Timers

# Multiple of the usual duration after which a safe request is sent to another upstream.
ATTEMPT_TIMEOUT_FACTOR = 5.0
MIN_ATTEMPT_TIMEOUT_S = 0.1


class AttemptRunner:
    """
    Runs attempts of requests at upstreams.

    Parameters
    ----------
    sender : Sender
        Sends the requests.
    admission : StreamAdmission
        Records the versions of streams.
    monitor : UpstreamMonitor
        Knows the usual durations.
    reachability : ReachabilityMonitor
        Finds that this host is cut off.
    mover : RequestMover
        Reserves another upstream for an attempt that takes unusually long.
    abandoned : AbandonedAttempts
        Watches the upstreams at which an attempt was given up.
    timers : Timers
        Clock.
    """

    __slots__ = (
        "_sender",
        "_admission",
        "_monitor",
        "_reachability",
        "_mover",
        "_abandoned",
        "_timers",
    )

    def __init__(
        self,
        *,
        sender: Sender,
        admission: StreamAdmission,
        monitor: UpstreamMonitor,
        reachability: ReachabilityMonitor,
        mover: RequestMover,
        abandoned: AbandonedAttempts,
        timers: Timers,
    ) -> None:
        self._sender = sender
        self._admission = admission
        self._monitor = monitor
        self._reachability = reachability
        self._mover = mover
        self._abandoned = abandoned
        self._timers = timers

    async def send(
        self, exchange: Exchange, upstream: Upstream, *, taken: Transmission | None = None
    ) -> CompleteResponse | StreamForwarded | Failure:
        """
        Send a request to an upstream; see `Sender.send`.

        Parameters
        ----------
        exchange : Exchange
            The request.
        upstream : Upstream
            The upstream.
        taken : Transmission or None
            The transmission if the upstream has taken the request already.

        Returns
        -------
        CompleteResponse, StreamForwarded or Failure
            The result; a failure with reason ``TIMEOUT`` if the attempt was given up.
        """
        self._admission.start_recording(exchange, upstream)
        reads_before = exchange.reads
        result: CompleteResponse | StreamForwarded | Failure | None = None
        async with trio.open_nursery() as nursery:
            runs = exchange.runs + (taken is None)
            timeout_s = self._get_attempt_timeout_s(exchange, upstream, runs=runs)
            if timeout_s is not None:
                nursery.start_soon(
                    self._cancel_if_slow, exchange, upstream, timeout_s, nursery.cancel_scope
                )
            leave = self._make_leave(exchange, reads_before, nursery.cancel_scope)
            with self._reachability.call_when_cut_off(leave):
                result = await self._sender.send(exchange, upstream, taken=taken)
            nursery.cancel_scope.cancel()
        if result is not None:
            if _is_left_without_answer(exchange, result):
                self._abandoned.watch(exchange, upstream)
            return result
        self._monitor.record_failure(upstream.name, is_dead=True)
        was_sent = exchange.reads > reads_before
        if was_sent:
            self._abandoned.watch(exchange, upstream)
        return Failure(
            reason=Reason.TIMEOUT,
            run_state=RunState.MAY_HAVE_RUN if was_sent else RunState.NOT_RUN,
            step="upstream",
            peer=upstream.name,
            detail="no answer in the usual time",
        )

    async def _cancel_if_slow(
        self, exchange: Exchange, upstream: Upstream, timeout_s: float, scope: trio.CancelScope
    ) -> None:
        """Cancel an attempt that takes unusually long once another upstream has taken it."""
        is_taken = False
        while not is_taken:
            await self._timers.sleep(timeout_s)
            # An answer that this host does not read for want of memory is not slow.
            if not exchange.held.waits_for_memory:
                is_taken = await self._mover.reserve(exchange, upstream.name)
        scope.cancel()

    def _make_leave(
        self, exchange: Exchange, reads_before: int, scope: trio.CancelScope
    ) -> Callable[[], None]:
        """Return what ends an attempt if another entry may serve the request from its start."""

        def leave() -> None:
            is_unsent = exchange.reads == reads_before and not exchange.may_have_run
            may_start_again = is_unsent or exchange.may_run_again()
            if not may_start_again or exchange.info.is_forwarded:
                return
            if exchange.owed.give_up(GiveUpCause.CUT_OFF):
                scope.cancel()

        return leave

    def _get_attempt_timeout_s(
        self, exchange: Exchange, upstream: Upstream, *, runs: int
    ) -> float | None:
        """
        Return the seconds after which the request is offered to another upstream, if at all.

        `runs` counts the upstreams that may have started to run it, with this one.
        """
        route = exchange.route
        if route.kind is not RouteKind.SAFE or runs >= route.max_attempts:
            return None
        usual_s = self._monitor.get_record(upstream.name).duration_s or DEFAULT_DURATION_S
        return max(MIN_ATTEMPT_TIMEOUT_S, ATTEMPT_TIMEOUT_FACTOR * usual_s)


def _is_left_without_answer(
    exchange: Exchange, result: CompleteResponse | StreamForwarded | Failure
) -> bool:
    """Return whether a stream was given up before its answer was under way."""
    is_timeout = isinstance(result, Failure) and result.reason is Reason.TIMEOUT
    return is_timeout and exchange.splitter.count < MIN_ANSWER_EVENTS
