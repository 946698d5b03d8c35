"""Operators' changes of the configuration and of the data centres in service, at the leader."""

from __future__ import annotations

import hashlib
import logging
import zlib
from collections.abc import Callable
from typing import Any, Literal

import trio

from marigoldtrail.consensus import Group
from marigoldtrail.control.commands import Command, PutManifest, PutService, encode_command
from marigoldtrail.control.machine import ConfigMachine
from marigoldtrail.errors import Failure, Reason
from marigoldtrail.net import Handlers
from marigoldtrail.registry.fleet_state import ParseDocument
from marigoldtrail.registry.refusals import Refusals
from marigoldtrail.routing import RouteTable, check_table
from marigoldtrail.routing.bounds import MAX_INLINE_PARSE_BYTES
from marigoldtrail.schema.generated.control import SubmitReply
from marigoldtrail.schema.generated.registry import (
    GetRoutes,
    GetTakeout,
    RoutesOutcome,
    RoutesReply,
    SetTakeout,
    SubmitRoutes,
    TakeoutReply,
)
from marigoldtrail.timers import Timers

BARRIER_TIMEOUT_S = 0.8
PROPOSE_TIMEOUT_S = 2.0
# Faults of a configuration that an answer names, and the length of each.
MAX_FAULTS = 50
MAX_FAULT_CHARS = 300
OPERATOR = "platform"
# In place of the number of the last change: the one in force when the order is handled.
NUMBER_IN_FORCE = -1

_log = logging.getLogger(__name__)


