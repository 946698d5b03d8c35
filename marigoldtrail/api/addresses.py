"""Which entries callers are told to use."""

from __future__ import annotations

import random
from typing import Protocol

import msgspec

from marigoldtrail.schema.generated.control import NodeStatus
from marigoldtrail.schema.generated.manifest import Manifest

MAX_AGE_S = 5


class AddressView(Protocol):
    """The part of a `marigoldtrail.fleet.FleetView` that address answers are made from."""

    @property
    def nodes(self) -> list[NodeStatus]:
        """Return the nodes as the leader sees them."""
        ...

    @property
    def manifest(self) -> Manifest | None:
        """Return the manifest in force."""
        ...

    def is_out(self, kind: str, name: str) -> bool:
        """Tell whether operators have a target out of service."""
        ...

    def is_leaving_host(self, host: str) -> bool:
        """Tell whether the platform lists a host as leaving."""
        ...


class EntryAddress(msgspec.Struct, kw_only=True, frozen=True):
    """
    An entry that takes requests.

    Parameters
    ----------
    host, data_centre : str
        Where it is.
    address : str
        IP address and port for callers.
    """

    host: str
    data_centre: str
    address: str


class AddressAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """
    Answer of ``GET /v1/addresses``.

    Parameters
    ----------
    addresses : list of EntryAddress
        Best first.
    max_age_s : int
        Seconds for which a caller may use the answer.
    """

    addresses: list[EntryAddress]
    max_age_s: int = MAX_AGE_S


def rank_addresses(
    view: AddressView, rng: random.Random, data_centre: str = "", *, leave_out: str = ""
) -> list[EntryAddress]:
    """
    Rank the entries for a caller.

    Entries in the caller's data centre come first, then the others by the delay of the link to
    them. Within a rank the order is random, so that callers spread.

    Parameters
    ----------
    view : AddressView
        The fleet. Entries that are suspect, dead, draining, leaving or out of service are left out.
    rng : random.Random
        Source of the order within a rank.
    data_centre : str
        Data centre of the caller; empty if unknown.
    leave_out : str
        Host that is not named, for example the one that refuses a request.

    Returns
    -------
    list of EntryAddress
        Best first; empty if no entry is fit.
    """
    delays = {}
    if view.manifest is not None:
        delays = {
            link.target: link.delay_ms for link in view.manifest.links if link.source == data_centre
        }
    delays[data_centre] = float("-inf")
    entries = [node for node in view.nodes if is_fit(view, node) and node.host != leave_out]
    rng.shuffle(entries)
    entries.sort(key=lambda node: delays.get(node.data_centre, float("inf")))
    return [
        EntryAddress(host=node.host, data_centre=node.data_centre, address=node.api_address)
        for node in entries
    ]


def is_fit(view: AddressView, node: NodeStatus) -> bool:
    """
    Tell whether callers may be sent to a node.

    Parameters
    ----------
    view : AddressView
        The fleet.
    node : NodeStatus
        The node.

    Returns
    -------
    bool
        True for a live entry that is neither leaving nor out of service.
    """
    return (
        node.state == "live"
        and "entry" in node.roles
        and bool(node.api_address)
        and not view.is_out("data_centre", node.data_centre)
        and not view.is_out("host", node.host)
        and not view.is_leaving_host(node.host)
    )
