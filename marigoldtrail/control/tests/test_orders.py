"""Orders to engines: the limit of weight loads, resends, fencing numbers, new leaders."""

import json

import trio

from marigoldtrail.control import HostList, OrderAnswer, PlatformHost
from marigoldtrail.control.tests.harness import Fleet, manifest
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.schema.generated.control import UpstreamObservation


class Engines:
    """Stand-ins of the engines llm-1 to llm-4: they load models and report them."""

    def __init__(self):
        self.loading = {}
        self.models = {f"llm-{number}": [] for number in range(1, 5)}
        self.instances = dict.fromkeys(self.models, 1)
        self.down = set()
        self.received = []
        self.effects = []
        self.most_loading = 0
        self.lose_replies = False
        self.load_s = 7.0

    async def send(self, upstream, order):
        self.received.append((trio.current_time(), upstream.name, order.fencing))
        if upstream.name in self.down:
            await trio.sleep(60)
        # A restarted engine remembers no order.
        effect = (upstream.name, self.instances[upstream.name], order.fencing)
        if effect not in self.effects:
            self.effects.append(effect)
            self.loading[upstream.name] = (trio.current_time() + self.load_s, order.model)
            self.most_loading = max(self.most_loading, len(self.loading))
        if self.lose_replies:
            return Failure(reason=Reason.TIMEOUT, run_state=RunState.MAY_HAVE_RUN, step="order")
        return OrderAnswer(state="accepted")

    def restart(self, name):
        self.loading.pop(name, None)
        self.models[name] = []
        self.instances[name] += 1

    async def run(self, fleet):
        """Let loads finish, and let every owner observe its engines."""
        async for now in fleet.timers.subscribe("engines", 0.5):
            for name, (until, model) in list(self.loading.items()):
                if now >= until:
                    del self.loading[name]
                    self.models[name] = [model]
            observations = [self.observe(name) for name in self.models]
            for node in fleet.nodes.values():
                node.observed = observations

    def observe(self, name):
        state = "down" if name in self.down else "warm" if self.models[name] else "cold"
        return UpstreamObservation(
            upstream=name,
            instance=f"{name}/{self.instances[name]}",
            state=state,
            models=list(self.models[name]),
            sampled_ms=int(trio.current_time() * 1000),
        )


async def start(nursery, min_warm, loads, read_hosts=None, **changes):
    engines = Engines()
    fleet = Fleet(nursery, controls=3, send_order=engines.send, read_hosts=read_hosts)
    nursery.start_soon(engines.run, fleet)
    await fleet.form()
    document = manifest(
        1,
        models=[{"name": "quill", "version": "v1", "min_warm": min_warm}],
        weight_store={"concurrent_loads": loads},
        **changes,
    )
    assert (await fleet.submit("c1", document)).outcome == "accepted"
    return fleet, engines


def orders_of(fleet):
    return fleet.machine.state.orders


async def test_missing_replicas_are_loaded_within_the_limit(autojump_clock, nursery):
    """Guards against more concurrent loads than the weight store allows, and against too many
    replicas."""
    fleet, engines = await start(nursery, min_warm=3, loads=2)
    await trio.sleep(40)
    assert sum(bool(models) for models in engines.models.values()) == 3
    assert engines.most_loading == 2 and len(engines.effects) == 3
    assert {order.state for order in orders_of(fleet).values()} == {"done"}


async def test_loads_are_bounded_when_a_data_centre_bounces(autojump_clock, nursery):
    """Guards against a burst of loads when engines of a data centre restart together."""
    fleet, engines = await start(nursery, min_warm=4, loads=1)
    await trio.sleep(60)
    assert all(engines.models.values())
    for _ in range(3):
        engines.down = {"llm-1", "llm-3"}
        await trio.sleep(4)
        for name in engines.down:
            engines.restart(name)
        engines.down = set()
        await fleet.move_leader()
        await trio.sleep(9)
    await trio.sleep(90)
    assert all(engines.models.values())
    assert engines.most_loading == 1


async def test_resent_order_has_one_effect(autojump_clock, nursery):
    """Guards against a resend under another fencing number, also from the next leader."""
    fleet, engines = await start(nursery, min_warm=1, loads=2)
    engines.lose_replies = True
    await trio.sleep(6)
    assert engines.received
    await fleet.move_leader()
    await trio.sleep(30)
    fencing_numbers = {fencing for _, _, fencing in engines.received}
    assert len(engines.received) > 2 and len(fencing_numbers) == 1 and len(engines.effects) == 1
    (order,) = orders_of(fleet).values()
    assert order.state == "done" and order.fencing in fencing_numbers


async def test_new_leader_waits_before_engines_that_ignore_fencing(autojump_clock, nursery):
    """Guards against an order of the old leader that arrives after one of the new leader, and
    against quick resends to an engine that would carry them out again."""
    value = manifest(1).replace(b'"checks_fencing": true', b'"checks_fencing": false')
    upstreams = json.loads(value)["upstreams"]
    fleet, engines = await start(nursery, min_warm=1, loads=1, upstreams=upstreams)
    engines.load_s = 30.0
    engines.lose_replies = True
    await trio.sleep(8)
    assert engines.received
    old_leader_until = trio.current_time()
    await fleet.move_leader()
    await trio.sleep(12)
    after = [time for time, _, _ in engines.received if time > old_leader_until]
    assert 6 <= after[0] - old_leader_until < 9 and len(after) == 1


async def test_engine_that_stays_unreachable_gives_its_load_back(autojump_clock, nursery):
    """Guards against a lost engine that blocks all other loads for ever."""
    fleet, engines = await start(nursery, min_warm=1, loads=1)
    await trio.sleep(5)
    (name,) = engines.loading
    engines.down = {name}
    engines.restart(name)
    await trio.sleep(50)
    assert orders_of(fleet)[name].is_open() and not any(engines.models.values())
    await trio.sleep(40)
    assert orders_of(fleet)[name].state == "refused"
    assert sum(bool(models) for models in engines.models.values()) == 1


async def test_leaving_engine_is_replaced_and_every_node_knows(autojump_clock, nursery):
    """Guards against orders to an engine whose host the platform lists as leaving, and against
    counting it as a replica."""
    listings = [HostList(version=1, hosts=[])]

    async def read_hosts():
        return listings[-1]

    fleet, engines = await start(nursery, min_warm=3, loads=4, read_hosts=read_hosts)
    await trio.sleep(20)
    assert sorted(name for name, _, _ in engines.effects) == ["llm-1", "llm-2", "llm-3"]
    listings.append(HostList(version=2, hosts=[PlatformHost(host="gpu-2", state="leaving")]))
    await trio.sleep(4)
    assert all(node.view.is_leaving_host("gpu-2") for node in fleet.nodes.values())
    await trio.sleep(30)
    assert [name for name, _, _ in engines.effects[3:]] == ["llm-4"]
