"""Leader discovery for log groups, by hints and by trying the members in turn."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Protocol, TypeVar

import msgspec

from marigoldtrail.errors import Failure, Reason, RunState, is_failure
from marigoldtrail.net import Address, PeerClient
from marigoldtrail.timers import Timers

Reply = TypeVar("Reply", bound=msgspec.Struct)

# Short enough that two silent control hosts in turn leave most of a view's 5 s lease.
ATTEMPT_TIMEOUT_S = 0.75
# Shorter timeout of a Sync for a host that has recently been silent, so that a new leader is found
# soon after an election. Not used for commits, which may take longer.
SILENT_ATTEMPT_TIMEOUT_S = 0.3
# The full timeout applies again after this time, since the host may be back but slow.
SILENT_PERIOD_S = 4.0
# An election takes 1 to 2 s, so that a shorter delay would only add messages.
ROUND_PAUSE_S = 0.1

# Failures after which another member, or the same one later, may answer. Every command is
# idempotent by its own id, so that a retry after an unknown outcome has no second effect.
RETRYABLE_REASONS = frozenset(
    {
        Reason.NOT_LEADER,
        Reason.NO_QUORUM,
        Reason.TIMEOUT,
        Reason.UNREACHABLE,
        Reason.UNKNOWN_OUTCOME,
        Reason.STOPPING,
    }
)

# Failures of the disk of one host. It may be out of the group, so that another member leads; if
# none answers, they are final, since a leader with a full disk refuses commands and goes on.
DISK_REASONS = frozenset({Reason.DISK_ERROR, Reason.DISK_FULL, Reason.CORRUPT})


class HostAddresses(Protocol):
    """Lookup of host addresses."""

    def address_of(self, host: str) -> Address | None:
        """Return the peer address of a host; None if it is not known."""
        ...


class LeaderFinder:
    """
    Calls the leader of each log group.

    Parameters
    ----------
    peers : PeerClient
        Sends the requests.
    addresses : HostAddresses
        Provides the addresses of hosts.
    timers : Timers
        Clock and delays.
    members : dict
        Control hosts of each group.
    """

    __slots__ = ("_peers", "_addresses", "_timers", "_members", "_leaders", "_silent_hosts")

    def __init__(
        self,
        *,
        peers: PeerClient,
        addresses: HostAddresses,
        timers: Timers,
        members: dict[str, list[str]],
    ) -> None:
        self._peers = peers
        self._addresses = addresses
        self._timers = timers
        self._members = members
        self._leaders: dict[str, str] = {}
        # Times of the first and last timeout of each host that has not answered since.
        self._silent_hosts: dict[str, tuple[float, float]] = {}

    def leader_of(self, group: str) -> str:
        """
        Return the host that last answered as leader of a group.

        Parameters
        ----------
        group : str
            Name of the group.

        Returns
        -------
        str
            The host; empty if none is known.
        """
        return self._leaders.get(group, "")

    async def call(
        self,
        group: str,
        request: msgspec.Struct,
        reply_type: type[Reply],
        *,
        timeout_s: float,
        attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
        silent_attempt_timeout_s: float | None = None,
        on_attempt: Callable[[], None] = lambda: None,
    ) -> Reply | Failure:
        """
        Call the leader of a group; see `ControlClient.call_group`.

        Parameters
        ----------
        group : str
            Name of the group.
        request : msgspec.Struct
            The request, idempotent by its own id.
        reply_type : type
            Type of the reply.
        timeout_s : float
            Timeout in seconds over all attempts.
        attempt_timeout_s : float
            Timeout in seconds per attempt.
        silent_attempt_timeout_s : float or None
            Timeout per attempt at a host that has been silent for less than `SILENT_PERIOD_S`;
            None to use `attempt_timeout_s`.
        on_attempt : callable
            Called right before each attempt.

        Returns
        -------
        msgspec.Struct or Failure
            The reply, or the last failure; ``MAY_HAVE_RUN`` if any attempt may have had an effect.
        """
        if group not in self._members:
            return _build_failure(Reason.NOT_FOUND, request, detail=f"no group {group!r}")
        deadline = self._timers.now() + timeout_s
        may_have_run = False
        last: Failure | None = None
        while True:
            disk_failure: Failure | None = None
            for host in self._iterate_members(group):
                remaining = deadline - self._timers.now()
                if remaining <= 0:
                    return _build_final_failure(last, request, may_have_run)
                on_attempt()
                host_timeout_s = attempt_timeout_s
                if silent_attempt_timeout_s is not None and self._is_recently_silent(host):
                    host_timeout_s = silent_attempt_timeout_s
                reply = await self._call_host(
                    host, request, reply_type, timeout_s=min(host_timeout_s, remaining)
                )
                if not is_failure(reply):
                    self._leaders[group] = host
                    self._silent_hosts.pop(host, None)
                    return reply
                last = reply
                may_have_run = may_have_run or reply.run_state is RunState.MAY_HAVE_RUN
                if reply.reason in DISK_REASONS:
                    disk_failure = disk_failure or reply
                elif reply.reason not in RETRYABLE_REASONS:
                    return _build_final_failure(last, request, may_have_run)
                self._record_failure(group, host, reply)
            if disk_failure is not None:
                return _build_final_failure(disk_failure, request, may_have_run)
            await self._timers.sleep(min(ROUND_PAUSE_S, max(0.0, deadline - self._timers.now())))

    def _iterate_members(self, group: str) -> Iterator[str]:
        """
        Yield the presumed leader first, then other members, and at most one silent host, last.

        An election may end while a silent host is tried. With more silent hosts per round, three
        silent control hosts of seven used up the lease of a view.
        """
        untried = dict.fromkeys(self._members[group])
        while True:
            leader = self._leaders.get(group, "")
            if leader and leader not in self._silent_hosts and leader in untried:
                host = leader
            elif untried:
                host = min(untried, key=self._get_last_timeout)
            else:
                return
            untried.pop(host)
            was_silent = host in self._silent_hosts
            yield host
            if was_silent:
                return
            # A hint may name a host that joined the group after the settings were read.
            hinted = self._leaders.get(group, "")
            if hinted and hinted not in self._members[group]:
                self._members[group].append(hinted)
                untried[hinted] = None

    def _record_failure(self, group: str, host: str, failure: Failure) -> None:
        if failure.reason in (Reason.TIMEOUT, Reason.UNREACHABLE):
            # Members name a lost leader in hints until an election ends, so it is tried last.
            now = self._timers.now()
            since, _ = self._silent_hosts.get(host, (now, now))
            self._silent_hosts[host] = (since, now)
        else:
            self._silent_hosts.pop(host, None)
        if failure.reason is Reason.NOT_LEADER and failure.hint and failure.hint != host:
            self._leaders[group] = failure.hint
        elif self._leaders.get(group) == host:
            del self._leaders[group]

    def _get_last_timeout(self, host: str) -> float:
        return self._silent_hosts[host][1] if host in self._silent_hosts else float("-inf")

    def _is_recently_silent(self, host: str) -> bool:
        silent = self._silent_hosts.get(host)
        return silent is not None and self._timers.now() - silent[0] < SILENT_PERIOD_S

    async def _call_host(
        self, host: str, request: msgspec.Struct, reply_type: type[Reply], *, timeout_s: float
    ) -> Reply | Failure:
        address = self._addresses.address_of(host)
        if address is None:
            return _build_failure(
                Reason.UNREACHABLE, request, detail=f"no address of host {host!r}"
            )
        return await self._peers.call(address, request, reply_type, timeout_s=timeout_s)


def _build_failure(reason: Reason, request: msgspec.Struct, *, detail: str) -> Failure:
    step = type(request).__name__
    return Failure(reason=reason, run_state=RunState.NOT_RUN, step=step, detail=detail)


def _build_final_failure(
    last: Failure | None, request: msgspec.Struct, may_have_run: bool
) -> Failure:
    if last is None:
        return _build_failure(Reason.TIMEOUT, request, detail="no time for a try")
    if may_have_run and last.run_state is RunState.NOT_RUN:
        return msgspec.structs.replace(last, run_state=RunState.MAY_HAVE_RUN)
    return last
