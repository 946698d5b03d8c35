"""Replicated state machine of group config."""

from __future__ import annotations

import zlib

import msgspec

from marigoldtrail.control.commands import (
    BASE_LEVEL,
    COMMAND_LEVEL,
    LOADING_ACTIONS,
    VERSIONS_LEVEL,
    AcceptedSubmission,
    AddVersions,
    AssignOwners,
    ConfigState,
    MarkOrder,
    Order,
    PlanOrder,
    PutManifest,
    PutService,
    PutStreams,
    RemoveVersion,
    ServiceEntry,
    decode_command,
)
from marigoldtrail.schema.generated.control import OwnerAssignment, ServiceState, SubmitReply

# About a week of changes at 510 per day; a submission is never resent after that time.
MAX_MANIFESTS_KEPT = 4096
MAX_CHANGES_KEPT = 64
# Twice the number of engines planned for in two years; older closed orders are not needed.
MAX_ORDERS_KEPT = 2048


class ConfigMachine:
    """
    State machine of group config; deterministic, so that equal logs give equal states.

    Attributes
    ----------
    state : ConfigState
        The durable state; modified by `apply` and `restore` only.
    command_level : int
        Feature level of the commands that `apply` supports.

    Examples
    --------
    >>> machine = ConfigMachine()
    >>> copy = ConfigMachine()
    >>> copy.restore(machine.snapshot())
    >>> copy.state == machine.state
    True
    """

    __slots__ = ("state", "command_level")

    def __init__(self) -> None:
        self.state = ConfigState()
        self.command_level = COMMAND_LEVEL

    def get_state_level(self) -> int:
        """Return the feature level that is needed to restore the present state."""
        versions = self.state.versions
        return VERSIONS_LEVEL if versions.services or versions.streams else BASE_LEVEL

    def apply(self, index: int, command: bytes) -> object:
        """
        Apply one command.

        Parameters
        ----------
        index : int
            Its log index.
        command : bytes
            The encoded command.

        Returns
        -------
        object
            `SubmitReply` for manifests and services, list of `OwnerAssignment` for owners,
            `Order` or None (no effect) for orders, the log index for versions and streams.

        Raises
        ------
        UnsupportedCommandError
            If this release does not know the command.
        msgspec.MsgspecError
            If the command is malformed.
        """
        decoded = decode_command(command)
        match decoded:
            case PutManifest():
                return self._put_manifest(index, decoded)
            case PutService():
                return self._put_service(index, decoded)
            case AssignOwners():
                return self._assign_owners(index, decoded)
            case PlanOrder():
                return self._plan_order(index, decoded)
            case MarkOrder():
                return self._mark_order(decoded)
            case AddVersions():
                self.state.versions.add_versions(index, decoded.versions)
            case RemoveVersion():
                self.state.versions.remove_version(index, decoded.service, decoded.version)
            case PutStreams():
                self.state.versions.put_streams(
                    index, decoded.streams, drop_through=decoded.drop_through
                )
        return index

    def is_complete(self) -> bool:
        """Return True, since snapshots contain the whole state."""
        return True

    def snapshot(self) -> bytes:
        """
        Encode the state.

        Returns
        -------
        bytes
            Input of `restore`.
        """
        return msgspec.msgpack.encode(self.state)

    def restore(self, snapshot: bytes) -> None:
        """
        Replace the state by that of a snapshot.

        Parameters
        ----------
        snapshot : bytes
            A result of `snapshot`.

        Raises
        ------
        msgspec.MsgspecError
            If `snapshot` cannot be decoded.
        """
        self.state = msgspec.msgpack.decode(snapshot, type=ConfigState)

    def manifest_document(self) -> bytes:
        """
        Return the manifest in force.

        Returns
        -------
        bytes
            Canonical JSON document; empty if there is none.
        """
        manifest = self.state.manifest
        return b"" if manifest is None else zlib.decompress(manifest.document)

    def loads_running(self) -> int:
        """
        Count the weight loads that may be running.

        Returns
        -------
        int
            Number of open orders that read from the weight store.
        """
        return sum(order.is_loading() for order in self.state.orders.values())

    def _put_manifest(self, index: int, command: PutManifest) -> SubmitReply:
        state = self.state
        current = state.manifest.number if state.manifest else 0
        reply = resolve_outcome(state.manifests_accepted, current, command.number, command.digest)
        if reply is not None:
            return reply
        state.manifest = command
        state.manifest_index = index
        store_accepted(state.manifests_accepted, make_accepted(command, command.digest))
        drop_lowest(state.manifests_accepted, MAX_MANIFESTS_KEPT)
        return make_accepted_reply(
            command.number, command.digest, command.operator, command.wall_ms
        )

    def _put_service(self, index: int, command: PutService) -> SubmitReply:
        key = f"{command.kind}/{command.name}"
        entry = self.state.services.get(key)
        accepted = entry.accepted if entry else {}
        current = entry.current.number if entry else 0
        reply = resolve_outcome(accepted, current, command.number, command.state)
        if reply is not None:
            return reply
        store_accepted(accepted, make_accepted(command, command.state))
        drop_lowest(accepted, MAX_CHANGES_KEPT)
        service = ServiceState(
            kind=command.kind,
            name=command.name,
            state=command.state,
            number=command.number,
            operator=command.operator,
            wall_ms=command.wall_ms,
        )
        self.state.services[key] = ServiceEntry(current=service, accepted=accepted)
        self.state.services_index = index
        return make_accepted_reply(command.number, command.state, command.operator, command.wall_ms)

    def _assign_owners(self, index: int, command: AssignOwners) -> list[OwnerAssignment]:
        owners = self.state.owners
        applied = []
        for change in command.changes:
            current = owners.get(change.partition)
            if (current.epoch if current else 0) != change.previous_epoch:
                continue
            owner = OwnerAssignment(partition=change.partition, host=change.host, epoch=index)
            owners[change.partition] = owner
            applied.append(owner)
        if applied:
            self.state.owners_index = index
        return applied

    def _plan_order(self, index: int, command: PlanOrder) -> Order | None:
        orders = self.state.orders
        latest = orders.get(command.upstream)
        if (latest.fencing if latest else 0) != command.previous_fencing:
            return None
        if latest is not None and latest.is_open():
            return None
        limit = self.state.manifest.concurrent_loads if self.state.manifest else 0
        if command.action in LOADING_ACTIONS and self.loads_running() >= limit:
            return None
        order = Order(
            upstream=command.upstream,
            fencing=index,
            action=command.action,
            model=command.model,
            version=command.version,
            adapter=command.adapter,
            state="planned",
            detail="",
            wall_ms=command.wall_ms,
        )
        orders[command.upstream] = order
        self._drop_old_orders()
        return order

    def _mark_order(self, command: MarkOrder) -> Order | None:
        order = self.state.orders.get(command.upstream)
        if order is None or order.fencing != command.fencing:
            return None
        if order.is_open() and command.state != "planned":
            order.state = command.state
            order.detail = command.detail
        return order

    def _drop_old_orders(self) -> None:
        orders = self.state.orders
        if len(orders) <= MAX_ORDERS_KEPT:
            return
        closed = [order for order in orders.values() if not order.is_open()]
        if closed:
            del orders[min(closed, key=lambda order: order.fencing).upstream]


