"""Pool of idle connections, each bound to one start of an upstream's process."""

from __future__ import annotations

import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net import Address, Network
from marigoldtrail.net.client import STREAM_ERRORS
from marigoldtrail.reachability import UpstreamContact
from marigoldtrail.relay.types import HeaderCodec
from marigoldtrail.relay.upstream_connection import OnAnswer, UpstreamConnection
from marigoldtrail.routing import Upstream
from marigoldtrail.timers import Timers

CONNECT_TIMEOUT_S = 0.5
MAX_IDLE_S = 10.0
MAX_IDLE_CONNECTIONS = 16
# An upstream may close an idle connection shortly before its stated keep-alive time.
KEEP_ALIVE_SHARE = 0.7
# A request that must not be repeated is lost if the upstream closes the idle connection
# while the request is sent.
MAX_IDLE_UNREPEATABLE_S = 0.8


class ConnectionPool:
    """
    Connection pool for all upstreams.

    Parameters
    ----------
    network : Network
        Opens connections.
    timers : Timers
        Clock.
    header_codec : HeaderCodec
        Reads the heads of responses.
    on_answer : callable or None
        Called with the name of an upstream, the metadata of each of its responses, and the
        monotonic time in seconds at which the request was sent.
    contact : UpstreamContact or None
        Learns which connections are opened, and that upstreams send.
    """

    __slots__ = ("_network", "_timers", "_header_codec", "_on_answer", "_contact", "_idle")

    def __init__(
        self,
        *,
        network: Network,
        timers: Timers,
        header_codec: HeaderCodec,
        on_answer: OnAnswer | None = None,
        contact: UpstreamContact | None = None,
    ) -> None:
        self._network = network
        self._timers = timers
        self._header_codec = header_codec
        self._on_answer = on_answer
        self._contact = contact or UpstreamContact(timers=timers)
        self._idle: dict[str, list[UpstreamConnection]] = {}

    async def acquire(
        self, upstream: Upstream, *, may_repeat: bool, request_id: str = ""
    ) -> UpstreamConnection | Failure:
        """
        Return an idle connection, or open one.

        Parameters
        ----------
        upstream : Upstream
            The upstream.
        may_repeat : bool
            Whether the request may be sent again if the connection proves to be closed.
        request_id : str
            Id of the request. It is not sent on a connection that has carried it before, where a
            late copy of the first response could be mistaken for the second one.

        Returns
        -------
        UpstreamConnection or Failure
            ``NOT_RUN`` if none could be opened.
        """
        idle = self._idle.get(upstream.name, [])
        while idle:
            conn = idle.pop()
            is_usable = self._is_fresh(conn, may_repeat) and conn.may_carry(request_id)
            if is_usable and conn.has_no_pending_input():
                conn.may_have_sent = False
                return conn
            await conn.aclose()
        return await self.dial(upstream)

    def _is_fresh(self, conn: UpstreamConnection, may_repeat: bool) -> bool:
        limit_s = MAX_IDLE_S if may_repeat else MAX_IDLE_UNREPEATABLE_S
        if conn.idle_limit_s is not None:
            limit_s = min(limit_s, conn.idle_limit_s * KEEP_ALIVE_SHARE)
        return self._timers.now() - conn.idle_since <= limit_s

    async def probe(self, upstream: Upstream, timeout_s: float) -> bool:
        """Open a connection and keep it idle; return whether that took less than a timeout."""
        conn = await self.dial(upstream, timeout_s)
        if isinstance(conn, Failure):
            return False
        idle = self._idle.setdefault(upstream.name, [])
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            await conn.aclose()
        else:
            conn.idle_since = self._timers.now()
            idle.append(conn)
        return True

    async def is_refused(self, upstream: Upstream, timeout_s: float) -> bool:
        """Return whether an upstream refuses connections; one that is silent does not."""
        with trio.move_on_after(timeout_s):
            try:
                stream = await self._network.connect(Address.parse(upstream.address))
            except STREAM_ERRORS:
                return True
            await trio.aclose_forcefully(stream)
        return False

    async def dial(
        self, upstream: Upstream, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> UpstreamConnection | Failure:
        """
        Open a new connection.

        Parameters
        ----------
        upstream : Upstream
            The upstream.
        timeout_s : float
            Timeout in seconds.

        Returns
        -------
        UpstreamConnection or Failure
            ``NOT_RUN`` if it could not be opened.
        """
        detail = f"not connected within {timeout_s} s"
        with trio.move_on_after(timeout_s):
            try:
                stream = await self._network.connect(Address.parse(upstream.address))
                self._contact.note_connected()
                return UpstreamConnection(
                    stream=stream,
                    upstream=upstream.name,
                    header_codec=self._header_codec,
                    on_answer=self._on_answer,
                    on_bytes=self._contact.note_bytes,
                )
            except STREAM_ERRORS as exc:
                detail = str(exc) or type(exc).__name__
        self._contact.note_connect_failed(upstream.name)
        return Failure(
            reason=Reason.UNREACHABLE,
            run_state=RunState.NOT_RUN,
            step="upstream.connect",
            peer=upstream.name,
            detail=detail,
        )

    async def release(self, upstream: str, conn: UpstreamConnection) -> None:
        """Keep a connection for later requests, or close it if it is not reusable."""
        idle = self._idle.setdefault(upstream, [])
        if not conn.is_reusable() or len(idle) >= MAX_IDLE_CONNECTIONS:
            await conn.aclose()
            return
        conn.idle_since = self._timers.now()
        idle.append(conn)

    async def close_except(self, names: set[str]) -> None:
        """Close the idle connections to all upstreams except the named ones."""
        for name in [name for name in self._idle if name not in names]:
            for conn in self._idle.pop(name):
                await conn.aclose()

    async def close_expired(self) -> None:
        """Close connections that have been idle for too long to be used again."""
        for name, idle in list(self._idle.items()):
            while idle and not self._is_fresh(idle[0], True):
                await idle.pop(0).aclose()
            if not idle:
                self._idle.pop(name, None)
