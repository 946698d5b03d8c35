"""The platform's list of live and leaving hosts, which may be outdated."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection
from typing import Literal

import msgspec

from marigoldtrail.errors import Failure
from marigoldtrail.schema import Fault, decode_json


class PlatformHost(msgspec.Struct, kw_only=True, frozen=True):
    """
    Entry of the platform's host list.

    Parameters
    ----------
    host : str
        The host.
    state : str
        ``"live"`` or ``"leaving"``.
    """

    host: str
    state: Literal["live", "leaving"]


class HostList(msgspec.Struct, kw_only=True, frozen=True):
    """
    One read of the platform's host list.

    Parameters
    ----------
    version : int
        Version of the list; a replica of the platform may return an old one.
    hosts : list of PlatformHost
        The hosts.
    """

    version: int
    hosts: list[PlatformHost]


ReadHosts = Callable[[], Awaitable[HostList | Failure]]


def parse_host_list(data: bytes) -> HostList | Fault:
    """
    Parse the body of the platform's response.

    Parameters
    ----------
    data : bytes
        ``{"version": n, "hosts": [{"host": s, "state": "live" or "leaving"}, ...]}``.

    Returns
    -------
    HostList or Fault
        The list, or why it is invalid.

    Examples
    --------
    >>> parse_host_list(b'{"version": 1, "hosts": [{"host": "a", "state": "live"}]}').hosts[0].host
    'a'
    """
    value = decode_json(data, "platform hosts")
    if isinstance(value, Fault):
        return value
    try:
        return msgspec.convert(value, HostList)
    except msgspec.ValidationError as exc:
        return Fault(source="platform hosts", path="$", value="", message=str(exc))


class LeavingHosts:
    """
    Hosts that the platform has listed as leaving.

    Attributes
    ----------
    revision : int
        Increases with every change.
    was_read : bool
        Whether the list has been read since this leader's election.
    """

    __slots__ = ("revision", "was_read", "_leaving", "_listed", "_version")

    def __init__(self) -> None:
        self.revision = 1
        self.was_read = False
        self._leaving: dict[str, int] = {}
        self._listed: dict[str, str] = {}
        self._version = -1

    def names(self) -> list[str]:
        """
        Return the leaving hosts.

        Returns
        -------
        list of str
            Sorted names.
        """
        return sorted(self._leaving)

    def is_leaving(self, host: str) -> bool:
        """
        Tell whether a host is leaving.

        Parameters
        ----------
        host : str
            The host.

        Returns
        -------
        bool
            True if it was listed as leaving and no newer list gives it as live.
        """
        return host in self._leaving

    def list_live(self) -> list[str]:
        """
        Return the hosts that are live in the newest list.

        Returns
        -------
        list of str
            Names in the order of the list.
        """
        return [host for host, state in self._listed.items() if state == "live"]

    def observe(self, listing: HostList, used_hosts: Collection[str]) -> list[str]:
        """
        Merge a host list that was read.

        Parameters
        ----------
        listing : HostList
            The list, possibly of an old version.
        used_hosts : collection of str
            Hosts of nodes and upstreams. A leaving host is kept until a newer list gives it as
            live, or until it is neither listed nor used.

        Returns
        -------
        list of str
            Hosts whose state changed.
        """
        self.was_read = True
        changed = []
        for entry in listing.hosts:
            if entry.state == "leaving":
                if entry.host not in self._leaving:
                    changed.append(entry.host)
                known = self._leaving.get(entry.host, -1)
                self._leaving[entry.host] = max(known, listing.version)
            elif listing.version > self._leaving.get(entry.host, listing.version):
                del self._leaving[entry.host]
                changed.append(entry.host)
        if listing.version >= self._version:
            self._version = listing.version
            self._listed = {entry.host: entry.state for entry in listing.hosts}
            changed += self._remove_unused(used_hosts)
        if changed:
            self.revision += 1
        return changed

    def _remove_unused(self, used_hosts: Collection[str]) -> list[str]:
        gone = [h for h in self._leaving if h not in self._listed and h not in used_hosts]
        for host in gone:
            del self._leaving[host]
        return gone
