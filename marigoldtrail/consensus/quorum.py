"""Count votes, values and voters of a member list."""

from __future__ import annotations

from marigoldtrail.consensus.state import GroupState
from marigoldtrail.schema.generated.consensus import Member


def get_quorum_size(state: GroupState) -> int:
    """
    Return the number of voters in a quorum.

    Parameters
    ----------
    state : GroupState
        The group.

    Returns
    -------
    int
        More than half of the voters.
    """
    return len(state.log.voters) // 2 + 1


def get_quorum_value(
    state: GroupState, own: float, value_of: dict[str, float], missing: float
) -> float:
    """
    Return the largest value that is reached by a quorum of voters.

    Parameters
    ----------
    state : GroupState
        The group.
    own : float
        Value of this host.
    value_of : dict
        Values of the other hosts by storage id.
    missing : float
        Value of a voter that `value_of` does not contain.

    Returns
    -------
    float
        Every voter of some quorum has at least this value.
    """
    values = [
        own if member.storage_id == state.storage_id else value_of.get(member.storage_id, missing)
        for member in state.log.voters
    ]
    values.sort(reverse=True)
    return values[get_quorum_size(state) - 1] if values else missing


def find_voter(voters: list[Member], host: str) -> Member | None:
    """
    Return the voter on a host.

    Parameters
    ----------
    voters : list of Member
        A member list.
    host : str
        Name of the host.

    Returns
    -------
    Member or None
        None if no voter is on the host.
    """
    return next((member for member in voters if member.host == host), None)


def has_same_voters(one: list[Member], other: list[Member]) -> bool:
    """
    Tell whether two member lists are equal, regardless of order.

    Parameters
    ----------
    one, other : list of Member
        The lists.

    Returns
    -------
    bool
        True if both contain the same hosts and storage ids.

    Examples
    --------
    >>> a, b = Member(host="a", storage_id="1"), Member(host="b", storage_id="2")
    >>> has_same_voters([a, b], [b, a])
    True
    """
    return sorted((m.host, m.storage_id) for m in one) == sorted(
        (m.host, m.storage_id) for m in other
    )
