"""Minimal HTTP/1.1 server over any `Network`, for the stand-ins."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl

import h11
import msgspec
import trio

from marigoldtrail.net import Address, Network

READ_BYTES = 65536
STREAM_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)

_encode = msgspec.json.Encoder().encode


class HttpRequest(msgspec.Struct, kw_only=True, frozen=True):
    """
    A request as passed to a stand-in.

    Parameters
    ----------
    method, path : str
        HTTP method, and path without the query.
    query, headers : dict
        Query parameters, and headers with lower-case names.
    body : bytes
        The body.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class ResponseWriter:
    """
    Sends one response on a connection.

    Parameters
    ----------
    conn : h11.Connection
        HTTP state of the connection.
    stream : trio.abc.Stream
        The connection.
    """

    __slots__ = ("stream", "_conn")

    def __init__(self, *, conn: h11.Connection, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self._conn = conn

    async def send_json(
        self, status: int, value: Any, headers: dict[str, str], *, copies: int = 1
    ) -> bytes:
        """Send a JSON response, `copies` times in one write; return the bytes of one copy."""
        body = _encode(value)
        return await self.send_bytes(status, body, headers, "application/json", copies=copies)

    async def send_bytes(
        self,
        status: int,
        body: bytes,
        headers: dict[str, str],
        content_type: str,
        *,
        copies: int = 1,
    ) -> bytes:
        """Send a response, `copies` times in one write; return the bytes of one copy."""
        fields = {**headers, "content-type": content_type, "content-length": str(len(body))}
        response = h11.Response(status_code=status, headers=list(fields.items()))
        data = self._send(response) + self._send(h11.Data(data=body)) + self._send_end()
        await self.stream.send_all(data * copies)
        return data

    async def start_stream(self, headers: dict[str, str]) -> None:
        """Start a response of server-sent events."""
        fields = {**headers, "content-type": "text/event-stream", "cache-control": "no-store"}
        response = h11.Response(status_code=200, headers=list(fields.items()))
        await self.stream.send_all(self._send(response))

    async def send_event(self, data: bytes, *, event_id: bytes = b"") -> None:
        """Send one event of a stream, with an id unless that is empty."""
        head = b"id: " + event_id + b"\n" if event_id else b""
        await self.stream.send_all(self._send(h11.Data(data=head + b"data: " + data + b"\n\n")))

    async def end_stream(self) -> None:
        """Send the end of a stream."""
        await self.stream.send_all(self._send_end())

    def _send(self, event: Any) -> bytes:
        return self._conn.send(event) or b""

    def _send_end(self) -> bytes:
        return self._send(h11.EndOfMessage())


RequestHandler = Callable[[HttpRequest, ResponseWriter], Awaitable[None]]


async def read_request(conn: h11.Connection, stream: trio.abc.Stream) -> HttpRequest | None:
    """
    Read one request.

    Parameters
    ----------
    conn : h11.Connection
        HTTP state of the connection.
    stream : trio.abc.Stream
        The connection.

    Returns
    -------
    HttpRequest or None
        None if the peer closed the connection or no request followed.
    """
    request: h11.Request | None = None
    chunks: list[bytes] = []
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(bytes(await stream.receive_some(READ_BYTES)))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            chunks.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage) and request is not None:
            return build_request(request, b"".join(chunks))
        else:
            return None


def build_request(request: h11.Request, body: bytes) -> HttpRequest:
    """Convert an h11 request and its body."""
    path, _, query = request.target.decode("ascii").partition("?")
    return HttpRequest(
        method=request.method.decode("ascii"),
        path=path,
        query=dict(parse_qsl(query)),
        headers={name.decode(): value.decode("latin-1") for name, value in request.headers},
        body=body,
    )


async def serve_http(
    network: Network,
    address: Address,
    handler: RequestHandler,
    *,
    cancel_on_disconnect: bool = False,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """
    Serve HTTP requests until cancelled.

    Parameters
    ----------
    network : Network
        Accepts the connections.
    address : Address
        Where to listen.
    handler : callable
        Asynchronous function of the request and the `ResponseWriter` that sends its response.
    cancel_on_disconnect : bool
        Whether a handler is cancelled when the peer closes the connection.
    task_status : trio.TaskStatus
        Started with the bound address.
    """

    async def answer(request: HttpRequest, reply: ResponseWriter) -> None:
        try:
            await handler(request, reply)
        except (KeyError, ValueError, msgspec.MsgspecError) as exc:
            await reply.send_json(400, {"detail": repr(exc)}, {})

    async def run_handler(
        request: HttpRequest, reply: ResponseWriter, conn: h11.Connection
    ) -> bool:
        if not cancel_on_disconnect:
            await answer(request, reply)
            return True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancel_on_close, conn, reply.stream, nursery.cancel_scope)
            await answer(request, reply)
            nursery.cancel_scope.cancel()
            return True
        return False

    async def serve_connection(stream: trio.abc.Stream) -> None:
        conn = h11.Connection(h11.SERVER)
        try:
            while (request := await read_request(conn, stream)) is not None:
                reply = ResponseWriter(conn=conn, stream=stream)
                if not await run_handler(request, reply, conn):
                    return
                if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                    return
                conn.start_next_cycle()
        except* (*STREAM_ERRORS, h11.ProtocolError):
            pass
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    await network.listen(address, serve_connection, task_status=task_status)


async def cancel_on_close(
    conn: h11.Connection, stream: trio.abc.Stream, scope: trio.CancelScope
) -> None:
    """Cancel a scope when the peer closes the connection; buffer bytes of the next request."""
    while data := await stream.receive_some(READ_BYTES):
        conn.receive_data(bytes(data))
    conn.receive_data(b"")
    scope.cancel()
