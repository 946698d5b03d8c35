"""HTTP requests and responses of the ASGI application."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, unquote

import msgspec
import trio

from marigoldtrail.api.problems import Problem, bad_request_failure, build_problem, problem_headers
from marigoldtrail.errors import Failure
from marigoldtrail.schema import Fault, decode_json

# Callers send few headers; hypercorn itself reads at most twice this size.
MAX_HEADER_BYTES = 16 * 1024
MAX_HEADERS = 64
MAX_QUERY_FIELDS = 16
MAX_VALUE_CHARS = 128
BODY_TIMEOUT_S = 5.0

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

encode_json = msgspec.json.Encoder().encode


class Response(msgspec.Struct, kw_only=True):
    """
    A complete HTTP response.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Response body.
    headers : list of tuple
        Headers other than ``content-length``.
    """

    status: int
    body: bytes
    headers: list[tuple[bytes, bytes]]


class ClientDisconnectedError(Exception):
    """The caller closed the connection before its request was complete."""


class ApiRequest:
    """
    An HTTP request and the means to respond to it.

    Parameters
    ----------
    scope : dict
        ASGI connection scope.
    receive, send : callable
        ASGI channels.
    params : dict
        Path parameters.
    """

    __slots__ = ("scope", "receive", "send", "params", "headers", "response_headers", "has_started")

    def __init__(
        self, *, scope: Scope, receive: Receive, send: Send, params: dict[str, str]
    ) -> None:
        self.scope = scope
        self.receive = receive
        self.send = send
        self.params = params
        self.headers: dict[bytes, bytes] = {}
        self.response_headers: list[tuple[bytes, bytes]] = []
        self.has_started = False

    def read_headers(self, unique: frozenset[bytes]) -> Failure | None:
        """
        Check the headers and store them by name.

        Parameters
        ----------
        unique : frozenset of bytes
            Names of headers that must not be repeated.

        Returns
        -------
        Failure or None
            Why the headers are refused; None if they are valid.
        """
        fields = self.scope["headers"]
        size = sum(len(name) + len(value) for name, value in fields)
        if size > MAX_HEADER_BYTES or len(fields) > MAX_HEADERS:
            detail = f"headers: {len(fields)} with {size} bytes; at most {MAX_HEADERS} with"
            detail = f"{detail} {MAX_HEADER_BYTES} bytes are allowed"
            return bad_request_failure(detail, step="request.header_size")
        for name, value in fields:
            if name in unique and name in self.headers:
                return bad_request_failure(f"header {name.decode('latin-1')} is given twice")
            self.headers[name] = value
        return None

    def get_header(self, name: bytes, default: str = "") -> str | Failure:
        """
        Return the value of a header.

        Parameters
        ----------
        name : bytes
            Name in lower case.
        default : str
            Value if the header is missing.

        Returns
        -------
        str or Failure
            Printable ASCII text of at most `MAX_VALUE_CHARS` characters.
        """
        value = self.headers.get(name)
        if value is None:
            return default
        return check_text(value.decode("latin-1"), f"header {name.decode('latin-1')}")

    def parse_query(self, allowed: tuple[str, ...]) -> dict[str, str] | Failure:
        """
        Parse the query string.

        Parameters
        ----------
        allowed : tuple of str
            Names of permitted fields.

        Returns
        -------
        dict or Failure
            The fields; a repeated field is a failure.
        """
        text = self.scope["query_string"].decode("latin-1")
        try:
            pairs = parse_qsl(
                text,
                keep_blank_values=True,
                strict_parsing=bool(text),
                max_num_fields=MAX_QUERY_FIELDS,
            )
        except ValueError as exc:
            return bad_request_failure(f"query: {exc}")
        fields: dict[str, str] = {}
        for name, value in pairs:
            if name not in allowed:
                return bad_request_failure(
                    f"query: {name[:40]!r} is not one of {', '.join(allowed)}"
                )
            if name in fields:
                return bad_request_failure(f"query: {name} is given twice")
            checked = check_text(value, f"query: {name}")
            if isinstance(checked, Failure):
                return checked
            fields[name] = checked
        return fields

    async def read_body(self, max_bytes: int) -> bytes | Failure:
        """
        Receive the request body.

        Parameters
        ----------
        max_bytes : int
            Largest size in bytes.

        Returns
        -------
        bytes or Failure
            The body; a failure if it is too large or takes longer than `BODY_TIMEOUT_S`.

        Raises
        ------
        ClientDisconnectedError
            If the caller closed the connection.
        """
        declared = self.headers.get(b"content-length", b"0")
        if not declared.isdigit() or int(declared) > max_bytes:
            return _body_too_large(max_bytes)
        # One object: the parts of a body may be single bytes.
        body = bytearray()
        with trio.move_on_after(BODY_TIMEOUT_S):
            while True:
                message = await self.receive()
                if message["type"] == "http.disconnect":
                    raise ClientDisconnectedError
                body += message.get("body", b"")
                if len(body) > max_bytes:
                    return _body_too_large(max_bytes)
                if not message.get("more_body", False):
                    return bytes(body)
        return bad_request_failure(
            f"body: not complete within {BODY_TIMEOUT_S} s", step="request.timeout"
        )

    async def read_json(self, max_bytes: int) -> dict[str, Any] | Failure:
        """Receive and decode a body that is a JSON object; see `read_body`."""
        body = await self.read_body(max_bytes)
        if isinstance(body, Failure):
            return body
        value = decode_json(body, "body", max_bytes=max_bytes)
        if isinstance(value, Fault):
            return bad_request_failure(str(value))
        if not isinstance(value, dict):
            return bad_request_failure("body: $: a JSON object is expected")
        return value

    async def wait_for_disconnect(self) -> None:
        """Wait until the caller closes the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass

    async def respond(self, response: Response) -> None:
        """Send a complete response."""
        headers = [
            *response.headers,
            *self.response_headers,
            (b"content-length", str(len(response.body)).encode()),
        ]
        await self.start_response(response.status, headers)
        await self.send({"type": "http.response.body", "body": response.body})

    async def start_response(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the status and headers of a response."""
        self.has_started = True
        await self.send({"type": "http.response.start", "status": status, "headers": headers})

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the response body."""
        await self.send({"type": "http.response.body", "body": data, "more_body": True})

    async def end_response(self) -> None:
        """End a response that was sent in chunks."""
        await self.send({"type": "http.response.body", "body": b"", "more_body": False})


def _body_too_large(max_bytes: int) -> Failure:
    return bad_request_failure(f"body: at most {max_bytes} bytes are allowed", step="request.size")


def check_text(text: str, name: str) -> str | Failure:
    """
    Check a short text that a caller sent.

    Parameters
    ----------
    text : str
        The text.
    name : str
        Name of the text for the failure message.

    Returns
    -------
    str or Failure
        The text, if it is printable ASCII of at most `MAX_VALUE_CHARS` characters.

    Examples
    --------
    >>> check_text("acme", "header client-account")
    'acme'
    """
    if len(text) > MAX_VALUE_CHARS or not text.isascii() or not text.isprintable():
        detail = f"{name}: at most {MAX_VALUE_CHARS} printable ASCII characters are allowed"
        return bad_request_failure(detail)
    return text


def split_path(raw_path: bytes) -> list[str] | None:
    """
    Split a path into its decoded segments.

    Parameters
    ----------
    raw_path : bytes
        Path as received; a percent-encoded slash stays within its segment.

    Returns
    -------
    list of str or None
        None if the path is not ASCII or a decoded segment is not valid UTF-8.

    Examples
    --------
    >>> split_path(b"/v1/claims/acme/a%2Fb/settle")
    ['v1', 'claims', 'acme', 'a/b', 'settle']
    """
    try:
        text = raw_path.decode("ascii")
        return [unquote(part, errors="strict") for part in text.strip("/").split("/")]
    except UnicodeDecodeError:
        return None


def json_response(value: Any, *, status: int = 200) -> Response:
    """
    Build a response with a JSON body.

    Parameters
    ----------
    value : object
        Value to encode.
    status : int
        HTTP status.

    Returns
    -------
    Response
        The response.
    """
    headers = [(b"content-type", b"application/json")]
    return Response(status=status, body=encode_json(value), headers=headers)


def problem_response(problem: Problem) -> Response:
    """
    Build a response with a problem document.

    Parameters
    ----------
    problem : Problem
        The document.

    Returns
    -------
    Response
        The response.
    """
    return Response(
        status=problem.status, body=encode_json(problem), headers=problem_headers(problem)
    )


# HTTP statuses that are more specific than that of the failure reason.
_STEP_STATUS = {
    "request.size": 413,
    "request.header_size": 431,
    "request.timeout": 408,
    "request.method": 405,
}


def failure_response(failure: Failure, *, request_id: str = "") -> Response:
    """
    Build the response for a failure, without alternative entries.

    Parameters
    ----------
    failure : Failure
        What happened.
    request_id : str
        Id of the request; empty if it has none.

    Returns
    -------
    Response
        The response.
    """
    status = _STEP_STATUS.get(failure.step, 0)
    return problem_response(build_problem(failure, request_id=request_id, status=status))
