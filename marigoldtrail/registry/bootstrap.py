"""Names of control hosts, and initialisation of the log group by the seeds."""

from __future__ import annotations

import logging
from collections.abc import Iterator, Mapping

from marigoldtrail.consensus import Group, init_fleet
from marigoldtrail.errors import Failure
from marigoldtrail.fleet import CONFIG_GROUP
from marigoldtrail.net import Address, PeerClient
from marigoldtrail.timers import Timers

INIT_TIMEOUT_S = 1.0
INIT_PAUSE_S = 0.1

_log = logging.getLogger(__name__)


class PeerAddresses(Mapping[str, Address]):
    """
    Addresses of control hosts by name; the name of a control host is its address.

    A host that knows the voters from its log can therefore call them without looking up their
    addresses, even when all hosts restart at the same time after a power failure.

    Examples
    --------
    >>> PeerAddresses()["10.0.0.1:7740"]
    Address(ip='10.0.0.1', port=7740)
    >>> "control-1" in PeerAddresses()
    False
    """

    __slots__ = ()

    def __getitem__(self, name: str) -> Address:
        try:
            return Address.parse(name)
        except ValueError as exc:
            raise KeyError(name) from exc

    def __iter__(self) -> Iterator[str]:
        return iter(())

    def __len__(self) -> int:
        return 0

    def address_of(self, name: str) -> Address | None:
        """Return the address of a host; None if the name is not an address."""
        return self.get(name)


def peer_name(address: str, port: int) -> str:
    """
    Return the name of a control host within the log group.

    Parameters
    ----------
    address : str
        Any address of the host.
    port : int
        Port for traffic between hosts, the same on all hosts.

    Returns
    -------
    str
        Its IP address with that port.

    Examples
    --------
    >>> peer_name("10.0.0.1:8628", 7740)
    '10.0.0.1:7740'
    """
    return str(Address(Address.parse(address).ip, port))


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
