"""The entry role: HTTP API for callers, pipelines and calls to upstreams."""

from __future__ import annotations

import trio

from marigoldtrail.api import ApiContext, build_app, serve_api
from marigoldtrail.net import Address
from marigoldtrail.node.components import NodeParts
from marigoldtrail.serving import Server


class EntryRole:
    """
    Services of an entry.

    Parameters
    ----------
    parts : NodeParts
        Components shared by the roles.
    server : Server
        Executes requests.
    app : callable
        ASGI application.
    """

    __slots__ = ("parts", "server", "app", "_shutdown")

    def __init__(self, *, parts: NodeParts, server: Server, app: object) -> None:
        self.parts = parts
        self.server = server
        self.app = app
        self._shutdown = trio.Event()

    async def run(
        self, *, serve_http: bool, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """
        Serve until cancelled or stopped.

        Parameters
        ----------
        serve_http : bool
            Whether to listen on the API address; False in tests that call the server directly.
        task_status : trio.TaskStatus
            Started once callers can connect.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.parts.slots.run)
            await nursery.start(self.server.run)
            if serve_http:
                address = Address.parse(self.parts.cfg.api_address)
                await nursery.start(self._serve_http, address)
            task_status.started()

    async def _serve_http(self, address: Address, *, task_status: trio.TaskStatus[Address]) -> None:
        await serve_api(
            self.app, address, shutdown=self._shutdown, task_status=task_status  # type: ignore
        )

    async def drain(self) -> None:
        """Refuse new requests once callers have other addresses, and finish those in progress."""
        self.server.start_draining()
        await self.server.wait_idle()

    def close(self) -> None:
        """Stop accepting connections."""
        self._shutdown.set()


def build_entry_role(parts: NodeParts) -> EntryRole:
    """
    Build the services of an entry.

    Parameters
    ----------
    parts : NodeParts
        Components shared by the roles.

    Returns
    -------
    EntryRole
        The services, not yet running.
    """
    cfg = parts.cfg
    server = Server(
        cfg=cfg,
        view=parts.view,
        control=parts.control,
        slots=parts.slots,
        upstreams=parts.upstreams,
        timers=parts.timers,
        telemetry=parts.telemetry,
        rng=parts.rng,
    )
    parts.on_evidence = server.add_evidence
    ctx = ApiContext(
        server=server,
        view=parts.view,
        control=parts.control,
        telemetry=parts.telemetry,
        timers=parts.timers,
        host=cfg.host,
        data_centre=cfg.data_centre,
        max_body_bytes=cfg.max_body_bytes,
        rng=parts.rng,
    )
    return EntryRole(parts=parts, server=server, app=build_app(ctx))
