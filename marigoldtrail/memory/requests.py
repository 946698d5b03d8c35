"""Memory of the requests of callers, from their first byte until they have ended."""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio

from marigoldtrail.memory.budget import (
    DEFAULT_BUDGET_BYTES,
    MemoryAccount,
    MemoryBudget,
    ignore_eviction,
)
from marigoldtrail.timers import Timers

PURPOSE = "request"
# Each connection may hold this much without an account: its own objects take more.
FREE_BYTES = 4096
# Beyond this size the memory of a whole body is taken at once.
SMALL_BYTES = 65536
# Largest part of a request that is read at once; each connection that waits holds one.
READ_BYTES = 65536
SMALL_SHARE = 0.4
LARGE_SHARE = 0.45
# The rest of the budget is for parts that were read and wait for their memory.
WAITING_SHARE = 0.15
# A large body that has not arrived in this time is given up if others wait for its memory.
LARGE_PATIENCE_S = 1.0
# Callers give up a request that has not been read for longer, and another host may have room.
MAX_WAIT_S = 2.0
LOG_INTERVAL_S = 1.0

_log = logging.getLogger(__name__)


class RequestAccount:
    """
    Memory of the request that a connection reads or serves.

    Parameters
    ----------
    memory : RequestMemory
        The memory that it belongs to.
    peer : str
        The caller, for the log.
    evict : callable
        Called if the request has to be given up while it is read.

    Attributes
    ----------
    is_evicted : bool
        Whether the current request has to be given up.
    """

    __slots__ = ("peer", "is_evicted", "_memory", "_evict", "_small", "_large", "_is_complete")

    def __init__(self, *, memory: RequestMemory, peer: str, evict: Callable[[], None]) -> None:
        self.peer = peer
        self.is_evicted = False
        self._memory = memory
        self._evict = evict
        self._small: MemoryAccount | None = None
        self._large: MemoryAccount | None = None
        self._is_complete = False

    def _handle_eviction(self) -> None:
        self.is_evicted = True
        self._evict()

    async def hold(self, size: int) -> bool:
        """
        Take the memory of all that has arrived; wait for it if there is no room.

        Parameters
        ----------
        size : int
            Bytes that have arrived of the request, and of those after it.

        Returns
        -------
        bool
            False if the request has to be refused.
        """
        small = min(size, SMALL_BYTES) - FREE_BYTES
        if small <= 0:
            return True
        if self._small is None:
            self._small = self._open(self._memory.small, has_known_size=False)
        if not await self._memory.take(self, self._small, small):
            return False
        # Only what comes after the body exceeds what was reserved for it.
        return size <= SMALL_BYTES or await self.reserve(size, has_known_size=False)

    async def reserve(self, bound: int, *, has_known_size: bool) -> bool:
        """
        Take the memory of a body before it is read, and wait for it if there is no room.

        Parameters
        ----------
        bound : int
            Bytes that the body may have; up to `SMALL_BYTES` of them are taken as they arrive.
        has_known_size : bool
            Whether the caller announced the bound.

        Returns
        -------
        bool
            False if the request has to be refused.
        """
        if bound <= SMALL_BYTES:
            return True
        if self._large is None:
            self._large = self._open(self._memory.large, has_known_size=has_known_size)
        return await self._memory.take(self, self._large, bound - SMALL_BYTES)

    def _open(self, budget: MemoryBudget, *, has_known_size: bool) -> MemoryAccount:
        account = budget.open(
            PURPOSE, self.peer, has_known_size=has_known_size, evict=self._handle_eviction
        )
        if self._is_complete:
            account.complete()
        return account

    async def try_hold(self, size: int) -> bool:
        """Take the memory of what was sent ahead; return False if that would have to wait."""
        small = size - FREE_BYTES
        if size > SMALL_BYTES:
            return False
        if small <= 0:
            return True
        if self._small is None:
            self._small = self._open(self._memory.small, has_known_size=False)
        count = small - self._small.size
        if count <= 0:
            return True
        may_take = self._memory.small.may_take(self._small, count)
        return may_take and await self._small.take(count)

    def complete(self, size: int) -> None:
        """
        Note that the request was read; it is no longer given up.

        Parameters
        ----------
        size : int
            Bytes that are held; the rest of what was taken is given back.
        """
        self._is_complete = True
        if self._small is not None:
            self._small.complete()
        if self._large is not None:
            self._large.complete()
            self._large.give_back(max(0, self._large.size - max(0, size - SMALL_BYTES)))

    def close(self) -> None:
        """Give back all memory; the account can be used for the next request."""
        for account in (self._small, self._large):
            if account is not None:
                account.close()
        self._small = self._large = None
        self._is_complete = False
        self.is_evicted = False

    def end(self) -> None:
        """Give back all memory; there is no next request."""
        self.close()
        # The connection that it would stop refers to the account: only the garbage collector would
        # free the two, with all that the connection has received.
        self._evict = ignore_eviction


