"""Waits for the next request on an idle connection of a caller."""

from __future__ import annotations

from collections.abc import Callable

import trio

from marigoldtrail.relay.connection_end import READ_BYTES, EndReason, receive_or_end

# Time to read what is already in the socket; a read that was cancelled before it began reads
# nothing.
ARRIVED_CHECK_S = 0.001
# Callers may learn of a lowered limit this much later than this host.
LOWERED_LIMIT_GRACE_S = 3.0

# Returns the longest idle limit in seconds that was in force since a monotonic time.
FindIdleLimitFn = Callable[[float], float]


class IdleWait:
    """
    Wait for the first bytes of a request.

    A wait that ends reads once what has arrived, so that a request is either served or never read.

    Parameters
    ----------
    stream : trio.abc.Stream
        The connection.
    find_limit_s : callable
        Returns the longest idle limit in seconds that was in force since a monotonic time.
    min_s : float
        Shortest wait in seconds when the host stops.
    """

    __slots__ = ("_stream", "_find_limit_s", "_min_s", "_started", "_scope", "_is_stopped")

    def __init__(
        self, *, stream: trio.abc.Stream, find_limit_s: FindIdleLimitFn, min_s: float
    ) -> None:
        self._stream = stream
        self._find_limit_s = find_limit_s
        self._min_s = min_s
        self._started = trio.current_time()
        self._scope = trio.CancelScope()
        self._is_stopped = False

    async def receive(self) -> bytes | EndReason:
        """
        Wait for data.

        Returns
        -------
        bytes or EndReason
            The data, empty if the caller has closed the connection; or why the wait ended.

        Raises
        ------
        trio.BrokenResourceError, trio.ClosedResourceError
            If the connection is broken.
        """
        # The end is found anew when it is reached, since the limit may have been raised.
        while trio.current_time() < (ends_at := self._find_end()):
            self._scope = trio.CancelScope(deadline=ends_at)
            with self._scope:
                return bytes(await self._stream.receive_some(READ_BYTES))
        with trio.move_on_after(ARRIVED_CHECK_S):
            return bytes(await self._stream.receive_some(READ_BYTES))
        # Other tasks have run since that read.
        data = receive_or_end(self._stream)
        if data is not None:
            return data
        return EndReason.IDLE_AT_STOP if self._is_stopped else EndReason.IDLE

    def _find_end(self) -> float:
        """Return the monotonic time in seconds at which the wait ends."""
        if self._is_stopped:
            return self._started + self._min_s
        return self._started + self._find_limit_s(self._started)

    def stop(self) -> None:
        """End the wait, because the host stops."""
        self._is_stopped = True
        self._scope.deadline = self._find_end()


class IdleLimits:
    """
    Idle limits by which callers may still use their connections.

    A raised limit holds at once, also for waits in progress. An earlier, longer limit still holds
    for connections that were idle while it was in force or shortly after, since callers learn of a
    change at other times than this host.

    Parameters
    ----------
    get_limit_s : callable
        Returns the limit in force in seconds.

    Examples
    --------
    >>> IdleLimits(get_limit_s=lambda: 5.0).find_longest_s(since=0.0, now=1.0)
    5.0
    """

    __slots__ = ("_get_limit_s", "_current_s", "_ended")

    def __init__(self, *, get_limit_s: Callable[[], float]) -> None:
        self._get_limit_s = get_limit_s
        self._current_s = get_limit_s()
        # Monotonic time of the end and length of earlier limits, the longest first.
        self._ended: list[tuple[float, float]] = []

    def update(self, now: float) -> None:
        """Take over the limit in force."""
        limit_s = self._get_limit_s()
        if limit_s != self._current_s:
            while self._ended and self._ended[-1][1] <= self._current_s:
                self._ended.pop()
            self._ended.append((now, self._current_s))
            self._current_s = limit_s
        # No wait that such a limit covers can still be in progress.
        self._ended = [
            (ended_at, earlier_s)
            for ended_at, earlier_s in self._ended
            if ended_at + earlier_s + LOWERED_LIMIT_GRACE_S > now
        ]

    def find_longest_s(self, *, since: float, now: float) -> float:
        """
        Return the longest limit in force since a time.

        Parameters
        ----------
        since, now : float
            Monotonic times in seconds of the start of a wait and of this call.
        """
        self.update(now)
        earlier = [s for ended_at, s in self._ended if ended_at + LOWERED_LIMIT_GRACE_S >= since]
        return max([self._current_s, *earlier])
