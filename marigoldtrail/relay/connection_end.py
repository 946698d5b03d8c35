"""Ends of callers' connections: their reasons, and closing without losing a response."""

from __future__ import annotations

import enum
import socket
import struct

import trio

from marigoldtrail.net.client import STREAM_ERRORS

READ_BYTES = 65536
GRACEFUL_CLOSE_TIMEOUT_S = 0.5
# So long, and so much, is read from a caller that still sends the body of a refused request: it may
# look for a response only after that, and a reset would end its send.
MAX_CLOSE_S = 5.0
MAX_CLOSE_BYTES = 8 * 1024 * 1024
# On, with a timeout of 0 s: unsent data is dropped and the peer sees a reset.
LINGER_RESET = struct.pack("ii", 1, 0)


class EndReason(enum.StrEnum):
    """Why the connection of a caller was closed."""

    CALLER = "caller_closed"
    IDLE = "idle"
    IDLE_AT_STOP = "idle_at_stop"
    # A request was refused while it was read, so that its rest can't be told from the next one.
    REFUSAL = "refusal"
    # A response announced that it is the last one.
    LAST_RESPONSE = "last_response"
    # A response was not sent, or broken off.
    BROKEN_RESPONSE = "broken_response"
    CALLER_LEFT = "caller_left"
    CALLER_FAILED = "caller_failed"
    HANDLER_ERROR = "handler_error"
    HOST_STOPPED = "host_stopped"


async def close_gracefully(stream: trio.abc.Stream, due_bytes: int = 0) -> int:
    """
    Close a stream so that the peer can still read the last response.

    Closing a socket with unread data resets the connection, which can destroy a response in
    transit. This function sends end-of-file, then reads and drops what the peer still sends for
    `GRACEFUL_CLOSE_TIMEOUT_S`, and longer while it sends what is due without such a pause. Only the
    longer time can be cancelled.

    Parameters
    ----------
    stream : trio.abc.Stream
        The stream.
    due_bytes : int
        Number of bytes that the peer may still send of the request that was refused.

    Returns
    -------
    int
        Number of bytes that were dropped.
    """
    dropped = 0
    began = received_at = trio.current_time()
    try:
        if isinstance(stream, trio.abc.HalfCloseableStream):
            with trio.CancelScope(deadline=began + GRACEFUL_CLOSE_TIMEOUT_S, shield=True):
                await stream.send_eof()
                while data := await stream.receive_some(READ_BYTES):
                    dropped += len(data)
                    received_at = trio.current_time()
                # The peer has closed.
                due_bytes = 0
            while dropped < due_bytes:
                ends_at = min(received_at + GRACEFUL_CLOSE_TIMEOUT_S, began + MAX_CLOSE_S)
                data = b""
                with trio.CancelScope(deadline=ends_at):
                    data = await stream.receive_some(READ_BYTES)
                if not data:
                    break
                dropped += len(data)
                received_at = trio.current_time()
    except STREAM_ERRORS:
        pass
    finally:
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(stream)
    return dropped


def receive_or_end(stream: trio.abc.Stream) -> bytes | None:
    """
    Return what has arrived on an idle connection, or end it if nothing has.

    Nothing is done between the two, so that a request either is returned here or arrives after the
    end. Its caller then sees a regular end, also if the close that follows finds it unread.

    Parameters
    ----------
    stream : trio.abc.Stream
        The connection; one without a socket is left alone.

    Returns
    -------
    bytes or None
        The data, empty if the peer has closed the connection; None if the connection was ended.

    Raises
    ------
    trio.BrokenResourceError
        If the connection is broken.
    """
    if not isinstance(stream, trio.SocketStream):
        return None
    sock = borrow_socket(stream)
    try:
        return sock.recv(READ_BYTES)
    except BlockingIOError:
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError as exc:
            raise trio.BrokenResourceError(str(exc)) from exc
        return None
    except OSError as exc:
        raise trio.BrokenResourceError(str(exc)) from exc
    finally:
        sock.detach()


def has_unread_data(stream: trio.abc.Stream) -> bool:
    """Return whether data has arrived that was not read, so that a close resets the connection."""
    if not isinstance(stream, trio.SocketStream):
        return False
    sock = borrow_socket(stream)
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False
    finally:
        sock.detach()


def borrow_socket(stream: trio.SocketStream) -> socket.socket:
    """Return the socket of a stream, which still owns its descriptor: detach it after use."""
    sock = stream.socket
    return socket.socket(sock.family, sock.type, sock.proto, fileno=sock.fileno())


def reset_on_close(stream: trio.abc.Stream) -> None:
    """Let the close of a connection be a reset, which is no regular end of a response."""
    if isinstance(stream, trio.SocketStream):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
