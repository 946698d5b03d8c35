"""Budget of bytes that unfinished messages of all peers may take together."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from types import TracebackType

from marigoldtrail.timers import Notifier, Timers

BYTES_PER_MB = 1_000_000
# An idle process takes half of the smallest host; parsing and sending copy a message twice.
BUDGET_SHARE = 0.125
# Budget of a host whose settings name no limit.
DEFAULT_BUDGET_BYTES = 64 * BYTES_PER_MB
# A message of unknown size grows no larger than the memory that is free, so that many without end
# leave room for others. One at a time may grow to this multiple of it: proper ones that need a
# little more complete one by one. A larger multiple would leave less room.
AHEAD_MULTIPLE = 3
# Complete messages give their memory back within this time, so that others only wait for it.
PATIENCE_S = 0.25

_log = logging.getLogger(__name__)


def compute_budget_bytes(memory_mb: float) -> int:
    """
    Return the budget for a limit on the memory of the process.

    Parameters
    ----------
    memory_mb : float
        The limit in MB; 0 if there is none.

    Returns
    -------
    int
        The budget in bytes.

    Examples
    --------
    >>> compute_budget_bytes(160), compute_budget_bytes(0)
    (20000000, 64000000)
    """
    return int(memory_mb * BYTES_PER_MB * BUDGET_SHARE) or DEFAULT_BUDGET_BYTES


class MemoryAccount:
    """
    Bytes that one unfinished message takes.

    Used as a context manager, which closes it.

    Parameters
    ----------
    budget : MemoryBudget
        The budget that it belongs to.
    purpose : str
        Kind of the message, from a small set; label of metrics.
    peer : str
        Who sends it, for the log.
    has_known_size : bool
        Whether the peer has announced the size of the message.
    evict : callable
        Called once if the message has to be given up.

    Attributes
    ----------
    size : int
        Bytes taken.
    is_evicted : bool
        Whether the message has to be given up.
    """

    __slots__ = ("purpose", "peer", "has_known_size", "size", "is_evicted", "_budget", "_evict")

    def __init__(
        self,
        *,
        budget: MemoryBudget,
        purpose: str,
        peer: str,
        has_known_size: bool,
        evict: Callable[[], None],
    ) -> None:
        self.purpose = purpose
        self.peer = peer
        self.has_known_size = has_known_size
        self.size = 0
        self.is_evicted = False
        self._budget = budget
        self._evict = evict

    async def take(self, count: int) -> bool:
        """
        Take bytes, and wait for them if there is no room.

        Parameters
        ----------
        count : int
            Number of bytes.

        Returns
        -------
        bool
            False if the message has to be given up.
        """
        return await self._budget.take(self, count)

    def give_back(self, count: int) -> None:
        """Give back bytes that are no longer held."""
        self._budget.give_back(self, min(count, self.size))

    def evict(self) -> None:
        """Give the message up, because others need the memory."""
        self.is_evicted = True
        self._evict()

    def close(self) -> None:
        """Give back all bytes; the account may be closed again."""
        self._budget.close(self)

    def __enter__(self) -> MemoryAccount:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()


class MemoryBudget:
    """
    Bytes that all unfinished messages of one host may take together.

    A message that finds no room waits for those that complete. If none does in time, the largest
    one is given up, first among those whose size was not announced: a message without end grows
    beyond all others. Messages of unknown size never use up the whole budget together, so that a
    shorter one does not have to wait for them.

    Parameters
    ----------
    total_bytes : int
        The budget.
    timers : Timers
        Clock.

    Attributes
    ----------
    total_bytes : int
        The budget.
    used_bytes : int
        Bytes taken.
    evicted : Counter
        Number of messages that were given up, by purpose.

    Examples
    --------
    >>> import trio
    >>> budget = MemoryBudget(total_bytes=1000, timers=Timers())
    >>> account = budget.open("response", "i-1")
    >>> trio.run(account.take, 600), budget.used_bytes
    (True, 600)
    >>> account.close()
    >>> budget.used_bytes
    0
    """

    __slots__ = (
        "total_bytes",
        "used_bytes",
        "evicted",
        "_timers",
        "_accounts",
        "_ahead",
        "_changed",
    )

    def __init__(self, *, total_bytes: int, timers: Timers) -> None:
        self.total_bytes = total_bytes
        self.used_bytes = 0
        self.evicted: Counter[str] = Counter()
        self._timers = timers
        self._accounts: set[MemoryAccount] = set()
        # The account that may grow beyond the free memory.
        self._ahead: MemoryAccount | None = None
        self._changed = Notifier()

    def open(
        self,
        purpose: str,
        peer: str,
        *,
        has_known_size: bool = False,
        evict: Callable[[], None] = lambda: None,
    ) -> MemoryAccount:
        """
        Open the account of a message.

        Parameters
        ----------
        purpose : str
            Kind of the message, from a small set; label of metrics.
        peer : str
            Who sends it, for the log.
        has_known_size : bool
            Whether its size was announced.
        evict : callable
            Called if it has to be given up while it takes no more bytes; it must lead to a close
            of the account.

        Returns
        -------
        MemoryAccount
            The account, without bytes.
        """
        account = MemoryAccount(
            budget=self, purpose=purpose, peer=peer, has_known_size=has_known_size, evict=evict
        )
        self._accounts.add(account)
        return account

    def has_room(self, count: int) -> bool:
        """Return whether a number of bytes can be taken at once."""
        return self.used_bytes + count <= self.total_bytes

    async def take(self, account: MemoryAccount, count: int) -> bool:
        """Take bytes for an account; see `MemoryAccount.take`."""
        patient_until = self._timers.now() + PATIENCE_S
        while not account.is_evicted and not self._may_take(account, count, self.used_bytes):
            left_s = patient_until - self._timers.now()
            if left_s > 0:
                await self._changed.wait_with_timeout(left_s)
                continue
            if not self._is_enough_leaving(account, count):
                self._evict_largest()
            patient_until = self._timers.now() + PATIENCE_S
        if account.is_evicted:
            return False
        self.used_bytes += count
        account.size += count
        return True

    def _may_take(self, account: MemoryAccount, count: int, used_bytes: int) -> bool:
        """Return whether an account may take bytes while a number of bytes is taken."""
        free_bytes = self.total_bytes - used_bytes
        if account.has_known_size or len(self._accounts) == 1:
            return count <= free_bytes
        size = account.size + count
        if size <= free_bytes:
            return True
        is_short = size <= AHEAD_MULTIPLE * free_bytes and count <= free_bytes
        return is_short and self._is_ahead(account)

    def _is_ahead(self, account: MemoryAccount) -> bool:
        """
        Return whether an account is the one that may grow beyond the free memory.

        It is the first that has to, until its message is complete.
        """
        ahead = self._ahead
        if ahead is None or ahead.is_evicted or ahead.has_known_size:
            self._ahead = account
        return self._ahead is account

    def _is_enough_leaving(self, account: MemoryAccount, count: int) -> bool:
        """Return whether messages that were given up are about to give enough back."""
        leaving = sum(item.size for item in self._accounts if item.is_evicted)
        return self._may_take(account, count, self.used_bytes - leaving)

    def _evict_largest(self) -> None:
        kept = [account for account in self._accounts if not account.is_evicted]
        if not kept:
            return
        largest = max(kept, key=lambda account: (not account.has_known_size, account.size))
        self.evicted[largest.purpose] += 1
        _log.warning(
            "a message was given up for want of memory",
            extra={
                "purpose": largest.purpose,
                "peer": largest.peer,
                "bytes": largest.size,
                "used_bytes": self.used_bytes,
                "total_bytes": self.total_bytes,
            },
        )
        largest.evict()

    def give_back(self, account: MemoryAccount, count: int) -> None:
        """Give back bytes of an account."""
        account.size -= count
        self.used_bytes -= count
        if count:
            self._changed.notify()

    def close(self, account: MemoryAccount) -> None:
        """Give back all bytes of an account and forget it."""
        self._accounts.discard(account)
        if self._ahead is account:
            self._ahead = None
        self.give_back(account, account.size)
