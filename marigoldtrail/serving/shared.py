"""State shared by all requests of a node: services and the measurements of the policies."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from marigoldtrail.policy import (
    Admission,
    Estimator,
    PoolGate,
    PrefixIndex,
    RetryBudget,
    UpstreamHealth,
    UpstreamLoad,
    share_of,
)
from marigoldtrail.schema.generated.control import UpstreamStatus
from marigoldtrail.schema.generated.manifest import Stage, Upstream
from marigoldtrail.schema.generated.settings import Settings
from marigoldtrail.serving.catalog import Catalog
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.timers import Timers

# Limits are cached for this long: the capacity of a pool changes with states and takeouts, and
# summing it up for each call would cost more than choosing the upstream.
LIMIT_MAX_AGE_S = 0.25
EXPECTED_RECORD_MS = 30.0


class SharedState:
    """
    Services and policy state of one entry node.

    Parameters
    ----------
    cfg : Settings
        Settings of the node.
    view : FleetView
        The node's view of the fleet.
    control : ControlClient
        Claims and records.
    slots : SlotClient
        Slots of upstreams in cold start.
    upstreams : UpstreamClient
        Calls to upstreams.
    timers : Timers
        Clock.
    telemetry : Telemetry
        Spans, metrics, decisions.
    rng : random.Random
        Source of ids and random choices.
    """

    __slots__ = (
        "cfg",
        "view",
        "control",
        "slots",
        "upstreams",
        "timers",
        "telemetry",
        "rng",
        "admission",
        "budget",
        "prefixes",
        "loads",
        "health",
        "background",
        "record_time",
        "key_lookups",
        "_counted_nodes",
        "_live_entry_count",
        "_estimators",
        "_first_tokens",
        "_gates",
        "_limits",
        "_contradicted_statuses",
        "_catalog",
    )

    def __init__(
        self,
        *,
        cfg: Settings,
        view: Any,
        control: Any,
        slots: Any,
        upstreams: Any,
        timers: Timers,
        telemetry: Telemetry,
        rng: random.Random,
    ) -> None:
        self.cfg = cfg
        self.view = view
        self.control = control
        self.slots = slots
        self.upstreams = upstreams
        self.timers = timers
        self.telemetry = telemetry
        self.rng = rng
        self.admission = Admission(timers=timers, limit_of=self.limit_of)
        self.budget = RetryBudget()
        self.prefixes = PrefixIndex()
        self.loads: dict[str, UpstreamLoad] = defaultdict(UpstreamLoad)
        self.health: dict[str, UpstreamHealth] = defaultdict(UpstreamHealth)
        self.background = BackgroundTasks()
        self.key_lookups = 0
        self.record_time = Estimator(expected_ms=EXPECTED_RECORD_MS)
        self._counted_nodes: object = None
        self._live_entry_count = 0
        self._estimators: dict[tuple[str, str], Estimator] = {}
        self._first_tokens: dict[tuple[str, str], Estimator] = {}
        self._gates: dict[str, PoolGate] = defaultdict(PoolGate)
        self._limits: dict[str, tuple[float, int]] = {}
        self._contradicted_statuses: dict[str, UpstreamStatus] = {}
        self._catalog: Catalog | None = None

    def catalog(self) -> Catalog | None:
        """Return the catalog of the manifest in force; None before the first manifest."""
        manifest = self.view.manifest
        if manifest is None:
            return None
        if self._catalog is None or self._catalog.manifest is not manifest:
            self._catalog = Catalog(manifest=manifest)
            self._limits.clear()
            self._discard_removed_upstreams(self._catalog)
        return self._catalog

    def _discard_removed_upstreams(self, catalog: Catalog) -> None:
        names = {upstream.name for upstream in catalog.manifest.upstreams}
        for name in [name for name in self.loads if name not in names]:
            # Kept while calls are in progress, since their end is counted on it.
            if self.loads[name].outstanding == 0:
                del self.loads[name]
                self.health.pop(name, None)

    def estimator(self, pipeline: str, stage: Stage) -> Estimator:
        """Return the estimator of a stage's duration."""
        key = (pipeline, stage.name)
        if key not in self._estimators:
            self._estimators[key] = Estimator(expected_ms=stage.expected_ms)
        return self._estimators[key]

    def first_token_estimator(self, pipeline: str, stage: Stage) -> Estimator:
        """Return the estimator of a generation's time to the first token."""
        key = (pipeline, stage.name)
        if key not in self._first_tokens:
            self._first_tokens[key] = Estimator(expected_ms=stage.expected_ms)
        return self._first_tokens[key]

    def gate(self, pool: str) -> PoolGate:
        """Return the gate that limits this node's outstanding calls to a pool."""
        gate = self._gates[pool]
        limit = self.limit_of(pool)
        if gate.limit != limit:
            gate.set_limit(limit)
        return gate

    def limit_of(self, pool: str) -> int:
        """Return the number of calls that this node may have in progress at a pool."""
        now = self.timers.now()
        valid_until, limit = self._limits.get(pool, (0.0, 0))
        if now < valid_until:
            return limit
        catalog = self._catalog
        capacity = 0
        for upstream in catalog.pools.get(pool, ()) if catalog is not None else ():
            if not self.is_usable(upstream):
                continue
            # An upstream in cold start adds only its slots.
            capacity += upstream.capacity if self.is_warm(upstream) else upstream.cold_slots
        limit = share_of(capacity, self.count_live_entries())
        self._limits[pool] = (now + LIMIT_MAX_AGE_S, limit)
        return limit

    def count_live_entries(self) -> int:
        """Return the number of entries that share the upstreams; at least 1."""
        nodes = self.view.nodes
        if nodes is not self._counted_nodes:
            # The view replaces its list on each change, so the count is cached per list: counting
            # 330 nodes for each choice of an upstream would cost as much as the choice.
            self._counted_nodes = nodes
            self._live_entry_count = sum(
                node.state == "live" and "entry" in node.roles for node in nodes
            )
        return max(1, self._live_entry_count)

    def is_usable(self, upstream: Upstream) -> bool:
        """Tell whether takeouts, the platform and its state allow new calls to an upstream."""
        view = self.view
        status = view.upstream_status(upstream.name)
        return not (
            (status is not None and status.state in ("leaving", "down"))
            or view.is_out_of_service("upstream", upstream.name)
            or view.is_out_of_service("host", upstream.host)
            or view.is_out_of_service("data_centre", upstream.data_centre)
            or view.is_leaving_host(upstream.host)
        )

    def is_warm(self, upstream: Upstream) -> bool:
        """Tell whether an upstream may be called without a slot."""
        status = self.view.upstream_status(upstream.name)
        return (
            status is not None
            and status.state == "warm"
            and not self._is_contradicted(upstream.name, status)
        )

    def add_evidence(self, upstream: str, instance: str, state: str, reason: str) -> None:
        """
        Act on evidence that an upstream is not warm.

        This node calls it only with a slot until its distributed status changes, which only the
        owner of its slots can do. The evidence is reported to the owner once per status.

        Parameters
        ----------
        upstream : str
            The upstream.
        instance : str
            Instance that was seen; empty if unknown.
        state : str
            ``"cold"``, ``"warming"``, ``"leaving"`` or ``"down"``.
        reason : str
            The evidence.
        """
        status = self.view.upstream_status(upstream)
        if status is None or status.state != "warm" or self._is_contradicted(upstream, status):
            return
        self._contradicted_statuses[upstream] = status
        self._limits.clear()
        self.prefixes.forget(upstream)
        self.telemetry.decisions.add("turn_cold", upstream, reason, instance=instance, state=state)
        self.background.start(self.slots.report, upstream, instance, state, reason)

    def _is_contradicted(self, upstream: str, status: UpstreamStatus) -> bool:
        contradicted = self._contradicted_statuses.get(upstream)
        if contradicted is None:
            return False
        known = (contradicted.instance, contradicted.state, contradicted.changed_ms)
        if known == (status.instance, status.state, status.changed_ms):
            return True
        del self._contradicted_statuses[upstream]
        return False

    def new_attempt_id(self) -> str:
        """Return a new attempt id."""
        return f"{self.rng.getrandbits(96):024x}"


class BackgroundTasks:
    """Tasks that may outlive the request that started them."""

    __slots__ = ("_nursery", "_running", "_idle")

    def __init__(self) -> None:
        self._nursery: trio.Nursery | None = None
        self._running = 0
        self._idle = trio.Event()

    @property
    def is_open(self) -> bool:
        """Whether tasks can be started."""
        return self._nursery is not None

    def open(self, nursery: trio.Nursery) -> None:
        """Start tasks in this nursery from now on."""
        self._nursery = nursery

    def close(self) -> None:
        """Accept no more tasks."""
        self._nursery = None

    def start(self, function: Callable[..., Awaitable[object]], *args: object) -> None:
        """Run a coroutine function as a task; ignored after `close`."""
        if self._nursery is not None:
            self._running += 1
            self._nursery.start_soon(self._run, function, args)

    async def _run(
        self, function: Callable[..., Awaitable[object]], args: tuple[object, ...]
    ) -> None:
        try:
            await function(*args)
        finally:
            self._running -= 1
            if self._running == 0:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no task is running."""
        while self._running:
            self._idle = trio.Event()
            await self._idle.wait()
