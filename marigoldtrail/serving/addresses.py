"""Lists the entries that a refused caller may use instead."""

from __future__ import annotations

import random
from typing import Any

from marigoldtrail.schema.generated.settings import Settings

MAX_ADDRESSES = 4


def list_alternative_addresses(view: Any, cfg: Settings, rng: random.Random) -> list[str]:
    """
    Return the addresses of other entries, those in this node's data centre first.

    Parameters
    ----------
    view : FleetView
        The node's view of the fleet.
    cfg : Settings
        Settings of this node.
    rng : random.Random
        Spreads the callers over the entries.

    Returns
    -------
    list of str
        At most `MAX_ADDRESSES` addresses of live entries that are neither draining nor out of
        service.
    """
    nodes = [
        node
        for node in view.nodes
        if node.state == "live"
        and "entry" in node.roles
        and node.host != cfg.host
        and not view.is_out_of_service("data_centre", node.data_centre)
        and not view.is_out_of_service("host", node.host)
        and not view.is_leaving_host(node.host)
    ]
    rng.shuffle(nodes)
    nodes.sort(key=lambda node: node.data_centre != cfg.data_centre)
    return [node.api_address for node in nodes[:MAX_ADDRESSES]]
