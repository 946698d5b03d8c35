"""The response that a host owes the caller of each request it has read."""

from __future__ import annotations

import enum

from marigoldtrail.relay.caller_connection import CallerConnection


class GiveUpCause(enum.StrEnum):
    """Why a host wants to end a request although its upstream, caller and deadline do not."""

    # Its upstream, or another entry, sends nothing for longer than callers wait.
    SILENCE = "silence"
    # Others need the memory that its response takes.
    MEMORY = "memory"
    # Requests with the same prompt or order have crashed upstreams.
    QUARANTINE = "quarantine"
    # This host finds itself cut off from the upstreams.
    CUT_OFF = "cut_off"


# The memory of a host belongs to all its requests. A caller that waits longer has left already.
_LAST_RESORTS = (GiveUpCause.MEMORY, GiveUpCause.SILENCE)


class OwedResponse:
    """
    Decides whether a host may end a request that its upstream, caller and deadline do not end.

    While nothing of the response was sent, a failure can take its place. A started response can
    only go on or break off.

    Parameters
    ----------
    conn : CallerConnection
        Connection of the caller.

    Attributes
    ----------
    given_up_for : GiveUpCause or None
        Why this host has broken a started response off, if it did.
    """

    __slots__ = ("_conn", "given_up_for")

    def __init__(self, *, conn: CallerConnection) -> None:
        self._conn = conn
        self.given_up_for: GiveUpCause | None = None

    def give_up(self, cause: GiveUpCause) -> bool:
        """
        Ask to end the current attempt at the request.

        Parameters
        ----------
        cause : GiveUpCause
            Why.

        Returns
        -------
        bool
            Whether it may be ended; `given_up_for` then names the cause if that breaks off a
            response.
        """
        if not self._conn.has_started:
            return True
        if cause not in _LAST_RESORTS:
            return False
        self.given_up_for = cause
        return True
