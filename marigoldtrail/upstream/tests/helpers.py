"""Shared fixtures of the tests of upstream calls."""

from functools import partial

from marigoldtrail.net import Address
from marigoldtrail.schema.generated.control import UpstreamStatus
from marigoldtrail.schema.generated.manifest import Upstream
from marigoldtrail.schema.generated.slots import SlotGrant
from marigoldtrail.standins import EffectService, Engine, PoolService, Process, run_standin
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.testing import MemoryNetwork
from marigoldtrail.timers import Timers
from marigoldtrail.upstream import StageCall, UpstreamClient

ADDRESS = Address("10.0.0.9", 9000)
ENTRY_IP = "10.0.0.1"


class FakeView:
    """Fake view with the states of upstreams that a test sets."""

    def __init__(self):
        self.statuses = {}

    def set(self, process, state="warm", *, changed_ms=1, instance=None):
        self.statuses[process.name] = UpstreamStatus(
            upstream=process.name,
            instance=process.instance if instance is None else instance,
            state=state,
            changed_ms=changed_ms,
        )

    def upstream_status(self, upstream):
        return self.statuses.get(upstream)


class Rig:
    """One stand-in, one client and the evidence that the client reported."""

    def __init__(self, standin, *, reports_load=True, network=None):
        self.standin = standin
        self.process = standin.process
        self.memory = network or MemoryNetwork(seed=1)
        self.view = FakeView()
        self.view.set(self.process)
        self.evidence = []
        self.timers = Timers(seed=1)
        self.upstream = Upstream(
            name=self.process.name,
            pool="p",
            kind="engine" if isinstance(standin, Engine) else "service",
            address=str(ADDRESS),
            data_centre="nbo-1",
            host="h",
            capacity=self.process.capacity,
            reports_load=reports_load,
        )
        self.client = UpstreamClient(
            network=self.memory.endpoint(ENTRY_IP),
            timers=self.timers,
            view=self.view,
            telemetry=Telemetry(host="a", timers=self.timers),
            on_evidence=lambda *evidence: self.evidence.append(evidence),
        )

    async def start(self, nursery):
        await nursery.start(
            partial(
                run_standin,
                self.standin,
                network=self.memory.endpoint(ADDRESS.ip),
                address=ADDRESS,
            )
        )
        return self

    async def call(self, attempt_id="a1", *, timeout_s=5.0, slot=None, may_repeat=False):
        request = make_call(attempt_id)
        return await self.client.call(
            self.upstream, request, timeout_s=timeout_s, may_repeat=may_repeat, slot=slot
        )

    def grant(self, instance):
        return SlotGrant(
            slot_id="s", upstream=self.process.name, epoch=1, expires_in_s=12.0, instance=instance
        )


def make_call(attempt_id="a1", **changes):
    fields = {
        "request_id": "00r1",
        "attempt_id": attempt_id,
        "client_account": "acme",
        "stage": "deposit",
        "path": "/deposits",
        "input": {"amount": 7},
        **changes,
    }
    return StageCall(**fields)


def effect_rig(*, reports_load=True, capacity=4, **options):
    timers = Timers(seed=1)
    process = Process(name="ledger-1", timers=timers, capacity=capacity)
    service = EffectService(process=process, timers=timers, reports_load=reports_load, **options)
    return Rig(service, reports_load=reports_load)


def engine_rig(*, capacity=4, warm=True, cold_slots=1, **options):
    timers = Timers(seed=1)
    process = Process(
        name="engine-1", timers=timers, capacity=capacity, cold_slots=cold_slots, warm=warm
    )
    return Rig(Engine(process=process, timers=timers, **options))


def pool_rig(**options):
    timers = Timers(seed=1)
    process = Process(name="encoder-1", timers=timers, capacity=8, cold_slots=4)
    return Rig(PoolService(process=process, timers=timers, kind="encoder", **options))
