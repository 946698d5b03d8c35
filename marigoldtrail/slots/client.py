"""Slot client of an entry: acquires slots, releases them in batches, reports cold upstreams."""

from __future__ import annotations

import itertools
import logging

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net import PeerClient
from marigoldtrail.schema.generated.control import OwnerAssignment
from marigoldtrail.schema.generated.slots import (
    AcquireSlot,
    ReleaseReply,
    ReleaseSlots,
    ReportReply,
    ReportUpstream,
    SlotGrant,
    SlotRelease,
)
from marigoldtrail.slots.view import SlotView
from marigoldtrail.timers import Timers

ACQUIRE_TIMEOUT_S = 1.0
RELEASE_TIMEOUT_S = 1.0
FLUSH_INTERVAL_S = 0.02
REPORT_RETRY_INTERVAL_S = 0.5
# A report is resent until its owner has either answered or been replaced: a partition moves 5 s
# after its owner's last Sync, and all nodes know the new owner 5 s later.
REPORT_RETRY_FOR_S = 15.0
MAX_RELEASES_PER_MESSAGE = 256

_log = logging.getLogger(__name__)


class HeldSlot(SlotGrant, kw_only=True):
    """
    A granted slot on the entry that holds it.

    Parameters
    ----------
    expires_at : float
        Monotonic time in seconds, measured from when the request for the slot was sent. The call
        must have ended, or been cancelled, before then.
    host : str
        Owner that granted the slot.
    """

    expires_at: float
    host: str


class QueuedRelease(msgspec.Struct):
    """A release that its owner has not confirmed yet."""

    release: SlotRelease
    expires_at: float


class QueuedReport(msgspec.Struct):
    """A report that no owner has confirmed yet."""

    report: ReportUpstream
    give_up_at: float


