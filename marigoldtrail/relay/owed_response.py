"""The response that a host owes the caller of each request it has read."""

from __future__ import annotations

import enum

from marigoldtrail.relay.caller_connection import CallerConnection


class GiveUpCause(enum.StrEnum):
    """Why a host wants to end a request although its upstream, caller and deadline do not."""

    # Others need the memory that its response takes.
    MEMORY = "memory"
    # Requests with the same prompt or order have crashed upstreams.
    QUARANTINE = "quarantine"
    # This host finds itself cut off from the upstreams.
    CUT_OFF = "cut_off"


class OwedResponse:
    """
    Decides whether a host may end a request that its upstream, caller and deadline do not end.

    While nothing of the response was sent, a failure can take its place. A started response can
    only go on or break off, and breaks off only for memory, which belongs to all requests of the
    host. A silence is no cause: nobody else can go on with it, and a caller that no longer waits
    closes its connection.

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
        if cause is not GiveUpCause.MEMORY:
            return False
        self.given_up_for = cause
        return True
