"""One attempt to get an answer on a request from an upstream."""

from __future__ import annotations

from collections.abc import Callable

import trio

from marigoldtrail.quarantine.guard import PromptGuard

# An upstream that has written two events has outlived the beginning of its answer.
MIN_ANSWER_EVENTS = 2


class PromptAttempt:
    """
    Tells the guard of a host whether an upstream answered a request or crashed.

    Parameters
    ----------
    guard : PromptGuard
        Guard of the host.
    request : str
        Identity of the request, the same when it is sent again.
    parts : frozenset of str
        Parts of the request.
    upstream : str
        The upstream.
    is_trial : bool
        Whether the request is sent although it is quarantined.
    may_give_up : callable
        Returns whether the request may be ended for a quarantine.

    Attributes
    ----------
    scope : trio.CancelScope
        Cancelled if the request is quarantined before the answer is under way.
    """

    __slots__ = (
        "scope",
        "_guard",
        "_request",
        "_parts",
        "_upstream",
        "_may_give_up",
        "_events",
        "_is_answered",
    )

    def __init__(
        self,
        *,
        guard: PromptGuard,
        request: str,
        parts: frozenset[str],
        upstream: str,
        is_trial: bool,
        may_give_up: Callable[[], bool],
    ) -> None:
        self.scope = trio.CancelScope()
        self._guard = guard
        self._request = request
        self._parts = parts
        self._upstream = upstream
        self._may_give_up = may_give_up
        self._events = 0
        self._is_answered = False
        if not is_trial:
            guard.watch(parts, self._withdraw)

    def _withdraw(self) -> None:
        """Cancel the attempt because the request is quarantined."""
        if self._may_give_up():
            self.scope.cancel()

    def count_events(self, count: int) -> None:
        """Count events of the answer."""
        self._events += count
        if self._events >= MIN_ANSWER_EVENTS:
            self.record_answer()

    def record_answer(self) -> None:
        """Record that the answer is under way or complete; further calls have no effect."""
        if self._is_answered:
            return
        self._is_answered = True
        self._guard.unwatch(self._withdraw)
        self._guard.record_answer(self._parts)

    def record_disconnect(self) -> None:
        """Record that the upstream closed the connection before the end of its answer."""
        if not self._is_answered:
            self._guard.record_crash(self._upstream, self._request, self._parts)

    def end(self) -> None:
        """Stop watching the request."""
        self._guard.unwatch(self._withdraw)
