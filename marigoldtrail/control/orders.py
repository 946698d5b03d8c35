"""Planning and delivery of fenced orders to engines, with resends until they are answered."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, Literal, Protocol

import msgspec
import trio

from marigoldtrail.control.commands import (
    Command,
    MarkOrder,
    Order,
    OrderState,
    PlanOrder,
    encode_command,
)
from marigoldtrail.control.leader_state import LeaderState
from marigoldtrail.control.machine import ConfigMachine
from marigoldtrail.errors import Failure, RunState
from marigoldtrail.schema.generated.control import UpstreamStatus
from marigoldtrail.schema.generated.manifest import Model, Upstream
from marigoldtrail.timers import Timers

if TYPE_CHECKING:
    from marigoldtrail.telemetry import Telemetry

ORDERS_INTERVAL_S = 0.5
ORDER_TIMEOUT_S = 5.0
LEADER_LEASE_S = 1.0
# The old leader sent its last order before its lease ended; it arrives within the order timeout.
OLD_ORDER_TIMEOUT_S = LEADER_LEASE_S + ORDER_TIMEOUT_S
RESEND_INTERVAL_S = 2.0
# An engine that ignores fencing numbers may execute a resent order twice. The longer interval lets
# its load report show the effect of the first one before a resend.
UNFENCED_RESEND_INTERVAL_S = 30.0
REFUSED_RETRY_DELAY_S = 30.0
# The order of an unreachable engine stops counting towards the load limit after this time.
# Otherwise the loss of a data centre would block all other loads.
UNREACHABLE_TIMEOUT_S = 60.0
# A load that was accepted has failed if the engine does not report the model within this time.
LOAD_TIMEOUT_S = 600.0
# An upstream that a new leader has no state of yet is assumed to hold the model for this time,
# until its owner reports.
UNKNOWN_STATE_GRACE_S = 30.0
PROPOSE_TIMEOUT_S = 2.0

_log = logging.getLogger(__name__)


class OrderAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """
    Response of an engine to an order.

    Parameters
    ----------
    state : str
        ``"accepted"`` while the engine executes the order, ``"done"`` or ``"refused"``.
    detail : str
        Human-readable detail.
    """

    state: Literal["accepted", "done", "refused"]
    detail: str = ""


SendOrder = Callable[[Upstream, Order], Awaitable[OrderAnswer | Failure]]


class OrderGroup(Protocol):
    """Interface of the log group that `OrderManager` uses."""

    async def propose(self, command: bytes, *, timeout_s: float) -> Any:
        """Commit a command; return the machine's result or a `Failure`."""
        ...

    async def read_barrier(self, *, timeout_s: float) -> Failure | None:
        """Confirm leadership by a quorum; return None or a `Failure`."""
        ...


