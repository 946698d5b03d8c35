"""Log commands of group config, and the durable state that they modify."""

from __future__ import annotations

from typing import Literal

import msgspec

from marigoldtrail.consensus import UnsupportedCommandError
from marigoldtrail.control.version_ledger import VersionLedger
from marigoldtrail.schema.generated.control import OwnerAssignment, ServiceState

ServiceKind = Literal["data_centre", "host", "upstream"]
OrderAction = Literal["load_model", "load_adapter", "load_version", "change_role"]
OrderState = Literal["planned", "sent", "done", "refused"]

# Feature levels. A command that earlier releases can't apply gets the next level, and a leader
# writes it only once all members have stated that level; fields that change what a command does
# need a command of their own.
BASE_LEVEL = 0
VERSIONS_LEVEL = 1
COMMAND_LEVEL = VERSIONS_LEVEL

LOADING_ACTIONS = frozenset({"load_model", "load_adapter", "load_version"})
OPEN_STATES = frozenset({"planned", "sent"})


class PutManifest(msgspec.Struct, kw_only=True, frozen=True, tag=True):
    """
    Puts a validated manifest in force if its number is the highest so far.

    Parameters
    ----------
    number : int
        Number of the manifest.
    digest : str
        SHA-256 of the canonical document.
    document : bytes
        Canonical document, zlib-compressed.
    concurrent_loads : int
        Limit of concurrent weight loads, kept here so that applying needs no parsing.
    operator : str
        Operator who submitted it.
    wall_ms : int
        Wall-clock time of the submission in milliseconds.
    """

    number: int
    digest: str
    document: bytes
    concurrent_loads: int
    operator: str
    wall_ms: int


class PutService(msgspec.Struct, kw_only=True, frozen=True, tag=True):
    """
    Takes a target out of service or returns it to service.

    Parameters
    ----------
    kind, name : str
        The target.
    state : str
        ``"in"`` or ``"out"``.
    number : int
        Number of the change; each target has its own sequence.
    operator : str
        Operator who submitted it.
    wall_ms : int
        Wall-clock time of the submission in milliseconds.
    """

    kind: ServiceKind
    name: str
    state: Literal["in", "out"]
    number: int
    operator: str
    wall_ms: int


class OwnerChange(msgspec.Struct, kw_only=True, frozen=True):
    """
    New owner of one partition; ignored unless `previous_epoch` matches.

    Parameters
    ----------
    partition : int
        The partition.
    host : str
        The new owner.
    previous_epoch : int
        Epoch that the change replaces; 0 if there was no owner.
    """

    partition: int
    host: str
    previous_epoch: int


class AssignOwners(msgspec.Struct, kw_only=True, frozen=True, tag=True):
    """
    Assigns partitions of upstreams to slot owners; the log index becomes the epoch.

    Parameters
    ----------
    changes : list of OwnerChange
        The assignments.
    """

    changes: list[OwnerChange]


class PlanOrder(msgspec.Struct, kw_only=True, frozen=True, tag=True):
    """
    Plans an order to an engine; the log index becomes its fencing number.

    Parameters
    ----------
    upstream : str
        The engine.
    action, model, version, adapter : str
        Requested action and its arguments.
    previous_fencing : int
        Fencing number of the engine's latest order; 0 if there was none. A resent command no
        longer matches and has no effect.
    wall_ms : int
        Wall-clock time in milliseconds.
    """

    upstream: str
    action: OrderAction
    model: str
    version: str
    adapter: str = ""
    previous_fencing: int
    wall_ms: int


class MarkOrder(msgspec.Struct, kw_only=True, frozen=True, tag=True):
    """
    Records the progress of an order.

    Parameters
    ----------
    upstream : str
        The engine.
    fencing : int
        Fencing number of the order.
    state : str
        ``"sent"``, ``"done"`` or ``"refused"``.
    detail : str
        Human-readable detail.
    """

    upstream: str
    fencing: int
    state: OrderState
    detail: str = ""


class AddVersions(msgspec.Struct, kw_only=True, frozen=True, tag=True):
    """
    Adds software versions that are now in service.

    Parameters
    ----------
    versions : dict
        New versions by service.
    """

    versions: dict[str, list[str]]


class RemoveVersion(msgspec.Struct, kw_only=True, frozen=True, tag=True):
    """
    Removes a software version that no stream in progress can hold any more.

    Parameters
    ----------
    service, version : str
        The version.
    """

    service: str
    version: str


