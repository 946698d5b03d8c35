"""Asks the schedulers for the results of the stages of a request."""

from __future__ import annotations

import logging
from collections.abc import Sequence

import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net import PeerClient
from marigoldtrail.policy.placement import find_home
from marigoldtrail.registry import FleetPicture, PeerNames
from marigoldtrail.routing import StageSpec
from marigoldtrail.schema.generated.pieces import (
    DropPieces,
    PiecesDropped,
    PiecesReply,
    Pulse,
    PulseReply,
    RunPieces,
)
from marigoldtrail.timers import Timers

PULSE_INTERVAL_S = 0.3
PULSE_TIMEOUT_S = 0.45
# A scheduler that has not answered is not asked for this time.
SUSPECT_S = 2.5
DROP_TIMEOUT_S = 1.0
PAUSE_S = 0.05

_log = logging.getLogger(__name__)


class StageWork:
    """
    The stages of one request on their way.

    Parameters
    ----------
    request_id : str
        The request.
    stages : sequence of StageSpec
        All stages of its route.
    counts : sequence of int
        Pieces of each stage; 0 leaves a stage out.
    key : str
        Key of the input of stages that read no results.
    priority : int
        0 is the most urgent.
    deadline, due_at : float
        Monotonic times in seconds: when the request ends, and when it begins to be late.
    data_centre : str
        Where the results will be read.

    Attributes
    ----------
    handles : list
        Handles of the results of each stage.
    askers : set of str
        Schedulers that were asked.
    """

    __slots__ = (
        "request_id",
        "stages",
        "counts",
        "key",
        "priority",
        "deadline",
        "due_at",
        "data_centre",
        "handles",
        "askers",
    )

    def __init__(
        self,
        *,
        request_id: str,
        stages: Sequence[StageSpec],
        counts: Sequence[int],
        key: str,
        priority: int,
        deadline: float,
        due_at: float,
        data_centre: str,
    ) -> None:
        self.request_id = request_id
        self.stages = stages
        self.counts = [*counts, *([0] * len(stages))][: len(stages)]
        self.key = key
        self.priority = priority
        self.deadline = deadline
        self.due_at = due_at
        self.data_centre = data_centre
        self.handles: list[list[str]] = [[] for _ in stages]
        self.askers: set[str] = set()

    def inputs_of(self, stage: int) -> list[str]:
        """Return the handles that a stage reads."""
        return [handle for number in self.stages[stage].after for handle in self.handles[number]]

    def final_handles(self) -> list[str]:
        """Return the results of the stages that no other stage reads, in their order."""
        read = {number for stage in self.stages for number in stage.after}
        return [
            handle
            for number, handles in enumerate(self.handles)
            if number not in read
            for handle in handles
        ]