def resolve_outcome(
    accepted: dict[int, AcceptedSubmission], current: int, number: int, content: str
) -> SubmitReply | None:
    """
    Determine the outcome of a submission whose number was used or is too low.

    Parameters
    ----------
    accepted : dict
        Accepted submissions by number.
    current : int
        Number in force; 0 if none.
    number : int
        Number of the submission.
    content : str
        Digest of the submitted manifest, or requested state of the target.

    Returns
    -------
    SubmitReply or None
        None if the submission is to be accepted. Otherwise the outcome is ``repeated`` if equal
        content was accepted under this number, ``conflict`` if other content was, and
        ``outdated``, with the number in force, for a lower number that was never accepted.

    Examples
    --------
    >>> resolve_outcome({}, 0, 1, "a") is None
    True
    >>> resolve_outcome({}, 7, 5, "a").outcome
    'outdated'
    """
    winner = accepted.get(number)
    if winner is not None:
        return SubmitReply(
            outcome="repeated" if winner.content == content else "conflict",
            number=number,
            digest=winner.content,
            winner_operator=winner.operator,
            winner_wall_ms=winner.wall_ms,
        )
    if number > current:
        return None
    reply = SubmitReply(outcome="outdated", number=current)
    winner = accepted.get(current)
    if winner is not None:
        reply.digest = winner.content
        reply.winner_operator = winner.operator
        reply.winner_wall_ms = winner.wall_ms
    return reply


def make_accepted(command: PutManifest | PutService, content: str) -> AcceptedSubmission:
    """Return the entry that is stored for an accepted submission."""
    return AcceptedSubmission(
        number=command.number,
        content=content,
        operator=command.operator,
        wall_ms=command.wall_ms,
    )


def make_accepted_reply(number: int, content: str, operator: str, wall_ms: int) -> SubmitReply:
    """Return the reply to an accepted submission."""
    return SubmitReply(
        outcome="accepted",
        number=number,
        digest=content,
        winner_operator=operator,
        winner_wall_ms=wall_ms,
    )


def store_accepted(accepted: dict[int, AcceptedSubmission], submission: AcceptedSubmission) -> None:
    """Store an accepted submission under its number."""
    accepted[submission.number] = submission


def drop_lowest(accepted: dict[int, AcceptedSubmission], limit: int) -> None:
    """Drop the lowest numbers above a limit; numbers are accepted in ascending order."""
    while len(accepted) > limit:
        del accepted[next(iter(accepted))]