class PutStreams(msgspec.Struct, kw_only=True, frozen=True, tag=True):
    """
    Records the software versions that began streams.

    Parameters
    ----------
    streams : dict
        Versions by stream key.
    drop_through : int
        Log index up to which earlier records are dropped; 0 for none.
    """

    streams: dict[bytes, str]
    drop_through: int = 0


Command = (
    PutManifest
    | PutService
    | AssignOwners
    | PlanOrder
    | MarkOrder
    | AddVersions
    | RemoveVersion
    | PutStreams
)

_KINDS = frozenset(kind.__name__ for kind in Command.__args__)


class _CommandKind(msgspec.Struct):
    type: str


_kind_decoder = msgspec.msgpack.Decoder(_CommandKind)
_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """
    Encode a command for the log.

    Parameters
    ----------
    command : Command
        The command.

    Returns
    -------
    bytes
        The msgpack encoding.
    """
    return msgspec.msgpack.encode(command)


def decode_command(data: bytes) -> Command:
    """
    Decode a command from the log.

    Parameters
    ----------
    data : bytes
        As `encode_command` returned it.

    Returns
    -------
    Command
        The command.

    Raises
    ------
    UnsupportedCommandError
        If this release does not know the command. Skipping it would let replicas diverge.
    msgspec.MsgspecError
        If the command is malformed.
    """
    try:
        return _decoder.decode(data)
    except msgspec.ValidationError as exc:
        if _kind_decoder.decode(data).type not in _KINDS:
            raise UnsupportedCommandError(str(exc)) from None
        raise


class AcceptedSubmission(msgspec.Struct, kw_only=True, frozen=True):
    """
    Submission that was accepted under a number.

    Parameters
    ----------
    number : int
        The number.
    content : str
        Digest of the manifest, or state of the target.
    operator : str
        Operator who submitted it.
    wall_ms : int
        Wall-clock time in milliseconds.
    """

    number: int
    content: str
    operator: str
    wall_ms: int


class ServiceEntry(msgspec.Struct, kw_only=True):
    """
    Current state of a target and its recent changes.

    Parameters
    ----------
    current : ServiceState
        The state in force.
    accepted : dict
        Accepted changes by number.
    """

    current: ServiceState
    accepted: dict[int, AcceptedSubmission]


class Order(msgspec.Struct, kw_only=True):
    """
    Latest order to an engine.

    Parameters
    ----------
    upstream : str
        The engine.
    fencing : int
        Log index of the `PlanOrder` command.
    action, model, version, adapter : str
        Requested action and its arguments.
    state : str
        Progress of the order.
    detail : str
        Human-readable detail.
    wall_ms : int
        Wall-clock time of planning in milliseconds.
    """

    upstream: str
    fencing: int
    action: OrderAction
    model: str
    version: str
    adapter: str
    state: OrderState
    detail: str
    wall_ms: int

    def is_open(self) -> bool:
        """
        Tell whether the order may still have an effect on the engine.

        Returns
        -------
        bool
            True until it is done or refused.
        """
        return self.state in OPEN_STATES

    def is_loading(self) -> bool:
        """
        Tell whether the order counts towards the limit of weight loads.

        Returns
        -------
        bool
            True for open orders that read from the weight store.
        """
        return self.is_open() and self.action in LOADING_ACTIONS


class ConfigState(msgspec.Struct, kw_only=True):
    """
    Durable state of group config; a snapshot is its msgpack encoding.

    Parameters
    ----------
    manifest : PutManifest or None
        The manifest in force.
    manifest_index, services_index, owners_index : int
        Log index of the last change of the manifest, services and owners.
    manifests_accepted : dict
        Accepted manifests by number.
    services : dict
        Targets by ``kind/name``.
    owners : dict
        Owner of each partition.
    orders : dict
        Latest order of each engine.
    versions : VersionLedger
        Software versions of services and streams.
    """

    manifest: PutManifest | None = None
    manifest_index: int = 0
    manifests_accepted: dict[int, AcceptedSubmission] = {}
    services: dict[str, ServiceEntry] = {}
    services_index: int = 0
    owners: dict[int, OwnerAssignment] = {}
    owners_index: int = 0
    orders: dict[str, Order] = {}
    versions: VersionLedger = msgspec.field(default_factory=VersionLedger)
