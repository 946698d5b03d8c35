"""The ASGI application: route table and dispatch."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

from marigoldtrail.api import operators, requests
from marigoldtrail.api.context import ApiContext, not_found_failure
from marigoldtrail.api.http import (
    ApiRequest,
    ClientDisconnectedError,
    Receive,
    Response,
    Scope,
    Send,
    check_text,
    failure_response,
    split_path,
)
from marigoldtrail.api.problems import bad_request_failure
from marigoldtrail.errors import Failure, Reason, RunState

Handler = Callable[[ApiContext, ApiRequest], Awaitable[Response | None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]

_log = logging.getLogger(__name__)

# Repeating one of these headers would make its value ambiguous.
_UNIQUE_HEADERS = frozenset(
    (
        b"client-account",
        b"content-length",
        b"host",
        b"idempotency-key",
        b"operator",
        b"request-priority",
        b"traceparent",
    )
)

_ROUTES: dict[str, Handler] = {
    "GET v1/addresses": operators.list_addresses,
    "POST v1/pipelines/{name}/requests": requests.run_pipeline,
    "GET v1/requests/{request_id}": requests.show_request,
    "GET v1/results/{digest}": requests.show_results,
    "PUT v1/manifest": operators.submit_manifest,
    "GET v1/manifest": operators.show_manifest,
    "PUT v1/services/{kind}/{name}": operators.set_service,
    "GET v1/status": operators.show_status,
    "GET v1/decisions": operators.list_decisions,
    "GET v1/claims": operators.list_claims,
    "POST v1/claims/{client_account}/{key}/settle": operators.settle_claim,
}


def compile_routes() -> list[tuple[list[str], dict[str, Handler]]]:
    """
    Group the route table by path.

    Returns
    -------
    list of tuple
        Segments of each path, and its handlers by method.
    """
    paths: dict[str, dict[str, Handler]] = {}
    for route, handler in _ROUTES.items():
        method, _, path = route.partition(" ")
        paths.setdefault(path, {})[method] = handler
    return [(path.split("/"), handlers) for path, handlers in paths.items()]


_COMPILED_ROUTES = compile_routes()


def match_path(pattern: list[str], segments: list[str]) -> dict[str, str] | None:
    """
    Match a path against a pattern.

    Parameters
    ----------
    pattern, segments : list of str
        Segments of the pattern and of the path.

    Returns
    -------
    dict or None
        Parameters in the path; None if it does not match.

    Examples
    --------
    >>> match_path(["v1", "requests", "{request_id}"], ["v1", "requests", "00ab"])
    {'request_id': '00ab'}
    """
    if len(pattern) != len(segments):
        return None
    params = {}
    for part, segment in zip(pattern, segments, strict=True):
        if part.startswith("{"):
            params[part[1:-1]] = segment
        elif part != segment:
            return None
    return params


def find_route(method: str, raw_path: bytes) -> tuple[Handler, dict[str, str]] | Failure:
    """
    Find the handler of a request.

    Parameters
    ----------
    method : str
        HTTP method.
    raw_path : bytes
        Path as received, still percent-encoded.

    Returns
    -------
    tuple or Failure
        Handler and parameters in the path.
    """
    segments = split_path(raw_path)
    for pattern, handlers in _COMPILED_ROUTES:
        params = match_path(pattern, segments) if segments is not None else None
        if params is None:
            continue
        for name, value in params.items():
            checked = check_text(value, f"path: {name}")
            if isinstance(checked, Failure):
                return checked
        if method not in handlers:
            allowed = ", ".join(handlers)
            return bad_request_failure(
                f"method {method}: allowed are {allowed}", step="request.method"
            )
        return handlers[method], params
    return not_found_failure("no such path", step="request.route")


def build_app(ctx: ApiContext) -> Application:
    """
    Build the ASGI application of a node.

    Parameters
    ----------
    ctx : ApiContext
        Components of the node.

    Returns
    -------
    callable
        Application for `serve_api` or any other ASGI server.
    """

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await run_lifespan(receive, send)
            return
        if scope["type"] != "http":
            raise RuntimeError(
                f"ASGI scope type {scope['type']} is not supported; expected http or lifespan"
            )
        req = ApiRequest(scope=scope, receive=receive, send=send, params={})
        try:
            response = await dispatch(ctx, req)
        except ClientDisconnectedError:
            return
        except Exception:
            _log.exception("handler of path %s raised an exception", scope["path"])
            if req.has_started:
                # The missing end marker shows the caller that the response is incomplete.
                raise
            response = failure_response(internal_failure(ctx))
        if response is not None:
            await req.respond(response)

    return app


async def dispatch(ctx: ApiContext, req: ApiRequest) -> Response | None:
    """
    Check the headers of a request and run its handler.

    Parameters
    ----------
    ctx : ApiContext
        Components of the node.
    req : ApiRequest
        The request.

    Returns
    -------
    Response or None
        None if the handler has already sent the response.
    """
    fault = req.read_headers(_UNIQUE_HEADERS)
    if fault is not None:
        return failure_response(fault)
    route = find_route(req.scope["method"], req.scope["raw_path"])
    if isinstance(route, Failure):
        return failure_response(route)
    handler, req.params = route
    return await handler(ctx, req)


def internal_failure(ctx: ApiContext) -> Failure:
    """Return the failure for a handler that raised; part of its work may have been done."""
    return Failure(
        reason=Reason.INTERNAL,
        run_state=RunState.MAY_HAVE_RUN,
        step="api",
        peer=ctx.host,
        detail="the request failed inside this entry; its log has the details",
    )


async def run_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the messages of the ASGI lifespan protocol."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
