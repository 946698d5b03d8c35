"""Slot owner on a control host: grants slots for the partitions that the view assigns to it."""

from __future__ import annotations

from collections.abc import Iterator

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net import Handlers
from marigoldtrail.schema.generated.manifest import Manifest, Upstream
from marigoldtrail.schema.generated.slots import (
    AcquireSlot,
    ReleaseReply,
    ReleaseSlots,
    ReportReply,
    ReportUpstream,
    SlotGrant,
)
from marigoldtrail.slots.tracker import MAX_GRANT_S, UpstreamTracker
from marigoldtrail.slots.view import SlotView
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.timers import Timers


class SlotOwner:
    """
    Grants slots for the upstreams that this host owns, and tracks their state.

    Parameters
    ----------
    host : str
        Name of this host.
    view : SlotView
        This node's view of the fleet.
    timers : Timers
        Clock.
    telemetry : Telemetry
        Receives a decision for each change of state.

    See Also
    --------
    marigoldtrail.slots.UpstreamProber : probes the owned upstreams.
    marigoldtrail.slots.SlotClient : requests slots.
    """

    __slots__ = (
        "_host",
        "_view",
        "_timers",
        "_telemetry",
        "_trackers",
        "_manifest",
        "_upstreams",
    )

    def __init__(self, *, host: str, view: SlotView, timers: Timers, telemetry: Telemetry) -> None:
        self._host = host
        self._view = view
        self._timers = timers
        self._telemetry = telemetry
        self._trackers: dict[str, UpstreamTracker] = {}
        self._manifest: Manifest | None = None
        self._upstreams: dict[str, Upstream] = {}

    def handlers(self) -> Handlers:
        """
        Return the handlers for `marigoldtrail.net.serve_peers`.

        Returns
        -------
        dict
            A handler for each request type.
        """
        return {
            AcquireSlot: self.acquire,
            ReleaseSlots: self.release,
            ReportUpstream: self.report,
        }

    def refresh(self) -> None:
        """Update the owned upstreams from the view; called at least once a second."""
        for name in list(self._trackers):
            self.find_tracker(name)
        self._load_manifest()
        for name in self._upstreams:
            self.find_tracker(name)

    def trackers(self) -> Iterator[UpstreamTracker]:
        """
        Iterate over the owned upstreams.

        Yields
        ------
        UpstreamTracker
            One for each upstream.
        """
        yield from list(self._trackers.values())

    def _load_manifest(self) -> None:
        if self._view.manifest is not self._manifest:
            self._manifest = self._view.manifest
            listed = self._manifest.upstreams if self._manifest is not None else []
            self._upstreams = {upstream.name: upstream for upstream in listed}
            for name, tracker in self._trackers.items():
                if name in self._upstreams:
                    tracker.set_upstream(self._upstreams[name])

    def find_tracker(self, name: str) -> UpstreamTracker | None:
        """
        Return the tracker of an upstream that this host owns.

        Parameters
        ----------
        name : str
            Name of the upstream.

        Returns
        -------
        UpstreamTracker or None
            None if the view names another owner or the manifest does not contain the upstream.
        """
        self._load_manifest()
        upstream = self._upstreams.get(name)
        owner = self._view.owner_of(name)
        if upstream is None or owner is None or owner.host != self._host:
            self._trackers.pop(name, None)
            return None
        tracker = self._trackers.get(name)
        if tracker is None or tracker.epoch != owner.epoch:
            # The former owner may have granted slots for MAX_GRANT_S just before its view expired,
            # and the assignment was committed after that. This host itself may have granted slots
            # before a restart, or before the upstream was temporarily removed from the manifest.
            now = self._timers.now()
            tracker = UpstreamTracker(
                upstream=upstream,
                epoch=owner.epoch,
                now=now,
                grants_from=now + MAX_GRANT_S,
                status=self._view.upstream_status(name),
            )
            self._trackers[name] = tracker
        return tracker

    async def acquire(self, req: AcquireSlot, sender: str) -> SlotGrant | Failure:
        """
        Handle an AcquireSlot.

        Parameters
        ----------
        req : AcquireSlot
            The request.
        sender : str
            Host that sent it.

        Returns
        -------
        SlotGrant or Failure
            The slot, or ``NOT_RUN`` with the reason.
        """
        if not self._view.is_current():
            return self._refuse(Reason.VIEW_NOT_CURRENT, "the owner's view is not current")
        tracker = self.find_tracker(req.upstream)
        if tracker is None:
            owner = self._view.owner_of(req.upstream)
            hint = owner.host if owner is not None else ""
            return self._refuse(Reason.NOT_LEADER, "this host is not the slot owner", hint=hint)
        if self._is_out_of_service(tracker.upstream):
            return self._refuse(Reason.OUT_OF_SERVICE, f"{req.upstream} is out of service")
        now = self._timers.now()
        expires_at = tracker.grant(req.attempt_id, now=now, hold_s=req.hold_s)
        if expires_at is None:
            retry_after_s = tracker.estimate_retry_delay(now)
            detail = f"{req.upstream} is {tracker.state}: {len(tracker.slots)} slots are held"
            return self._refuse(Reason.NO_SLOT, detail, retry_after_s=retry_after_s)
        return SlotGrant(
            slot_id=req.attempt_id,
            upstream=req.upstream,
            epoch=tracker.epoch,
            expires_in_s=expires_at - now,
            instance=tracker.instance,
        )

    def _is_out_of_service(self, upstream: Upstream) -> bool:
        view = self._view
        return (
            view.is_out_of_service("upstream", upstream.name)
            or view.is_out_of_service("host", upstream.host)
            or view.is_out_of_service("data_centre", upstream.data_centre)
            or view.is_leaving_host(upstream.host)
        )

    def _refuse(
        self, reason: Reason, detail: str, *, hint: str = "", retry_after_s: float = 0.0
    ) -> Failure:
        return Failure(
            reason=reason,
            run_state=RunState.NOT_RUN,
            step="slot.acquire",
            peer=self._host,
            detail=detail,
            hint=hint,
            retry_after_s=retry_after_s,
        )

    async def release(self, req: ReleaseSlots, sender: str) -> ReleaseReply | Failure:
        """
        Handle a ReleaseSlots; releases of slots that are not held have no effect.

        Parameters
        ----------
        req : ReleaseSlots
            The request.
        sender : str
            Host that sent it.

        Returns
        -------
        ReleaseReply
            Number of slots that were still held.
        """
        released = 0
        now = self._timers.now()
        for item in req.releases:
            tracker = self.find_tracker(item.upstream)
            if tracker is None:
                continue
            state = tracker.state
            released += tracker.release(
                item.slot_id,
                succeeded=item.succeeded,
                ended=item.ended,
                instance=item.instance,
                now=now,
                duration_s=item.duration_ms / 1000,
            )
            self._record_change(tracker, state, req.host)
        return ReleaseReply(released=released)

    async def report(self, req: ReportUpstream, sender: str) -> ReportReply | Failure:
        """
        Handle a ReportUpstream.

        Parameters
        ----------
        req : ReportUpstream
            The request.
        sender : str
            Host that sent it.

        Returns
        -------
        ReportReply or Failure
            State after the report; ``NOT_LEADER`` if this host is not the owner.
        """
        tracker = self.find_tracker(req.upstream)
        if tracker is None:
            return self._refuse(Reason.NOT_LEADER, "this host is not the slot owner")
        state = tracker.state
        tracker.add_evidence(req.instance, req.state, req.reason, now=self._timers.now())
        self._record_change(tracker, state, req.host)
        return ReportReply(state=tracker.state, instance=tracker.instance)

    def _record_change(self, tracker: UpstreamTracker, before: str, source: str) -> None:
        if tracker.state != before:
            self._telemetry.decisions.add(
                "upstream.state",
                tracker.upstream.name,
                tracker.reason,
                before=before,
                after=tracker.state,
                instance=tracker.instance,
                source=source,
            )