class OperatorChanges:
    """
    Handles operators' changes and queries on the leader of group ``config``.

    Parameters
    ----------
    group : Group
        The log group.
    machine : ConfigMachine
        The group's state machine on this host.
    parse_document : callable
        Decodes a configuration document.
    refusals : Refusals
        Makes failures of this host.
    on_change : callable
        Called after a change was committed.
    timers : Timers
        Clock.
    """

    __slots__ = ("_group", "_machine", "_parse_document", "_refusals", "_on_change", "_timers")

    def __init__(
        self,
        *,
        group: Group,
        machine: ConfigMachine,
        parse_document: ParseDocument,
        refusals: Refusals,
        on_change: Callable[[], None],
        timers: Timers,
    ) -> None:
        self._group = group
        self._machine = machine
        self._parse_document = parse_document
        self._refusals = refusals
        self._on_change = on_change
        self._timers = timers

    def get_handlers(self) -> Handlers:
        """
        Return the handlers of this service.

        Returns
        -------
        dict
            For `marigoldtrail.net.serve_peers`.
        """
        return {
            SubmitRoutes: self._submit_routes,
            GetRoutes: self._get_routes,
            GetTakeout: self._get_takeout,
            SetTakeout: self._set_takeout,
        }

    async def _submit_routes(self, request: SubmitRoutes, sender: str) -> RoutesOutcome | Failure:
        if not self._group.is_leader:
            return self._refusals.not_leader("SubmitRoutes")
        checked = await self._check_document(request.document)
        if isinstance(checked, list):
            _log.info("configuration refused", extra={"faults": checked[:5]})
            return RoutesOutcome(outcome="invalid", faults=checked)
        current = self._machine.state.manifest
        if current is not None and checked.version <= current.number:
            return await self._confirm_unchanged(checked.version)
        command = PutManifest(
            number=checked.version,
            digest=hashlib.sha256(request.document).hexdigest(),
            document=zlib.compress(request.document, 6),
            concurrent_loads=0,
            operator=OPERATOR,
            wall_ms=self._timers.wall_ms(),
        )
        reply = await self._propose(command)
        if isinstance(reply, Failure):
            return reply
        _log.info("configuration accepted", extra={"version": checked.version})
        return RoutesOutcome(outcome="in_force", version=checked.version)

    async def _check_document(self, document: bytes) -> RouteTable | list[str]:
        if len(document) > MAX_INLINE_PARSE_BYTES:
            return await trio.to_thread.run_sync(check_document, self._parse_document, document)
        return check_document(self._parse_document, document)

    async def _confirm_unchanged(self, version: int) -> RoutesOutcome | Failure:
        # A deposed leader must not acknowledge a version that the new leader may not have.
        failure = await self._group.read_barrier(timeout_s=BARRIER_TIMEOUT_S)
        if failure is not None:
            return failure
        return RoutesOutcome(outcome="in_force", version=version)

    async def _get_takeout(self, request: GetTakeout, sender: str) -> TakeoutReply | Failure:
        if not self._group.is_leader:
            return self._refusals.not_leader("GetTakeout")
        failure = await self._group.read_barrier(timeout_s=BARRIER_TIMEOUT_S)
        if failure is not None:
            return failure
        entry = self._machine.state.services.get(make_data_centre_key(request.data_centre))
        return TakeoutReply(number=entry.current.number if entry else 0)

    async def _set_takeout(self, request: SetTakeout, sender: str) -> RoutesOutcome | Failure:
        """
        Put an order in force unless another one was since its operator was known to wait.

        Each order takes a number, also if it changes nothing: an opposite one that is older may
        still be on its way, and has no effect once its number is taken.
        """
        if not self._group.is_leader:
            return self._refusals.not_leader("SetTakeout")
        after = request.after
        if after == NUMBER_IN_FORCE:
            last = await self._get_takeout(GetTakeout(data_centre=request.data_centre), sender)
            if isinstance(last, Failure):
                return last
            after = last.number
        state: Literal["in", "out"] = "out" if request.out else "in"
        reply = await self._propose(
            PutService(
                kind="data_centre",
                name=request.data_centre,
                state=state,
                number=after + 1,
                operator=OPERATOR,
                wall_ms=self._timers.wall_ms(),
            )
        )
        if isinstance(reply, Failure):
            return reply
        if reply.outcome not in ("accepted", "repeated"):
            _log.info(
                "order on a data centre has no effect after a later one",
                extra={"subject": request.data_centre, "state": state, "number": after + 1},
            )
            return self._refusals.refuse(
                Reason.STALE_EPOCH, "SetTakeout", detail="a later order came first"
            )
        _log.info(
            "data centre set",
            extra={"subject": request.data_centre, "state": state, "number": after + 1},
        )
        return RoutesOutcome(outcome="in_force")

    async def _get_routes(self, request: GetRoutes, sender: str) -> RoutesReply | Failure:
        if not self._group.is_leader:
            return self._refusals.not_leader("GetRoutes")
        failure = await self._group.read_barrier(timeout_s=BARRIER_TIMEOUT_S)
        if failure is not None:
            return failure
        manifest = self._machine.state.manifest
        if manifest is None:
            return self._refusals.refuse(
                Reason.NOT_FOUND, "GetRoutes", detail="none was submitted yet"
            )
        document = zlib.decompress(manifest.document)
        return RoutesReply(version=manifest.number, document=document)

    async def _propose(self, command: Command) -> SubmitReply | Failure:
        reply: Any = await self._group.propose(encode_command(command), timeout_s=PROPOSE_TIMEOUT_S)
        if not isinstance(reply, Failure):
            self._on_change()
        return reply


def check_document(parse_document: ParseDocument, document: bytes) -> RouteTable | list[str]:
    """
    Decode and check a configuration document.

    Parameters
    ----------
    parse_document : callable
        Decodes the document.
    document : bytes
        The document.

    Returns
    -------
    RouteTable or list of str
        The table, or its first `MAX_FAULTS` faults: an answer with all of them may be too large.
    """
    table = parse_document(document)
    faults = [table] if isinstance(table, str) else check_table(table)
    if isinstance(table, str) or faults:
        return [fault[:MAX_FAULT_CHARS] for fault in faults[:MAX_FAULTS]]
    return table


def make_data_centre_key(data_centre: str) -> str:
    """Return the key of a data centre among the services of the state machine."""
    return f"data_centre/{data_centre}"


def list_takeouts(machine: ConfigMachine) -> list[str]:
    """Return the data centres that are out of service."""
    entries = machine.state.services.values()
    return sorted(
        entry.current.name
        for entry in entries
        if entry.current.kind == "data_centre" and entry.current.state == "out"
    )
