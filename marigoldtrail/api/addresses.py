"""Selection and ranking of the entry addresses that are offered to callers."""

from __future__ import annotations

import random
from typing import Protocol

import msgspec

from marigoldtrail.schema.generated.control import NodeStatus
from marigoldtrail.schema.generated.manifest import Manifest

MAX_AGE_S = 5


class AddressView(Protocol):
    """The part of `marigoldtrail.fleet.FleetView` that address responses are built from."""

    @property
    def nodes(self) -> list[NodeStatus]:
        """Return the nodes with the states that the leader last reported."""
        ...

    @property
    def manifest(self) -> Manifest | None:
        """Return the manifest in force."""
        ...

    def is_out_of_service(self, kind: str, name: str) -> bool:
        """Return whether operators have taken a target out of service."""
        ...

    def is_leaving_host(self, host: str) -> bool:
        """Return whether the platform lists a host as leaving."""
        ...


class EntryAddress(msgspec.Struct, kw_only=True, frozen=True):
    """
    Address of an entry that accepts requests.

    Parameters
    ----------
    host, data_centre : str
        Location of the entry.
    address : str
        IP address and port for callers.
    """

    host: str
    data_centre: str
    address: str


class AddressResponse(msgspec.Struct, kw_only=True, frozen=True):
    """
    Response body of ``GET /v1/addresses``.

    Parameters
    ----------
    addresses : list of EntryAddress
        Best first.
    max_age_s : int
        Seconds for which a caller may cache the response.
    """

    addresses: list[EntryAddress]
    max_age_s: int = MAX_AGE_S


def rank_addresses(
    view: AddressView, rng: random.Random, data_centre: str = "", *, exclude_host: str = ""
) -> list[EntryAddress]:
    """
    Rank the entries for a caller.

    Entries in the caller's data centre come first, then the others by the delay of the link to
    them. Entries of equal rank are in random order, which distributes callers among them.

    Parameters
    ----------
    view : AddressView
        View of the fleet. Entries that are suspect, dead, draining, leaving or out of service are
        excluded.
    rng : random.Random
        Random source for the order of entries of equal rank.
    data_centre : str
        Data centre of the caller; empty if unknown.
    exclude_host : str
        Host to exclude, for example the one that refuses a request.

    Returns
    -------
    list of EntryAddress
        Best first; empty if no entry is eligible.
    """
    delays = {}
    if view.manifest is not None:
        delays = {
            link.target: link.delay_ms for link in view.manifest.links if link.source == data_centre
        }
    delays[data_centre] = float("-inf")
    entries = [node for node in view.nodes if is_eligible(view, node) and node.host != exclude_host]
    rng.shuffle(entries)
    entries.sort(key=lambda node: delays.get(node.data_centre, float("inf")))
    return [
        EntryAddress(host=node.host, data_centre=node.data_centre, address=node.api_address)
        for node in entries
    ]


def is_eligible(view: AddressView, node: NodeStatus) -> bool:
    """
    Return whether callers may be directed to a node.

    Parameters
    ----------
    view : AddressView
        View of the fleet.
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
        and not view.is_out_of_service("data_centre", node.data_centre)
        and not view.is_out_of_service("host", node.host)
        and not view.is_leaving_host(node.host)
    )
