"""Assignment of upstream partitions to slot owners."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from marigoldtrail.control.commands import OwnerChange
from marigoldtrail.control.partitions import PARTITIONS
from marigoldtrail.schema.generated.control import OwnerAssignment

# An owner grants slots only while its view is current, at most this long after its last Sync.
OWNER_LEASE_S = 5.0


def plan_owner_changes(
    owners: dict[int, OwnerAssignment], live: list[str], is_lease_expired: Callable[[str], bool]
) -> list[OwnerChange]:
    """
    Plan new owners for partitions without an owner or whose owner's lease has expired.

    Parameters
    ----------
    owners : dict
        Committed owners by partition.
    live : list of str
        Live control hosts, which may become owners.
    is_lease_expired : callable
        Returns whether an owner has certainly stopped granting slots.

    Returns
    -------
    list of OwnerChange
        Changes that assign each free partition to the live host with the fewest partitions.

    Examples
    --------
    >>> changes = plan_owner_changes({}, ["a", "b"], lambda host: False)
    >>> Counter(change.host for change in changes) == {"a": 32, "b": 32}
    True
    """
    if not live:
        return []
    free = []
    counts = Counter(dict.fromkeys(live, 0))
    for partition in range(PARTITIONS):
        owner = owners.get(partition)
        if owner is None or (owner.host not in live and is_lease_expired(owner.host)):
            free.append(partition)
        elif owner.host in counts:
            counts[owner.host] += 1
    changes = []
    for partition in free:
        host = min(live, key=lambda name: (counts[name], name))
        counts[host] += 1
        owner = owners.get(partition)
        epoch = owner.epoch if owner else 0
        changes.append(OwnerChange(partition=partition, host=host, previous_epoch=epoch))
    return changes
