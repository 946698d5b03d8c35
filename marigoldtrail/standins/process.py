"""Life of a stand-in's process: instances, cold start, load report, death."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Literal

import msgspec
import trio

from marigoldtrail.timers import Timers

State = Literal["cold", "warming", "warm", "leaving"]


class Knobs(msgspec.Struct, kw_only=True):
    """
    Faults that a test or the demo switches on.

    Parameters
    ----------
    stalled : bool
        Calls are accepted and never answered.
    delay_s : float
        Added to the duration of each call, in seconds.
    lose_answers : int
        Number of next calls that run and whose connection is closed in place of an answer.
    swap_answers : int
        Number of next calls that get the answer of another request.
    double_answers : int
        Number of next calls that are answered twice in one segment.
    repeat_answers : int
        Number of next calls whose answer is followed by a copy of it.
    close_idle : bool
        The connection is closed after each answer without having been announced.
    half_close_idle : bool
        The sending direction is closed after each answer; the other stays open.
    break_after_tokens : int
        Streams break after that many tokens; 0 for never.
    load_lag_s : float
        Age of the load report, in seconds.
    """

    stalled: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    swap_answers: int = 0
    double_answers: int = 0
    repeat_answers: int = 0
    close_idle: bool = False
    half_close_idle: bool = False
    break_after_tokens: int = 0
    load_lag_s: float = 0.0

    def take(self, name: str) -> bool:
        """Use up one of a counted fault; False if none is left."""
        left = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0


class Sample(msgspec.Struct, kw_only=True, frozen=True):
    """
    One load report.

    Parameters
    ----------
    instance : str
        Id of the process.
    started_ms, sampled_ms : int
        Wall times of the start and of the sample, in milliseconds.
    state : str
        ``cold``, ``warming``, ``warm`` or ``leaving``.
    running, capacity, cold_slots : int
        Calls that run, and how many may when warm and in cold start.
    models : list of str
        Loaded models.
    """

    instance: str
    started_ms: int
    sampled_ms: int
    state: str
    running: int
    capacity: int
    cold_slots: int
    models: list[str]


class Running(msgspec.Struct, kw_only=True):
    """A call that runs; `epoch` counts the turns to cold before its start."""

    epoch: int
    instance: str
    finished: bool = False


class Process:
    """
    A process with a cold start.

    While it is not warm it carries `limit` calls at the same time; each full round of successful
    calls doubles the limit, and at capacity it is warm. Calls that had begun before it turned cold
    do not count. One call more than the limit makes it fall over.

    Parameters
    ----------
    name : str
        Name of the upstream.
    timers : Timers
        Clock of the reports.
    capacity, cold_slots : int
        Calls at the same time when warm, and at the beginning of a cold start.
    warm : bool
        Whether the first instance is warm from the start.
    falls_over : bool
        Whether too many calls in cold start end the process.

    Attributes
    ----------
    observer : callable or None
        Receives the kind of each event (``"call"``, ``"output"`` or ``"cold_exceeded"``), the call
        and its output; tests set it.
    """

    __slots__ = (
        "name",
        "capacity",
        "cold_slots",
        "falls_over",
        "instance",
        "started_ms",
        "state",
        "limit",
        "running",
        "models",
        "cold_exceeded",
        "max_cold_running",
        "deaths",
        "observer",
        "_timers",
        "_epoch",
        "_epoch_running",
        "_round",
        "_instances",
        "_samples",
        "_scope",
        "_alive",
    )

    def __init__(
        self,
        *,
        name: str,
        timers: Timers,
        capacity: int,
        cold_slots: int = 1,
        warm: bool = True,
        falls_over: bool = True,
    ) -> None:
        self.name = name
        self.capacity = capacity
        self.cold_slots = cold_slots
        self.falls_over = falls_over
        self.models: list[str] = []
        self.cold_exceeded = 0
        self.max_cold_running = 0
        self.deaths = 0
        self.observer: Callable[[str, dict[str, Any], Any], None] | None = None
        self._timers = timers
        self._epoch = 0
        self._instances = 0
        self._samples: list[tuple[float, Sample]] = []
        self._scope: trio.CancelScope | None = None
        self._alive = trio.Event()
        self._alive.set()
        self._start_instance(warm=warm)

    def _start_instance(self, *, warm: bool) -> None:
        self._instances += 1
        self.started_ms = self._timers.wall_ms()
        self.instance = f"{self.name}-{self.started_ms}-{self._instances}"
        self.running = 0
        self._samples = []
        self.state: State = "warm" if warm else "cold"
        self._start_ramp(self.capacity if warm else self.cold_slots)

    def _start_ramp(self, limit: int) -> None:
        self._epoch += 1
        self._epoch_running = 0
        self._round = 0
        self.limit = limit

    def turn_cold(self) -> None:
        """Turn cold and keep the process, its instance id and its connections."""
        self.state = "cold"
        self._start_ramp(self.cold_slots)

    def die(self, *, warm_next: bool = False) -> None:
        """
        End the process: all connections break and new ones are refused.

        Parameters
        ----------
        warm_next : bool
            Whether the next instance is warm from its start.
        """
        self.deaths += 1
        self._alive = trio.Event()
        self._start_instance(warm=warm_next)
        if self._scope is not None:
            self._scope.cancel()

    def revive(self) -> None:
        """Start the next instance."""
        self._alive.set()

    def restart(self, *, warm_next: bool = False) -> None:
        """End the process and start the next instance at once."""
        self.die(warm_next=warm_next)
        self.revive()

    @property
    def is_alive(self) -> bool:
        """Whether the process accepts connections."""
        return self._alive.is_set()

    async def wait_alive(self) -> trio.CancelScope:
        """Wait until the process may run; return the scope that its death cancels."""
        await self._alive.wait()
        self._scope = trio.CancelScope()
        return self._scope

    def notify(self, event: str, call: dict[str, Any], output: Any = None) -> None:
        """Pass an event on to the observer, if there is one."""
        if self.observer is not None:
            self.observer(event, call, output)

    def begin(self) -> Running | None:
        """Count the start of a call; None if the process fell over because of it."""
        self.running += 1
        self._epoch_running += 1
        if self.state not in ("cold", "warming"):
            return Running(epoch=self._epoch, instance=self.instance)
        self.max_cold_running = max(self.max_cold_running, self._epoch_running)
        if self._epoch_running > self.limit:
            self.cold_exceeded += 1
            self.notify("cold_exceeded", {})
            if self.falls_over:
                self.restart()
                return None
        return Running(epoch=self._epoch, instance=self.instance)

    def finish(self, call: Running, *, succeeded: bool) -> None:
        """Count the end of a call; a second count of the same call has no effect."""
        if call.finished or call.instance != self.instance:
            return
        call.finished = True
        self.running -= 1
        if call.epoch != self._epoch:
            return
        self._epoch_running -= 1
        if not succeeded or self.state not in ("cold", "warming"):
            return
        self._round += 1
        if self._round >= self.limit:
            self._round = 0
            self.limit = min(self.capacity, self.limit * 2)
            self.state = "warm" if self.limit >= self.capacity else "warming"

    def report(self, lag_s: float = 0.0) -> Sample:
        """Return the load report, sampled `lag_s` seconds ago where that is known."""
        now = self._timers.now()
        sample = Sample(
            instance=self.instance,
            started_ms=self.started_ms,
            sampled_ms=self._timers.wall_ms(),
            state=self.state,
            running=self.running,
            capacity=self.capacity,
            cold_slots=self.cold_slots,
            models=list(self.models),
        )
        self._samples.append((now, sample))
        while len(self._samples) > 1 and self._samples[1][0] <= now - lag_s:
            self._samples.pop(0)
        return self._samples[0][1]

    def headers(self) -> dict[str, str]:
        """Return the headers that each answer carries."""
        return {
            "x-instance": self.instance,
            "x-state": self.state,
            "x-load": str(min(255, 255 * self.running // max(1, self.capacity))),
        }
