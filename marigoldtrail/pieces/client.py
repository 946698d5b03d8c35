"""Client of the piece schedulers: requests the results of the stages of a request."""

from __future__ import annotations

import itertools
import logging

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net import PeerClient
from marigoldtrail.policy.placement import choose_by_rendezvous_hash
from marigoldtrail.registry import FleetState, PeerAddresses
from marigoldtrail.schema.generated.pieces import (
    NoteProgress,
    ProgressNoted,
    Pulse,
    PulseReply,
    RunStages,
    StagesReply,
)
from marigoldtrail.timers import Timers, run_guarded

# Key by which all entries choose the same scheduler, so that it sees the work of the whole fleet.
SCHEDULER_KEY = "scheduler"
PULSE_INTERVAL_S = 0.3
PULSE_TIMEOUT_S = 0.45
# While it is checked whether a silent scheduler is lost, pulses go to all control hosts, each over
# a new connection if the last one was silent: after a cut, TCP repeats packets of older ones late.
CHECK_TIMEOUT_S = 0.3
CHECK_INTERVAL_S = 0.2
# A silence that lasts for longer than the first time may be a slow link, whose answers take longer
# than the pulses of a check. Pulses have the second time-out from then on.
SHORT_SILENCE_S = 2.0
PATIENT_CHECK_TIMEOUT_S = 1.2
# A lost scheduler gets no requests until it answers a pulse. The first pulse is sent after this
# delay, which doubles with each further loss within the window.
FIRST_PROBE_DELAY_S = 0.3
MAX_PROBE_DELAY_S = 2.4
REPEATED_LOSS_WINDOW_S = 5.0
NOTE_TIMEOUT_S = 1.0
# Reports of the end of a request are sent again after a short cut. Those of progress are not: a
# late one would free the results of a later run of the same request.
END_NOTE_TRIES = 3
END_NOTE_INTERVAL_S = 0.5
RETRY_INTERVAL_S = 0.05
REPLY_MARGIN_S = 0.2

_log = logging.getLogger(__name__)


class StageRun:
    """
    The stages of one request while they run.

    Parameters
    ----------
    request : RunStages
        The stages; the remaining times are filled in for each attempt.
    deadline, due_at : float
        Monotonic times in seconds: when the request is given up, and when it becomes late.
    response_deadline : float
        Monotonic time in seconds by which the whole response must have been sent.

    Attributes
    ----------
    handles : tuple of str
        Handles of the results for the upstream.
    upstream : str
        Engine chosen by the scheduler; empty if none.
    first_event_s, stream_s : float
        Seconds until the first event of that engine, and from then to its last one; 0 if unknown.
    schedulers_used : set of str
        Schedulers that the request was sent to.
    """

    __slots__ = (
        "request",
        "deadline",
        "due_at",
        "response_deadline",
        "handles",
        "upstream",
        "first_event_s",
        "stream_s",
        "schedulers_used",
    )

    def __init__(
        self,
        *,
        request: RunStages,
        deadline: float,
        due_at: float,
        response_deadline: float = 0.0,
    ) -> None:
        self.request = request
        self.deadline = deadline
        self.due_at = due_at
        self.response_deadline = response_deadline
        self.first_event_s = self.stream_s = 0.0
        self.handles: tuple[str, ...] = ()
        self.upstream = ""
        self.schedulers_used: set[str] = set()


class LostScheduler:
    """
    Record of the losses of a scheduler.

    Attributes
    ----------
    probe_after_s : float
        Seconds from the loss to the first probe.
    lost_at : float
        Monotonic time in seconds of the last loss.
    is_lost : bool
        Whether it has not answered since then.
    is_probed : bool
        Whether a task probes it.
    """

    __slots__ = ("probe_after_s", "lost_at", "is_lost", "is_probed")

    def __init__(self) -> None:
        self.probe_after_s = FIRST_PROBE_DELAY_S
        self.lost_at = float("-inf")
        self.is_lost = False
        self.is_probed = False

    def record_loss(self, now: float) -> None:
        """Record that the scheduler did not answer at a monotonic time in seconds."""
        is_repeated = now < self.lost_at + REPEATED_LOSS_WINDOW_S
        if is_repeated:
            self.probe_after_s = min(2 * self.probe_after_s, MAX_PROBE_DELAY_S)
        else:
            self.probe_after_s = FIRST_PROBE_DELAY_S
        self.lost_at = now
        self.is_lost = True