class OrderManager:
    """
    Plans and sends the orders of one term of leadership.

    Parameters
    ----------
    group : OrderGroup
        Group ``config``.
    machine : ConfigMachine
        Durable state of the group.
    leader : LeaderState
        Soft state of the term.
    timers : Timers
        Clock and periodic timers.
    telemetry : Telemetry
        Records decisions.
    send_order : callable
        Sends an order to an engine and returns the response.
    """

    __slots__ = (
        "_group",
        "_machine",
        "_leader",
        "_timers",
        "_telemetry",
        "_send_order",
        "_sending",
        "_accepted",
        "_retry_at",
        "_unreachable_since",
    )

    def __init__(
        self,
        *,
        group: OrderGroup,
        machine: ConfigMachine,
        leader: LeaderState,
        timers: Timers,
        telemetry: Telemetry,
        send_order: SendOrder,
    ) -> None:
        self._group = group
        self._machine = machine
        self._leader = leader
        self._timers = timers
        self._telemetry = telemetry
        self._send_order = send_order
        self._sending: set[str] = set()
        # Instance that accepted each order, and the time, by fencing number.
        self._accepted: dict[int, tuple[str, float]] = {}
        self._retry_at: dict[str, float] = {}
        self._unreachable_since: dict[int, float] = {}

    async def run(self) -> None:
        """Plan and send orders until cancelled."""
        async with trio.open_nursery() as nursery:
            async for _ in self._timers.subscribe("orders", ORDERS_INTERVAL_S):
                self._leader.update_manifest()
                if self._leader.manifest is None or not self._leader.is_settled():
                    continue
                await self._process_open_orders(nursery)
                await self._plan_orders()

    async def _process_open_orders(self, nursery: trio.Nursery) -> None:
        upstreams = {item.name: item for item in self._engines()}
        for order in list(self._machine.state.orders.values()):
            if not order.is_open():
                continue
            upstream = upstreams.get(order.upstream)
            if upstream is None:
                await self._mark(order, "refused", "the engine is not in the manifest")
            elif not self._is_reachable(upstream):
                await self._process_unreachable(order)
            else:
                self._unreachable_since.pop(order.fencing, None)
                await self._process_reachable(upstream, order, nursery)

    async def _process_unreachable(self, order: Order) -> None:
        now = self._timers.now()
        since = self._unreachable_since.setdefault(order.fencing, now)
        if order.state == "planned":
            # Leaders mark an order as sent before they send it, so this one had no effect.
            await self._mark(order, "refused", "the engine is withdrawn or down")
        elif now - since >= UNREACHABLE_TIMEOUT_S:
            await self._mark(
                order, "refused", f"the engine was unreachable for {UNREACHABLE_TIMEOUT_S:.0f} s"
            )

    async def _process_reachable(
        self, upstream: Upstream, order: Order, nursery: trio.Nursery
    ) -> None:
        now = self._timers.now()
        status = self._leader.upstream_states.status(upstream.name)
        if self._has_model(upstream, order.model, order.version):
            await self._mark(order, "done", "the engine reports the model")
            return
        accepted = self._accepted.get(order.fencing)
        if accepted is not None and status is not None and accepted[0] == status.instance:
            if now - accepted[1] >= LOAD_TIMEOUT_S:
                detail = f"the model was not reported after {LOAD_TIMEOUT_S:.0f} s"
                await self._mark(order, "refused", detail)
            return
        if not upstream.checks_fencing and now - self._leader.elected_at < OLD_ORDER_TIMEOUT_S:
            return
        if upstream.name in self._sending or now < self._retry_at.get(upstream.name, now):
            return
        self._sending.add(upstream.name)
        nursery.start_soon(self._send, upstream, order)

    async def _send(self, upstream: Upstream, order: Order) -> None:
        try:
            if not await self._confirm_sending(order):
                return
            status = self._leader.upstream_states.status(upstream.name)
            answer: OrderAnswer | Failure | None = None
            with trio.move_on_after(ORDER_TIMEOUT_S):
                try:
                    answer = await self._send_order(upstream, order)
                except Exception:
                    # The order may have been sent, as after a timeout.
                    _log.exception("unexpected error in order %d", order.fencing)
            self._retry_at[upstream.name] = self._timers.now() + choose_resend_delay(
                upstream, answer
            )
            if not isinstance(answer, OrderAnswer):
                _log.warning(
                    "sending order %d to upstream %s failed: %s",
                    order.fencing,
                    upstream.name,
                    answer or "timeout",
                )
            elif answer.state == "accepted":
                instance = status.instance if status else ""
                self._accepted[order.fencing] = (instance, self._timers.now())
            else:
                await self._mark(order, answer.state, answer.detail)
        finally:
            self._sending.discard(upstream.name)

    async def _confirm_sending(self, order: Order) -> bool:
        """Confirm leadership by a commit or a read barrier right before sending an order."""
        if order.state == "planned":
            return await self._mark(order, "sent", "")
        failure = await self._group.read_barrier(timeout_s=LEADER_LEASE_S)
        return failure is None and order.is_open()

    async def _mark(self, order: Order, state: OrderState, detail: str) -> bool:
        command = MarkOrder(
            upstream=order.upstream, fencing=order.fencing, state=state, detail=detail
        )
        result = await self._propose(command)
        if not isinstance(result, Order) or result.state != state:
            _log.warning("order %d could not be marked as %s: %s", order.fencing, state, result)
            return False
        if not result.is_open():
            self._accepted.pop(order.fencing, None)
            self._unreachable_since.pop(order.fencing, None)
        if state == "refused":
            self._retry_at[order.upstream] = self._timers.now() + REFUSED_RETRY_DELAY_S
        self._telemetry.decisions.add(
            "order", order.upstream, state, fencing=order.fencing, model=order.model, detail=detail
        )
        return True

    async def _plan_orders(self) -> None:
        manifest = self._leader.manifest
        if manifest is None:
            return
        for model in manifest.models:
            while self._machine.loads_running() < manifest.weight_store.concurrent_loads:
                upstream = self._choose_engine(model)
                if upstream is None:
                    break
                if not await self._plan(upstream, model):
                    return

    async def _plan(self, upstream: Upstream, model: Model) -> bool:
        latest = self._machine.state.orders.get(upstream.name)
        record = self._leader.upstream_states.record(upstream.name)
        reported = record.models if record else []
        other_version = any(name.startswith(f"{model.name}:") for name in reported)
        command = PlanOrder(
            upstream=upstream.name,
            action="load_version" if other_version else "load_model",
            model=model.name,
            version=model.version,
            previous_fencing=latest.fencing if latest else 0,
            wall_ms=self._timers.wall_ms(),
        )
        order = await self._propose(command)
        if not isinstance(order, Order):
            return False
        self._telemetry.decisions.add(
            "order",
            upstream.name,
            "planned: warm replicas are missing",
            fencing=order.fencing,
            model=model.name,
            version=model.version,
            min_warm=model.min_warm,
        )
        return True

    def _choose_engine(self, model: Model) -> Upstream | None:
        """Choose an engine for another replica; None if enough engines hold or load the model."""
        present = 0
        per_data_centre: Counter[str] = Counter()
        candidates = []
        for upstream in self._engines():
            if model.name not in upstream.models or self._leader.is_withdrawn(upstream):
                continue
            order = self._machine.state.orders.get(upstream.name)
            is_busy = order is not None and order.is_open()
            is_assigned = is_busy and order is not None and order.model == model.name
            if is_assigned or self._may_have_model(upstream, model):
                present += 1
                per_data_centre[upstream.data_centre] += 1
            elif not is_busy and self._may_receive_order(upstream):
                candidates.append(upstream)
        if present >= model.min_warm or not candidates:
            return None
        upstream_states = self._leader.upstream_states

        def rank(upstream: Upstream) -> tuple[int, int, str]:
            record = upstream_states.record(upstream.name)
            held = len(record.models) if record else 0
            return per_data_centre[upstream.data_centre], held, upstream.name

        return min(candidates, key=rank)

    def _may_have_model(self, upstream: Upstream, model: Model) -> bool:
        status = self._leader.upstream_states.status(upstream.name)
        if status is None:
            return self._timers.now() - self._leader.elected_at < UNKNOWN_STATE_GRACE_S
        return _is_up(status) and self._has_model(upstream, model.name, model.version)

    def _may_receive_order(self, upstream: Upstream) -> bool:
        now = self._timers.now()
        return self._is_reachable(upstream) and now >= self._retry_at.get(upstream.name, now)

    def _is_reachable(self, upstream: Upstream) -> bool:
        status = self._leader.upstream_states.status(upstream.name)
        return _is_up(status) and not self._leader.is_withdrawn(upstream)

    def _has_model(self, upstream: Upstream, model: str, version: str) -> bool:
        record = self._leader.upstream_states.record(upstream.name)
        reported = record.models if record else []
        return model in reported or f"{model}:{version}" in reported

    def _engines(self) -> list[Upstream]:
        manifest = self._leader.manifest
        return [item for item in manifest.upstreams if item.kind == "engine"] if manifest else []

    async def _propose(self, command: Command) -> Any:
        return await self._group.propose(encode_command(command), timeout_s=PROPOSE_TIMEOUT_S)


def choose_resend_delay(upstream: Upstream, answer: OrderAnswer | Failure | None) -> float:
    """
    Return the delay before an order is resent.

    Parameters
    ----------
    upstream : Upstream
        The engine.
    answer : OrderAnswer, Failure or None
        Response to the last attempt; None after a timeout.

    Returns
    -------
    float
        Delay in seconds.
    """
    not_run = isinstance(answer, Failure) and answer.run_state is RunState.NOT_RUN
    if upstream.checks_fencing or not_run or isinstance(answer, OrderAnswer):
        return RESEND_INTERVAL_S
    return UNFENCED_RESEND_INTERVAL_S


def _is_up(status: UpstreamStatus | None) -> bool:
    return status is not None and status.state not in ("down", "leaving")
