"""Runs of the stages of requests that outlive the connection over which they were asked for."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from marigoldtrail.errors import Failure
from marigoldtrail.schema.generated.pieces import RunStages, StagesReply
from marigoldtrail.timers import Timers

# A run whose entry has lost its connection goes on for this time, in which the entry may ask again.
REJOIN_S = 1.0


class JoinableRun:
    """
    One run of the stages of a request.

    Parameters
    ----------
    sender : str
        Entry that asked for it.
    number : int
        Number of the run at the entry; 0 if unknown.
    reply : Failure
        Reply if the run is ended from outside.

    Attributes
    ----------
    reply : StagesReply or Failure
        Reply to the entry, once the run is done.
    done : trio.Event
        Set when the run has ended.
    scope : trio.CancelScope
        Ends the run.
    waiting : int
        Calls of the entry that wait for the reply.
    asked : int
        Number of times that the entry has asked for it.
    is_dropped : bool
        Whether its entry has reported that it needs it no more.
    """

    __slots__ = (
        "sender",
        "_number",
        "_dropped",
        "reply",
        "done",
        "scope",
        "waiting",
        "asked",
        "is_dropped",
    )

    def __init__(self, *, sender: str, number: int, reply: Failure) -> None:
        self.sender = sender
        self._number = number
        self._dropped = reply
        self.reply: StagesReply | Failure = reply
        self.done = trio.Event()
        self.scope = trio.CancelScope()
        self.waiting = 0
        self.asked = 0
        self.is_dropped = False

    def is_asked_for(self, request: RunStages, sender: str) -> bool:
        """Return whether an entry asks for this run again."""
        return request.run != 0 and (sender, request.run) == (self.sender, self._number)

    def is_later_than(self, request: RunStages, sender: str) -> bool:
        """
        Return whether a request of its entry is a late copy that asks for nothing any more.

        After a cut, TCP delivers what was sent over a connection that its entry has closed since.
        """
        if request.run == 0 or sender != self.sender:
            return False
        return request.run < self._number or (request.run == self._number and self.is_dropped)

    def drop(self) -> None:
        """End the run because its entry needs it no more."""
        self.is_dropped = True
        # The handles of many pieces take memory for as long as the run is remembered.
        self.reply = self._dropped
        self.scope.cancel()

    async def execute(
        self,
        run_stages: Callable[[RunStages], Awaitable[StagesReply | Failure]],
        request: RunStages,
    ) -> None:
        """Run the stages and keep the reply."""
        try:
            with self.scope:
                self.reply = await run_stages(request)
        finally:
            self.done.set()

    async def end_unless_joined(self, timers: Timers) -> None:
        """End the run if its entry does not ask for it again."""
        asked = self.asked
        await timers.sleep(REJOIN_S)
        if not self.waiting and self.asked == asked:
            self.scope.cancel()
