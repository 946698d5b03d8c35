"""Simulated process of a stand-in: instances, cold start, load reports and termination."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Literal

import msgspec
import trio

from marigoldtrail.timers import Timers

State = Literal["cold", "warming", "warm", "leaving"]


class FaultSwitches(msgspec.Struct, kw_only=True):
    """
    Faults that a test or the demo can inject.

    Parameters
    ----------
    stalled : bool
        Calls are accepted but never answered.
    delay_s : float
        Delay added to each call, in seconds.
    lose_answers : int
        Number of next calls that run, but whose connection is closed without a response.
    swap_answers : int
        Number of next calls that get the response of another request.
    double_answers : int
        Number of next calls whose response is sent twice in one write.
    repeat_answers : int
        Number of next calls whose response is followed by a copy in a second write.
    close_idle : bool
        The connection is closed after each response, without a ``connection: close`` header.
    half_close_idle : bool
        The sending direction is closed after each response; the receiving one stays open.
    break_after_tokens : int
        Number of tokens after which a stream is aborted; 0: never.
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

    def use_once(self, name: str) -> bool:
        """Decrement the counter of a fault; return False if it was zero."""
        left = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0


class LoadReport(msgspec.Struct, kw_only=True, frozen=True):
    """
    Load report of a process.

    Parameters
    ----------
    instance : str
        Id of the process instance.
    started_ms, sampled_ms : int
        Wall times of the process start and of the report, in milliseconds.
    state : str
        ``cold``, ``warming``, ``warm`` or ``leaving``.
    running, capacity, cold_slots : int
        Running calls, and their limits when warm and at the beginning of a cold start.
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


class RunningCall(msgspec.Struct, kw_only=True):
    """A running call; `epoch` numbers the ramp-up of the process in which it started."""

    epoch: int
    instance: str
    finished: bool = False


class Process:
    """
    A simulated process with a cold start.

    A process that is not warm supports `limit` concurrent calls. Each round of `limit` successful
    calls doubles the limit; the process is warm once the limit reaches its capacity. Calls that
    began before it turned cold do not count. A call beyond the limit overloads the process, which
    then restarts.

    Parameters
    ----------
    name : str
        Name of the upstream.
    timers : Timers
        Clock of the load reports.
    capacity, cold_slots : int
        Maximum number of concurrent calls when warm, and at the beginning of a cold start.
    warm : bool
        Whether the first instance is warm from the start.
    restarts_on_overload : bool
        Whether too many calls during a cold start make the process restart.

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
        "restarts_on_overload",
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
        "_round_successes",
        "_instances",
        "_load_reports",
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
        restarts_on_overload: bool = True,
    ) -> None:
        self.name = name
        self.capacity = capacity
        self.cold_slots = cold_slots
        self.restarts_on_overload = restarts_on_overload
        self.models: list[str] = []
        self.cold_exceeded = 0
        self.max_cold_running = 0
        self.deaths = 0
        self.observer: Callable[[str, dict[str, Any], Any], None] | None = None
        self._timers = timers
        self._epoch = 0
        self._instances = 0
        self._load_reports: list[tuple[float, LoadReport]] = []
        self._scope: trio.CancelScope | None = None
        self._alive = trio.Event()
        self._alive.set()
        self._start_instance(warm=warm)

    def _start_instance(self, *, warm: bool) -> None:
        self._instances += 1
        self.started_ms = self._timers.wall_ms()
        self.instance = f"{self.name}-{self.started_ms}-{self._instances}"
        self.running = 0
        self._load_reports = []
        self.state: State = "warm" if warm else "cold"
        self._start_ramp(self.capacity if warm else self.cold_slots)

    def _start_ramp(self, limit: int) -> None:
        self._epoch += 1
        self._epoch_running = 0
        self._round_successes = 0
        self.limit = limit

    def turn_cold(self) -> None:
        """Return to a cold start, keeping the instance id and the connections."""
        self.state = "cold"
        self._start_ramp(self.cold_slots)

    def kill(self, *, warm_next: bool = False) -> None:
        """
        Terminate the process.

        Connections break, and new ones are refused until `start_next_instance`.

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

    def start_next_instance(self) -> None:
        """Let the next instance accept connections."""
        self._alive.set()

    def restart(self, *, warm_next: bool = False) -> None:
        """Terminate the process and start the next instance at once."""
        self.kill(warm_next=warm_next)
        self.start_next_instance()

    @property
    def is_alive(self) -> bool:
        """Whether the process accepts connections."""
        return self._alive.is_set()

    async def wait_until_alive(self) -> trio.CancelScope:
        """Wait until the process accepts connections; return the scope cancelled by `kill`."""
        await self._alive.wait()
        self._scope = trio.CancelScope()
        return self._scope

    def notify(self, event: str, call: dict[str, Any], output: Any = None) -> None:
        """Report an event to the observer, if one is set."""
        if self.observer is not None:
            self.observer(event, call, output)

    def begin_call(self) -> RunningCall | None:
        """Register the start of a call; return None if it made the process restart."""
        self.running += 1
        self._epoch_running += 1
        if self.state not in ("cold", "warming"):
            return RunningCall(epoch=self._epoch, instance=self.instance)
        self.max_cold_running = max(self.max_cold_running, self._epoch_running)
        if self._epoch_running > self.limit:
            self.cold_exceeded += 1
            self.notify("cold_exceeded", {})
            if self.restarts_on_overload:
                self.restart()
                return None
        return RunningCall(epoch=self._epoch, instance=self.instance)

    def finish_call(self, call: RunningCall, *, succeeded: bool) -> None:
        """Register the end of a call; a repeat for the same call has no effect."""
        if call.finished or call.instance != self.instance:
            return
        call.finished = True
        self.running -= 1
        if call.epoch != self._epoch:
            return
        self._epoch_running -= 1
        if not succeeded or self.state not in ("cold", "warming"):
            return
        self._round_successes += 1
        if self._round_successes >= self.limit:
            self._round_successes = 0
            self.limit = min(self.capacity, self.limit * 2)
            self.state = "warm" if self.limit >= self.capacity else "warming"

    def report(self, lag_s: float = 0.0) -> LoadReport:
        """Return the load report of `lag_s` seconds ago, or the oldest one if there is none."""
        now = self._timers.now()
        sample = LoadReport(
            instance=self.instance,
            started_ms=self.started_ms,
            sampled_ms=self._timers.wall_ms(),
            state=self.state,
            running=self.running,
            capacity=self.capacity,
            cold_slots=self.cold_slots,
            models=list(self.models),
        )
        self._load_reports.append((now, sample))
        while len(self._load_reports) > 1 and self._load_reports[1][0] <= now - lag_s:
            self._load_reports.pop(0)
        return self._load_reports[0][1]

    def headers(self) -> dict[str, str]:
        """Return the headers of each response."""
        return {
            "x-instance": self.instance,
            "x-state": self.state,
            "x-load": str(min(255, 255 * self.running // max(1, self.capacity))),
        }
