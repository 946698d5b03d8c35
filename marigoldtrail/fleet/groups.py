"""Log groups of the fleet, and the mapping of client accounts to record groups."""

from __future__ import annotations

import uuid
from collections.abc import Sequence

import xxhash

from marigoldtrail.schema.generated.settings import LogGroup, Settings

CONFIG_GROUP = "config"
DEFAULT_RECORD_GROUP = "records-0"


def groups_of(settings: Settings) -> list[LogGroup]:
    """
    Return the log groups defined by the settings.

    Parameters
    ----------
    settings : Settings
        Settings of any node of the fleet.

    Returns
    -------
    list of LogGroup
        The group ``config`` first, then the record groups. Without groups in the settings there
        is one record group, and every control host is a member of both groups.
    """
    if settings.groups:
        return list(settings.groups)
    members = [peer.host for peer in settings.control_hosts]
    return [
        LogGroup(name=CONFIG_GROUP, members=members),
        LogGroup(name=DEFAULT_RECORD_GROUP, members=members),
    ]


def record_groups_of(settings: Settings) -> list[str]:
    """
    Return the names of the record groups in the order of the settings.

    Parameters
    ----------
    settings : Settings
        Settings of any node of the fleet.

    Returns
    -------
    list of str
        Names of the record groups.
    """
    return [group.name for group in groups_of(settings) if group.name != CONFIG_GROUP]


def record_group_of(client_account: str, groups: Sequence[str]) -> str:
    """
    Return the record group of a client account.

    Parameters
    ----------
    client_account : str
        The account.
    groups : sequence of str
        Names of all record groups in the order of the settings.

    Returns
    -------
    str
        Name of the group.

    Examples
    --------
    >>> record_group_of("acme", ["records-0"])
    'records-0'
    """
    return groups[_group_number(client_account, groups)]


def new_request_id(client_account: str, groups: Sequence[str]) -> str:
    """
    Return a new request id that begins with the number of the account's record group.

    Parameters
    ----------
    client_account : str
        The account.
    groups : sequence of str
        Names of all record groups in the order of the settings.

    Returns
    -------
    str
        Two hexadecimal digits of the group number and 32 random ones.

    Examples
    --------
    >>> request_id = new_request_id("acme", ["records-0"])
    >>> request_id[:2], len(request_id)
    ('00', 34)
    """
    return f"{_group_number(client_account, groups):02x}{uuid.uuid4().hex}"


def group_of_request(request_id: str, groups: Sequence[str]) -> str | None:
    """
    Return the record group encoded in a request id.

    Parameters
    ----------
    request_id : str
        Id as `new_request_id` returns it.
    groups : sequence of str
        Names of all record groups in the order of the settings.

    Returns
    -------
    str or None
        Name of the group; None if the id encodes none of them.

    Examples
    --------
    >>> group_of_request("01ab", ["records-0", "records-1"])
    'records-1'
    >>> group_of_request("zz", ["records-0"]) is None
    True
    """
    try:
        number = int(request_id[:2], 16)
    except ValueError:
        return None
    return groups[number] if 0 <= number < len(groups) else None


def _group_number(client_account: str, groups: Sequence[str]) -> int:
    return xxhash.xxh64_intdigest(client_account.encode()) % len(groups)