class PieceClient:
    """
    Runs the stages of requests through the schedulers on the control hosts.

    Parameters
    ----------
    picture : FleetPicture
        Names the control hosts.
    peers : PeerClient
        Carries the calls.
    timers : Timers
        Clock.
    nursery : trio.Nursery
        Runs what goes on after a request has ended.
    """

    __slots__ = ("_picture", "_peers", "_timers", "_nursery", "_names", "_suspects", "_pulsed")

    def __init__(
        self,
        *,
        picture: FleetPicture,
        peers: PeerClient,
        timers: Timers,
        nursery: trio.Nursery,
    ) -> None:
        self._picture = picture
        self._peers = peers
        self._timers = timers
        self._nursery = nursery
        self._names = PeerNames()
        self._suspects: dict[str, float] = {}
        # Calls in progress at each scheduler, cancelled when it stops answering.
        self._pulsed: dict[str, list[trio.CancelScope]] = {}

    def scheduler_of(self, service: str) -> str | None:
        """
        Return the control host that schedules a service.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        str or None
            The same for all entries while they know of the same failures; None without any.
        """
        now = self._timers.now()
        hosts = [h.peer_address for h in self._picture.hosts if h.role == "control"]
        alive = [host for host in hosts if self._suspects.get(host, 0.0) <= now]
        return find_home(service, alive or hosts)

    async def run(self, work: StageWork) -> Failure | None:
        """
        Run all stages, each as soon as those that it reads are done.

        Parameters
        ----------
        work : StageWork
            The stages; its handles are filled in.

        Returns
        -------
        Failure or None
            Why a stage could not be done. The results of the others should then be dropped.
        """
        done = [trio.Event() for _ in work.stages]
        failures: list[Failure] = []
        async with trio.open_nursery() as nursery:

            async def run_stage(number: int) -> None:
                for other in work.stages[number].after:
                    await done[other].wait()
                if work.counts[number]:
                    failure = await self._run_stage(work, number)
                    if failure is not None:
                        failures.append(failure)
                        nursery.cancel_scope.cancel()
                        return
                done[number].set()

            for number in range(len(work.stages)):
                nursery.start_soon(run_stage, number)
        return failures[0] if failures else None

    async def _run_stage(self, work: StageWork, number: int) -> Failure | None:
        stage = work.stages[number]
        failure = self._failure(Reason.NO_UPSTREAM, "no control host is known")
        while (left_s := work.deadline - self._timers.now()) > 0:
            host = self.scheduler_of(stage.service)
            if host is None:
                await self._timers.sleep(PAUSE_S)
                continue
            inputs = work.inputs_of(number)
            request = RunPieces(
                request_id=work.request_id,
                service=stage.service,
                stage=number,
                count=work.counts[number],
                key="" if inputs else work.key,
                inputs=inputs,
                left_ms=round(left_s * 1000),
                slack_ms=round((work.due_at - self._timers.now()) * 1000),
                data_centre=work.data_centre,
                result_bytes=stage.result_bytes,
                priority=work.priority,
            )
            work.askers.add(host)
            reply = await self._call(host, request, left_s)
            if not isinstance(reply, Failure):
                work.handles[number] = reply.handles
                return None
            failure = reply
            if reply.reason not in (Reason.UNREACHABLE, Reason.TIMEOUT):
                break
            self._suspects[host] = self._timers.now() + SUSPECT_S
            _log.warning("scheduler lost: %s", reply, extra={"subject": host})
            await self._timers.sleep(PAUSE_S)
        return failure

    async def _call(self, host: str, request: RunPieces, timeout_s: float) -> PiecesReply | Failure:
        scopes = self._pulsed.setdefault(host, [])
        with trio.CancelScope() as scope:
            scopes.append(scope)
            if len(scopes) == 1:
                self._nursery.start_soon(self._watch, host)
            try:
                return await self._peers.call(
                    self._names[host], request, PiecesReply, timeout_s=timeout_s
                )
            finally:
                scopes.remove(scope)
        return self._failure(Reason.TIMEOUT, "the scheduler does not answer", peer=host)

    async def _watch(self, host: str) -> None:
        """Cancel the calls at a scheduler that stops answering, so that another one is asked."""
        while self._pulsed.get(host):
            await self._timers.sleep(PULSE_INTERVAL_S)
            if not self._pulsed.get(host):
                return
            reply = await self._peers.call(
                self._names[host], Pulse(), PulseReply, timeout_s=PULSE_TIMEOUT_S
            )
            if isinstance(reply, Failure):
                self._suspects[host] = self._timers.now() + SUSPECT_S
                for scope in list(self._pulsed.get(host, [])):
                    scope.cancel()

    def drop(self, work: StageWork) -> None:
        """Free the results of a request and drop what is still on its way."""
        if not work.askers:
            return
        handles = [handle for handles in work.handles for handle in handles]
        request = DropPieces(request_id=work.request_id, handles=handles)
        for host in work.askers:
            self._nursery.start_soon(self._drop, host, request)

    async def _drop(self, host: str, request: DropPieces) -> None:
        reply = await self._peers.call(
            self._names[host], request, PiecesDropped, timeout_s=DROP_TIMEOUT_S
        )
        if isinstance(reply, Failure):
            _log.info("results were not freed: %s", reply, extra={"request_id": request.request_id})

    def _failure(self, reason: Reason, detail: str, *, peer: str = "") -> Failure:
        return Failure(
            reason=reason, run_state=RunState.NOT_RUN, step="pieces", peer=peer, detail=detail
        )