class PieceClient:
    """
    Runs the stages of requests through the scheduler on a control host.

    Parameters
    ----------
    fleet_state : FleetState
        Source of the control hosts.
    peers : PeerClient
        Sends the calls.
    timers : Timers
        Clock.
    nursery : trio.Nursery
        Runs background tasks, which may outlive a request.
    seeds : list of str
        Control hosts to use until the leader has listed some.
    """

    __slots__ = (
        "_seeds",
        "_fleet_state",
        "_peers",
        "_timers",
        "_nursery",
        "_names",
        "_lost",
        "_calls",
        "_checks",
        "_run_numbers",
        "_runs_in_progress",
    )

    def __init__(
        self,
        *,
        fleet_state: FleetState,
        peers: PeerClient,
        timers: Timers,
        nursery: trio.Nursery,
        seeds: list[str],
    ) -> None:
        self._seeds = seeds
        self._fleet_state = fleet_state
        self._peers = peers
        self._timers = timers
        self._nursery = nursery
        self._names = PeerAddresses()
        self._lost: dict[str, LostScheduler] = {}
        # Calls in progress at each scheduler; cancelled when it stops answering.
        self._calls: dict[str, set[trio.CancelScope]] = {}
        # Checks in progress of schedulers that do not answer; set at the end of the check.
        self._checks: dict[str, trio.Event] = {}
        self._run_numbers = itertools.count(1)
        self._runs_in_progress = 0

    def choose_scheduler(self) -> str | None:
        """
        Return the control host that schedules pieces.

        Returns
        -------
        str or None
            The same for all entries that know of the same failures; None if no host is known.
        """
        hosts = self._hosts()
        alive = [host for host in hosts if not self._is_lost(host)]
        return choose_by_rendezvous_hash(SCHEDULER_KEY, alive or hosts)

    def _hosts(self) -> list[str]:
        """Return the control hosts that may schedule pieces."""
        hosts = [h.peer_address for h in self._fleet_state.hosts if h.role == "control"]
        return hosts or self._seeds

    def _is_lost(self, host: str) -> bool:
        lost = self._lost.get(host)
        return lost is not None and lost.is_lost

    async def run(self, stage_run: StageRun) -> Failure | None:
        """
        Run all stages.

        Parameters
        ----------
        stage_run : StageRun
            The stages; its handles are filled in.

        Returns
        -------
        Failure or None
            Why the stages failed; None on success.
        """
        self._runs_in_progress += 1
        try:
            return await self._run(stage_run)
        finally:
            self._runs_in_progress -= 1

    async def _run(self, stage_run: StageRun) -> Failure | None:
        failure = self._failure(Reason.NO_UPSTREAM, "no control host is known")
        # The scheduler goes on with a run that it is asked for again after a cut.
        stage_run.request.run = next(self._run_numbers)
        while (left_s := stage_run.deadline - self._timers.now()) > 0:
            host = self.choose_scheduler()
            if host is None:
                await self._timers.sleep(RETRY_INTERVAL_S)
                continue
            if host in self._checks:
                with trio.move_on_after(left_s):
                    await self._checks[host].wait()
                continue
            stage_run.request.left_ms = round(left_s * 1000)
            stage_run.request.slack_ms = round((stage_run.due_at - self._timers.now()) * 1000)
            response_left_s = stage_run.response_deadline - self._timers.now()
            stage_run.request.deadline_ms = max(0, round(response_left_s * 1000))
            stage_run.schedulers_used.add(host)
            reply = await self._call(host, stage_run.request, left_s)
            if not isinstance(reply, Failure):
                self._handle_answer(host)
                stage_run.handles = tuple(reply.handles)
                stage_run.upstream = reply.upstream
                return None
            # Stages may have run, but the request has not: only entries send it to an upstream.
            failure = msgspec.structs.replace(reply, run_state=RunState.NOT_RUN)
            if reply.reason is Reason.VIEW_NOT_CURRENT:
                await self._timers.sleep(RETRY_INTERVAL_S)
                continue
            if reply.reason not in (Reason.UNREACHABLE, Reason.STOPPING):
                break
            if reply.reason is Reason.STOPPING:
                self._handle_loss(host, str(reply))
            else:
                with trio.move_on_after(stage_run.deadline - self._timers.now()):
                    await self._check_loss(host, reply)
            await self._timers.sleep(RETRY_INTERVAL_S)
        return failure

    async def _check_loss(self, host: str, why: Failure) -> None:
        """
        Use other schedulers if one of them answers while this one does not.

        If none answers, this entry is probably cut off. Other entries still use the scheduler, or
        will use it again: two schedulers would give the room of the same upstreams away twice.
        """
        check = self._checks.get(host)
        if check is not None:
            await check.wait()
            return
        check = self._checks[host] = trio.Event()
        try:
            # Calls that wait for a connection would delay the pulses.
            for scope in list(self._calls.get(host, ())):
                scope.cancel()
            # A refused connection is no silence that may have ended since.
            was_refused = why.reason is Reason.UNREACHABLE and why.run_state is RunState.NOT_RUN
            if not self._is_lost(host) and await self._is_silent_alone(host, was_refused):
                self._handle_loss(host, str(why))
        finally:
            del self._checks[host]
            check.set()

    async def _is_silent_alone(self, host: str, was_refused: bool) -> bool:
        """
        Wait until a control host answers; return whether this one still does not.

        Also ends when no request waits for a scheduler: the next one starts another check.
        """
        patient_from = self._timers.now() + SHORT_SILENCE_S
        while self._runs_in_progress:
            started = self._timers.now()
            timeout_s = CHECK_TIMEOUT_S if started < patient_from else PATIENT_CHECK_TIMEOUT_S
            answered = await self._find_answering({host, *self._hosts()}, timeout_s)
            if answered == host:
                return False
            if answered is not None:
                # The cut may have ended between the two pulses.
                return was_refused or isinstance(await self._pulse(host), Failure)
            await self._timers.sleep_until(started + CHECK_INTERVAL_S)
        return False

    async def _find_answering(self, hosts: set[str], timeout_s: float) -> str | None:
        """Return the host that answers a pulse first; None if all are silent."""
        found: list[str] = []

        async def ask(host: str) -> None:
            if not isinstance(await self._pulse(host, timeout_s), Failure):
                found.append(host)
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for host in sorted(hosts):
                nursery.start_soon(ask, host)
        return found[0] if found else None

    def _handle_loss(self, host: str, why: str) -> None:
        """Use other schedulers until this one answers again."""
        if self._is_lost(host):
            return
        _log.warning(
            "scheduler did not answer; other control hosts are used: %s",
            why,
            extra={"subject": host},
        )
        lost = self._lost.setdefault(host, LostScheduler())
        lost.record_loss(self._timers.now())
        if not lost.is_probed:
            lost.is_probed = True
            self._nursery.start_soon(run_guarded, self._probe, host, lost)

    async def _probe(self, host: str, lost: LostScheduler) -> None:
        """
        Probe a lost scheduler and use it again as soon as it answers.

        Entries lose a scheduler at different times. If each entry waited for a fixed time, their
        requests would be spread over several schedulers until the last of these times ends.
        """
        try:
            while lost.is_lost and host in self._hosts():
                # It may answer a call and be lost again meanwhile, which prolongs the pause.
                probe_at = lost.lost_at + lost.probe_after_s
                if self._timers.now() < probe_at:
                    await self._timers.sleep_until(probe_at)
                elif isinstance(await self._pulse(host), Failure):
                    await self._timers.sleep(PULSE_INTERVAL_S)
                else:
                    self._handle_answer(host)
        finally:
            lost.is_probed = False
        if lost.is_lost:
            # The host has left the list of control hosts.
            del self._lost[host]

    def _handle_answer(self, host: str) -> None:
        if self._is_lost(host):
            self._lost[host].is_lost = False
            _log.info("scheduler answers again", extra={"subject": host})

    async def _pulse(self, host: str, timeout_s: float = PULSE_TIMEOUT_S) -> PulseReply | Failure:
        return await self._peers.call(self._names[host], Pulse(), PulseReply, timeout_s=timeout_s)

    async def _call(self, host: str, request: RunStages, timeout_s: float) -> StagesReply | Failure:
        calls = self._calls.get(host)
        if calls is None:
            calls = self._calls[host] = set()
            self._nursery.start_soon(run_guarded, self._monitor, host)
        with trio.CancelScope() as scope:
            calls.add(scope)
            try:
                # The scheduler answers at the deadline by itself; `_monitor` detects its failure.
                return await self._peers.call(
                    self._names[host], request, StagesReply, timeout_s=timeout_s + REPLY_MARGIN_S
                )
            finally:
                calls.discard(scope)
        failure = self._failure(Reason.UNREACHABLE, "the scheduler does not answer", peer=host)
        return msgspec.structs.replace(failure, run_state=RunState.MAY_HAVE_RUN)

    async def _monitor(self, host: str) -> None:
        """Check a scheduler that stops answering, so that another one is used if it is lost."""
        calls = self._calls[host]
        try:
            while calls:
                await self._timers.sleep(PULSE_INTERVAL_S)
                if not calls:
                    break
                reply = await self._pulse(host)
                if isinstance(reply, Failure):
                    await self._check_loss(host, reply)
        finally:
            # The next call starts another monitor.
            del self._calls[host]

    def report_prompt_read(self, stage_run: StageRun) -> None:
        """Report to the scheduler that the engine has read the prompt and results of a request."""
        for host in stage_run.schedulers_used:
            self._note_progress(host, stage_run, has_ended=False)

    def report_end(self, stage_run: StageRun) -> None:
        """Report the end of a request: its results are freed and its unfinished work is dropped."""
        schedulers, stage_run.schedulers_used = stage_run.schedulers_used, set()
        for host in schedulers:
            self._note_progress(host, stage_run, has_ended=True)

    def _note_progress(self, host: str, stage_run: StageRun, *, has_ended: bool) -> None:
        note = NoteProgress(
            request_id=stage_run.request.request_id,
            has_ended=has_ended,
            first_event_ms=round(stage_run.first_event_s * 1000),
            stream_ms=round(stage_run.stream_s * 1000),
        )
        self._nursery.start_soon(run_guarded, self._send_progress, host, note)

    async def _send_progress(self, host: str, note: NoteProgress) -> None:
        for tries_left in reversed(range(END_NOTE_TRIES if note.has_ended else 1)):
            started = self._timers.now()
            reply = await self._peers.call(
                self._names[host], note, ProgressNoted, timeout_s=NOTE_TIMEOUT_S
            )
            if not isinstance(reply, Failure):
                return
            _log.info(
                "scheduler did not confirm the progress of the request: %s",
                reply,
                extra={"request_id": note.request_id},
            )
            if tries_left:
                await self._timers.sleep_until(started + END_NOTE_INTERVAL_S)

    def _failure(self, reason: Reason, detail: str, *, peer: str = "") -> Failure:
        return Failure(
            reason=reason, run_state=RunState.NOT_RUN, step="pieces", peer=peer, detail=detail
        )
