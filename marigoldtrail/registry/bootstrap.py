"""Initialisation of the log group by the seeds."""

from __future__ import annotations

import logging

from marigoldtrail.consensus import Group, init_fleet
from marigoldtrail.errors import Failure
from marigoldtrail.fleet import CONFIG_GROUP
from marigoldtrail.net import PeerClient
from marigoldtrail.registry.addresses import PeerAddresses
from marigoldtrail.timers import Timers

INIT_TIMEOUT_S = 1.0
INIT_PAUSE_S = 0.1

_log = logging.getLogger(__name__)


async def bootstrap_group(
    group: Group, client: PeerClient, seeds: list[str], *, timers: Timers
) -> None:
    """
    Initialise the log group with the seeds as its voters, once all seeds answer.

    Every seed does this at the first start of the fleet. All of them read the same identities and
    therefore write the same first entry, in whatever order they start.

    Parameters
    ----------
    group : Group
        The group on this host.
    client : PeerClient
        Calls the other seeds.
    seeds : list of str
        Names of the seeds, including this host.
    timers : Timers
        Delays between attempts.
    """
    while not group.has_voters:
        result = await init_fleet(
            client,
            hosts={CONFIG_GROUP: seeds},
            addresses=PeerAddresses(),
            timeout_s=INIT_TIMEOUT_S,
        )
        if isinstance(result, Failure):
            _log.info("group config is not initialised yet: %s", result)
            await timers.sleep(INIT_PAUSE_S)
        else:
            _log.info("group config is initialised with the voters %s", ", ".join(seeds))
