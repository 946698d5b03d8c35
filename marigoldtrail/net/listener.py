"""Close a listening socket without breaking the connections in its queue."""

from __future__ import annotations

import array
import contextlib
import logging
import socket
import struct
import sys
from collections.abc import Callable

import trio

# Linux: options of a socket for a classic BPF program. The module `socket` has no names for them.
_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
# The one instruction "return 0": no byte of any packet is kept.
_DROP_ALL = struct.pack("=HBBI", 0x06, 0, 0, 0)

_log = logging.getLogger(__name__)


class ListenerControl:
    """
    Closes a listener on request, and counts its connections.

    The kernel resets the connections in the queue of a listening socket that is closed. Their
    callers are connected, may have sent a request, and get no answer. A listener with a control is
    therefore closed only once its queue is empty; later callers are refused when they connect.

    Attributes
    ----------
    connections : int
        Number of accepted connections that are open.
    accepted_at_close : int
        Number of connections that were in the queue when the listener was closed.

    Examples
    --------
    >>> ListenerControl().is_closing
    False
    """

    __slots__ = ("connections", "accepted_at_close", "_scope", "_is_closing", "_closed")

    def __init__(self) -> None:
        self.connections = 0
        self.accepted_at_close = 0
        self._scope: trio.CancelScope | None = None
        self._is_closing = False
        self._closed = trio.Event()

    @property
    def is_closing(self) -> bool:
        """Whether the listener is to be closed, or has been."""
        return self._is_closing

    async def close(self) -> None:
        """Accept what is in the queue and close the listener; its connections go on."""
        self._is_closing = True
        if self._scope is None:
            # Nothing listens yet; `accepting` will not begin.
            self._closed.set()
        else:
            self._scope.cancel()
        await self._closed.wait()
        # The handlers of the connections that were accepted last have begun after one step.
        await trio.lowlevel.checkpoint()

    def accepting(self) -> trio.CancelScope:
        """Return the scope in which the listener accepts; a request to close cancels it."""
        self._scope = trio.CancelScope()
        if self._is_closing:
            self._scope.cancel()
        return self._scope

    def set_closed(self) -> None:
        """Note that the listener is closed."""
        self._closed.set()


class QueueDrainingListener(trio.abc.Listener[trio.SocketStream]):
    """
    A listener that accepts what is in its queue before it closes on request of its control.

    Parameters
    ----------
    listener : trio.SocketListener
        The listener.
    control : ListenerControl
        Requests the close, and counts the connections.
    serve : callable
        Starts to serve a connection that was accepted at the close.
    """

    __slots__ = ("_listener", "_control", "_serve")

    def __init__(
        self,
        *,
        listener: trio.SocketListener,
        control: ListenerControl,
        serve: Callable[[trio.SocketStream], None],
    ) -> None:
        self._listener = listener
        self._control = control
        self._serve = serve

    async def accept(self) -> trio.SocketStream:
        """Accept a connection; see `trio.abc.Listener.accept`."""
        stream = await self._listener.accept()
        self._control.connections += 1
        return stream

    async def aclose(self) -> None:
        """Close the listener."""
        if self._control.is_closing:
            for sock in accept_and_close(take_socket(self._listener)):
                self._control.connections += 1
                self._control.accepted_at_close += 1
                self._serve(trio.SocketStream(trio.socket.from_stdlib_socket(sock)))
        await self._listener.aclose()


def take_socket(listener: trio.SocketListener) -> socket.socket:
    """Return the socket of a listener, which no longer owns it."""
    sock = listener.socket
    return socket.socket(sock.family, sock.type, sock.proto, fileno=sock.detach())


def drop_new_connections(listener: socket.socket) -> None:
    """Let the kernel drop what arrives at a listening socket, as far as the system can do so."""
    instruction = array.array("B", _DROP_ALL)
    program = struct.pack("@HP", 1, instruction.buffer_info()[0])
    try:
        listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
    except OSError as exc:
        _log.debug("new connections are queued until the listener is closed: %s", exc)


def stop_dropping(accepted: socket.socket) -> None:
    """Remove the program of the listener, which a connection inherits if both began together."""
    # There is no program in nearly all cases, which is an error.
    with contextlib.suppress(OSError):
        accepted.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)


def accept_and_close(listener: socket.socket) -> list[socket.socket]:
    """
    Accept all connections in the queue of a listening socket and close it.

    A connection that is queued between the last accept and the close is reset, after its caller may
    have sent a request. Little time passes between the two unless the process loses the processor
    or this thread waits for the interpreter. Therefore no connection is queued any more from before
    the last accept: the opening packet is dropped, and its repetition, a second later, is refused.

    Parameters
    ----------
    listener : socket.socket
        The socket, in non-blocking mode.

    Returns
    -------
    list of socket.socket
        The connections.
    """
    accepted: list[socket.socket] = []
    with listener:
        if sys.platform == "linux":
            drop_new_connections(listener)
        while True:
            try:
                sock = listener.accept()[0]
            except BlockingIOError:
                break
            except ConnectionError:
                # The peer has gone while its connection was in the queue.
                continue
            except OSError as exc:
                _log.warning("connections are left in the queue of a closed listener: %s", exc)
                break
            if sys.platform == "linux":
                stop_dropping(sock)
            accepted.append(sock)
    return accepted
