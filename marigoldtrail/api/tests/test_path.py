"""Tests of requests from the HTTP API through the real server and client to a stand-in."""

import json
import random
from functools import partial

import msgspec
import trio

from marigoldtrail.api import ApiContext, build_app
from marigoldtrail.api.tests.helpers import Rig, check_problem
from marigoldtrail.net import Address
from marigoldtrail.schema.generated.manifest import Manifest
from marigoldtrail.schema.generated.settings import Settings
from marigoldtrail.serving import Server
from marigoldtrail.serving.tests.fakes import FakeControl, FakeSlots, FakeView
from marigoldtrail.standins import EffectService, Engine, Process, generate_text, run_standin
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.testing import MemoryNetwork
from marigoldtrail.timers import Timers
from marigoldtrail.upstream import UpstreamClient, build_prompt

KEY = [(b"idempotency-key", b"k1")]
DEPOSIT = b'{"input": {"amount": 7}}'


class PathRig(Rig):
    """The application on a real `Server` and `UpstreamClient` that call stand-ins."""

    def __init__(self):
        super().__init__()
        self.timers = Timers(seed=1)
        self.memory = MemoryNetwork(seed=1)
        process = Process(name="ledger-1", timers=self.timers, capacity=8)
        self.ledger = EffectService(process=process, timers=self.timers, work_s=0.1)
        process = Process(name="engine-1", timers=self.timers, capacity=8)
        self.engine = Engine(process=process, timers=self.timers)
        document = {
            "number": 1,
            "pipelines": [
                {
                    "name": "deposit",
                    "stages": [
                        {
                            "name": "deposit",
                            "kind": "service",
                            "pool": "ledger",
                            "path": "/deposits",
                            "idempotent": False,
                        }
                    ],
                },
                {
                    "name": "brief",
                    "stages": [{"name": "generate", "kind": "generate", "pool": "engine"}],
                },
            ],
            "upstreams": [
                self.describe(self.ledger, "service", 9001),
                self.describe(self.engine, "engine", 9002),
            ],
        }
        self.view = FakeView(msgspec.convert(document, Manifest))
        for standin in (self.ledger, self.engine):
            self.view.set_state(standin.process.name, "warm", standin.process.instance)
        control = FakeControl()
        control.record_groups = ["records-0"]
        telemetry = Telemetry(host="a", timers=self.timers)
        self.server = Server(
            cfg=Settings(
                host="entry-0",
                data_centre="dc1",
                roles=["entry"],
                peer_address="127.0.0.1:1",
                control_hosts=[],
            ),
            view=self.view,
            control=control,
            slots=FakeSlots(),
            upstreams=UpstreamClient(
                network=self.memory.endpoint("10.0.0.1"),
                timers=self.timers,
                view=self.view,
                telemetry=telemetry,
                on_evidence=lambda *evidence: None,
            ),
            timers=self.timers,
            telemetry=telemetry,
            rng=random.Random(1),
        )
        self.app = build_app(
            ApiContext(
                server=self.server,
                view=self.view,
                control=control,
                telemetry=telemetry,
                timers=self.timers,
                host="entry-0",
                data_centre="dc1",
            )
        )

    @staticmethod
    def describe(standin, kind, port):
        name = standin.process.name
        return {
            "name": name,
            "pool": name[:-2],
            "kind": kind,
            "address": f"10.0.0.9:{port}",
            "data_centre": "dc1",
            "host": name,
            "capacity": 8,
        }

    async def start(self, nursery):
        endpoint = self.memory.endpoint("10.0.0.9")
        for standin, port in ((self.ledger, 9001), (self.engine, 9002)):
            address = Address("10.0.0.9", port)
            await nursery.start(partial(run_standin, standin, network=endpoint, address=address))
        await nursery.start(self.server.run)
        return self

    async def deposit(self, **options):
        return await self.submit(DEPOSIT, name="deposit", headers=KEY, **options)


async def test_repeated_deposit_gets_the_recorded_answer(autojump_clock, nursery):
    """Guards against executing a repeated request a second time."""
    rig = await PathRig().start(nursery)
    answers = [json.loads((await rig.deposit())[2]) for _ in range(2)]
    assert answers[0]["output"] == answers[1]["output"] == {"receipt": "ledger-1-1"}
    assert set(rig.ledger.runs_by_attempt.values()) == {1} and len(rig.ledger.runs_by_attempt) == 1


async def test_lost_answer_may_have_run_and_is_never_sent_again(autojump_clock, nursery):
    """Guards against running a deposit twice, and against a false `not_run`."""
    rig = await PathRig().start(nursery)
    rig.ledger.fault_switches.lose_answers = 1
    for _ in range(2):
        response = await rig.deposit()
        problem = json.loads(response[2])
        check_problem(response, response[0], reason=problem["reason"], run_state="may_have_run")
    assert sum(rig.ledger.effects_by_key.values()) == 1


async def test_deposit_of_a_caller_that_is_gone_runs_once(autojump_clock, nursery):
    """Guards against cancelling a call when its caller disconnects and then sending it again."""
    rig = await PathRig().start(nursery)
    for disconnect_after in (0.001, 0.01, 0.05, 0.09):
        await rig.deposit(disconnect_after=disconnect_after)
    await trio.sleep(1)
    status, _, body = await rig.deposit()
    await trio.sleep(1)
    assert sum(rig.ledger.effects_by_key.values()) <= 1
    assert len(rig.ledger.runs_by_attempt) <= 1
    if status == 200:
        assert json.loads(body)["output"] == {"receipt": "ledger-1-1"}
    else:
        assert json.loads(body)["run_state"] == "may_have_run"


async def test_streamed_generation_survives_a_break(autojump_clock, nursery):
    """Guards against repeated or missing tokens after the engine breaks off a stream."""
    rig = await PathRig().start(nursery)
    rig.engine.fault_switches.break_after_tokens = 7
    status, _, body = await rig.submit(b'{"input": "x", "stream": true}', name="brief")
    events = [event.split("\n") for event in body.decode().split("\n\n")[:-1]]
    text = "".join(json.loads(data[6:])["text"] for name, data in events if name.endswith("token"))
    assert status == 200 and events[-1][0] == "event: end"
    prompt = build_prompt({"input": "x", "stages": {}})
    assert text == generate_text(prompt, "", 512) and len(rig.engine.runs) > 1


async def test_stream_of_a_caller_that_is_gone_ends_at_the_engine(autojump_clock, nursery):
    """Guards against an engine that keeps generating after the caller disconnected."""
    rig = await PathRig().start(nursery)
    body = b'{"input": "x", "stream": true}'
    await rig.submit(body, name="brief", disconnect_after=0.05)
    await trio.sleep(0.01)
    assert len(rig.engine.runs) == 1 and rig.engine.process.running == 0