class SlotClient:
    """
    Acquires slots for one entry; `run` must be running to release them.

    Parameters
    ----------
    host : str
        Name of this host.
    incarnation : int
        Incarnation of this process.
    view : SlotView
        This node's view of the fleet.
    peers : PeerClient
        Sends requests to the owners.
    timers : Timers
        Clock.

    Examples
    --------
    Inside a request, for an upstream that is not warm::

        slot = await slots.acquire("llm-3", attempt_id, hold_s=4.0)
        if isinstance(slot, Failure):
            return slot                      # always not_run
        with trio.CancelScope(deadline=slot.expires_at):
            answer = await call_upstream()
        slots.release(slot, succeeded=not isinstance(answer, Failure), duration_ms=80)

    See Also
    --------
    marigoldtrail.slots.SlotOwner : grants the slots.
    """

    __slots__ = (
        "_host",
        "_incarnation",
        "_view",
        "_peers",
        "_timers",
        "_epochs",
        "_releases",
        "_reports",
        "_flushing_hosts",
        "_request_numbers",
    )

    def __init__(
        self, *, host: str, incarnation: int, view: SlotView, peers: PeerClient, timers: Timers
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._view = view
        self._peers = peers
        self._timers = timers
        self._epochs: dict[int, int] = {}
        self._releases: dict[str, list[QueuedRelease]] = {}
        self._reports: dict[str, QueuedReport] = {}
        self._flushing_hosts: set[str] = set()
        self._request_numbers = itertools.count(1)

    async def acquire(
        self, upstream: str, attempt_id: str, hold_s: float, *, timeout_s: float = ACQUIRE_TIMEOUT_S
    ) -> HeldSlot | Failure:
        """
        Request a slot from the owner of an upstream.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        attempt_id : str
            Id of the attempt that will use the slot.
        hold_s : float
            Longest time in seconds that the call may take.
        timeout_s : float
            Longest time in seconds to wait for the grant.

        Returns
        -------
        HeldSlot or Failure
            The slot, or a failure; always ``NOT_RUN``, since the call was not sent.
        """
        owner = self._current_owner(upstream)
        if isinstance(owner, Failure):
            return owner
        # An attempt may repeat its request after a lost reply. Each request has its own id, so that
        # the release of the first slot cannot free the slot of the later request.
        slot_id = f"{attempt_id}.{next(self._request_numbers)}"
        request = AcquireSlot(
            upstream=upstream,
            host=self._host,
            incarnation=self._incarnation,
            attempt_id=slot_id,
            hold_s=hold_s,
        )
        address = self._view.address_of(owner.host)
        if address is None:
            return _refuse(Reason.UNREACHABLE, owner.host, "no address of the slot owner is known")
        sent_at = self._timers.now()
        reply = await self._peers.call(
            address, request, SlotGrant, timeout_s=timeout_s, step="slot.acquire"
        )
        if isinstance(reply, Failure):
            self._return_lost_slot(upstream, slot_id, owner, sent_at + hold_s, reply)
            return msgspec.structs.replace(reply, run_state=RunState.NOT_RUN, step="slot.acquire")
        return self._check_grant(reply, owner, sent_at)

    def _current_owner(self, upstream: str) -> OwnerAssignment | Failure:
        if not self._view.is_current():
            return _refuse(Reason.VIEW_NOT_CURRENT, "", "the view of the fleet is not current")
        owner = self._view.owner_of(upstream)
        if owner is None:
            return _refuse(Reason.NO_SLOT, "", f"{upstream} has no slot owner")
        if owner.epoch < self._epochs.get(owner.partition, 0):
            return _refuse(Reason.STALE_EPOCH, owner.host, "the view names an outdated slot owner")
        self._epochs[owner.partition] = owner.epoch
        return owner

    def _check_grant(
        self, grant: SlotGrant, owner: OwnerAssignment, sent_at: float
    ) -> HeldSlot | Failure:
        expires_at = sent_at + grant.expires_in_s
        remaining_s = expires_at - self._timers.now()
        # The view may have changed while the request was in flight.
        latest = self._view.owner_of(grant.upstream)
        latest_epoch = max(self._epochs.get(owner.partition, 0), latest.epoch if latest else 0)
        fields = msgspec.structs.asdict(grant)
        fields["expires_in_s"] = remaining_s
        slot = HeldSlot(**fields, expires_at=expires_at, host=owner.host)
        if grant.epoch < latest_epoch:
            release = SlotRelease(slot_id=slot.slot_id, upstream=slot.upstream, succeeded=False)
            self._queue_release(slot.host, release, slot.expires_at)
            detail = f"the grant has epoch {grant.epoch}, the partition is at {latest_epoch}"
            return _refuse(Reason.STALE_EPOCH, owner.host, detail)
        self._epochs[owner.partition] = grant.epoch
        if remaining_s <= 0:
            return _refuse(Reason.TIMEOUT, owner.host, "the slot expired before its grant arrived")
        return slot

    def _return_lost_slot(
        self,
        upstream: str,
        slot_id: str,
        owner: OwnerAssignment,
        expires_at: float,
        failure: Failure,
    ) -> None:
        # The owner may have granted the slot although its reply was lost.
        if failure.run_state is RunState.MAY_HAVE_RUN:
            release = SlotRelease(slot_id=slot_id, upstream=upstream, succeeded=False)
            self._queue_release(owner.host, release, expires_at)

    def release(
        self,
        slot: HeldSlot,
        *,
        succeeded: bool,
        ended: bool = True,
        duration_ms: int = 0,
        instance: str = "",
    ) -> None:
        """
        Release a slot; the release is sent to the owner in the next batch.

        Parameters
        ----------
        slot : HeldSlot
            The slot.
        succeeded : bool
            Whether the call was answered; only answered calls advance the ramp.
        ended : bool
            Whether the upstream has ended the call. An abandoned call may still run there; its slot
            is held until it expires.
        duration_ms : int
            Duration of the call in milliseconds.
        instance : str
            Instance that answered; empty if unknown.
        """
        release = SlotRelease(
            slot_id=slot.slot_id,
            upstream=slot.upstream,
            succeeded=succeeded,
            ended=ended,
            duration_ms=duration_ms,
            instance=instance,
        )
        self._queue_release(slot.host, release, slot.expires_at)

    def _queue_release(self, host: str, release: SlotRelease, expires_at: float) -> None:
        queued = QueuedRelease(release=release, expires_at=expires_at)
        self._releases.setdefault(host, []).append(queued)

    async def report(
        self, upstream: str, instance: str, state: str, reason: str
    ) -> ReportReply | Failure:
        """
        Report to the owner that an upstream is cold, leaving or down.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        instance : str
            Observed instance; empty if unknown.
        state : str
            ``"cold"``, ``"warming"``, ``"leaving"`` or ``"down"``.
        reason : str
            Evidence, for the decision log.

        Returns
        -------
        ReportReply or Failure
            State after the report. After a failure, `run` resends the report for 15 s.
        """
        request = msgspec.convert(
            {
                "upstream": upstream,
                "host": self._host,
                "instance": instance,
                "state": state,
                "reason": reason,
            },
            ReportUpstream,
        )
        reply = await self._send_report(request)
        if isinstance(reply, Failure):
            give_up_at = self._timers.now() + REPORT_RETRY_FOR_S
            self._reports[upstream] = QueuedReport(report=request, give_up_at=give_up_at)
        else:
            self._reports.pop(upstream, None)
        return reply

    async def _send_report(self, request: ReportUpstream) -> ReportReply | Failure:
        owner = self._view.owner_of(request.upstream)
        address = self._view.address_of(owner.host) if owner else None
        if address is None:
            return _refuse(Reason.UNREACHABLE, "", f"{request.upstream} has no reachable owner")
        return await self._peers.call(
            address, request, ReportReply, timeout_s=RELEASE_TIMEOUT_S, step="slot.report"
        )

    def pending_releases(self) -> int:
        """
        Return the number of releases that owners have not confirmed.

        Returns
        -------
        int
            Number of releases; a draining node waits until it is 0.
        """
        return sum(len(queued) for queued in self._releases.values())

    async def run(self) -> None:
        """Send releases and unconfirmed reports until cancelled."""
        next_report = self._timers.now()
        async with trio.open_nursery() as nursery:
            async for now in self._timers.subscribe("slots.client", FLUSH_INTERVAL_S):
                for host in self._releases:
                    # One task for each owner, so that a slow owner does not delay the others.
                    if host not in self._flushing_hosts:
                        self._flushing_hosts.add(host)
                        nursery.start_soon(self._flush_releases, host)
                if now >= next_report:
                    next_report = now + REPORT_RETRY_INTERVAL_S
                    nursery.start_soon(self._resend_reports)

    async def _flush_releases(self, host: str) -> None:
        queue = self._releases[host]
        batch = queue[:MAX_RELEASES_PER_MESSAGE]
        try:
            if await self._send_releases(host, batch):
                del queue[: len(batch)]
            else:
                # Expired slots need no release, since the owner has dropped them.
                now = self._timers.now()
                queue[:] = [queued for queued in queue if queued.expires_at > now]
            if not queue:
                del self._releases[host]
        finally:
            self._flushing_hosts.discard(host)

    async def _send_releases(self, host: str, batch: list[QueuedRelease]) -> bool:
        address = self._view.address_of(host)
        if address is None:
            return False
        request = ReleaseSlots(host=self._host, releases=[queued.release for queued in batch])
        reply = await self._peers.call(
            address, request, ReleaseReply, timeout_s=RELEASE_TIMEOUT_S, step="slot.release"
        )
        if isinstance(reply, Failure):
            _log.debug("slot releases could not be delivered: %s", reply)
        return not isinstance(reply, Failure)

    async def _resend_reports(self) -> None:
        for upstream, queued in list(self._reports.items()):
            expired = self._timers.now() >= queued.give_up_at
            delivered = expired or not isinstance(await self._send_report(queued.report), Failure)
            if delivered and self._reports.get(upstream) is queued:
                del self._reports[upstream]


def _refuse(reason: Reason, peer: str, detail: str) -> Failure:
    return Failure(
        reason=reason, run_state=RunState.NOT_RUN, step="slot.acquire", peer=peer, detail=detail
    )