class RequestMemory:
    """
    Memory that all requests of callers may take together on one host.

    It is apart from the budget of responses: a request holds its memory while it waits for its
    response, so that with one budget for both all requests could wait for each other.

    Small requests, up to `SMALL_BYTES`, take memory as they arrive. The memory of a larger one is
    taken as a whole before the rest is read, up to the announced length or the limit, so that large
    requests that arrive at the same time are read one after the other and do not wait for each
    other half read. Large requests cannot take the memory of small ones.

    Parameters
    ----------
    total_bytes : int
        Bytes for all requests, in addition to `FREE_BYTES` for each connection.
    timers : Timers
        Clock.

    Attributes
    ----------
    small, large : MemoryBudget
        Memory up to `SMALL_BYTES` of each request, and beyond.

    Examples
    --------
    >>> memory = RequestMemory(total_bytes=10_000_000, timers=Timers())
    >>> memory.max_body_bytes, memory.used_bytes
    (4500000, 0)
    """

    __slots__ = (
        "small",
        "large",
        "_refused",
        "_timers",
        "_max_waiting",
        "_waiting",
        "_next_log_at",
    )

    def __init__(self, *, total_bytes: int, timers: Timers) -> None:
        self.small = MemoryBudget(total_bytes=int(total_bytes * SMALL_SHARE), timers=timers)
        self.large = MemoryBudget(
            total_bytes=int(total_bytes * LARGE_SHARE), timers=timers, patience_s=LARGE_PATIENCE_S
        )
        self._refused = 0
        self._timers = timers
        self._max_waiting = max(1, int(total_bytes * WAITING_SHARE) // READ_BYTES)
        self._waiting = 0
        self._next_log_at = 0.0

    @property
    def max_body_bytes(self) -> int:
        """Size of the largest body that the host can hold."""
        return self.large.total_bytes

    @property
    def used_bytes(self) -> int:
        """Bytes taken."""
        return self.small.used_bytes + self.large.used_bytes

    @property
    def refused(self) -> int:
        """Number of requests that were refused or given up for want of memory."""
        return self._refused + self.small.evicted.total() + self.large.evicted.total()

    def open(self, peer: str, evict: Callable[[], None]) -> RequestAccount:
        """
        Open the account of a connection.

        Parameters
        ----------
        peer : str
            The caller, for the log.
        evict : callable
            Called if a request has to be given up while it is read.

        Returns
        -------
        RequestAccount
            The account, without memory.
        """
        return RequestAccount(memory=self, peer=peer, evict=evict)

    async def take(self, owner: RequestAccount, account: MemoryAccount, total: int) -> bool:
        """Let an account have a number of bytes; see `RequestAccount`."""
        count = total - account.size
        if count <= 0 or await self._take_at_once(account, count):
            return True
        # What waits for the small part was read already.
        is_read = account.budget is self.small
        if is_read and self._waiting >= self._max_waiting:
            return self._refuse(owner, account)
        self._waiting += is_read
        try:
            with trio.move_on_after(MAX_WAIT_S):
                if await account.take(count):
                    return True
        finally:
            self._waiting -= is_read
        return self._refuse(owner, account)

    async def _take_at_once(self, account: MemoryAccount, count: int) -> bool:
        return account.budget.may_take(account, count) and await account.take(count)

    def _refuse(self, owner: RequestAccount, account: MemoryAccount) -> bool:
        owner.is_evicted = True
        if account.is_evicted:
            return False
        self._refused += 1
        now = self._timers.now()
        if now >= self._next_log_at:
            self._next_log_at = now + LOG_INTERVAL_S
            _log.warning(
                "a request was refused for want of memory",
                extra={
                    "peer": owner.peer,
                    "bytes": account.size,
                    "used_bytes": self.used_bytes,
                    "refused": self.refused,
                },
            )
        return False


def make_default_request_memory() -> RequestMemory:
    """Return the memory of requests for a host whose settings name no limit."""
    return RequestMemory(total_bytes=DEFAULT_BUDGET_BYTES, timers=Timers())
