"""Loads of generations on engines of unequal speed: times to the first event, and tokens read."""

import random
from collections import OrderedDict

import pytest
import trio

from marigoldtrail.pieces.tests.test_engines import engine, make_placer
from marigoldtrail.routing import EngineSpec
from marigoldtrail.schema.generated.pieces import NoteProgress, PromptPart, RunStages
from marigoldtrail.serving.tests.fakes import make_schedule_deterministic

TOKENS_PER_S = 48_200
SHARED_TOKENS = 13_300
OWN_TOKENS = 3_700
TARGET_S = 0.9


class FakeEngine:
    """Reads one prompt after another, and evicts the least recently used parts."""

    def __init__(self, speed, memory_tokens):
        self.speed = speed
        self.room = memory_tokens // SHARED_TOKENS
        self.busy_until = 0.0
        self.cached = OrderedDict()
        self.reads = 0

    async def run(self, part):
        read = OWN_TOKENS
        if part not in self.cached:
            read += SHARED_TOKENS
            self.reads += 1
        self.cached[part] = None
        self.cached.move_to_end(part)
        while len(self.cached) > self.room:
            self.cached.popitem(last=False)
        started = max(trio.current_time(), self.busy_until)
        self.busy_until = started + read / TOKENS_PER_S / self.speed
        await trio.sleep_until(self.busy_until + 0.05 / self.speed)


class EngineLoad:
    """Requests for engines that a placer chooses."""

    def __init__(self, speeds, *, memory_tokens=488_760, seed=1):
        make_schedule_deterministic(seed)
        self.rng = random.Random(seed)
        self.engines = {f"e{n}": FakeEngine(speed, memory_tokens) for n, speed in enumerate(speeds)}
        spec = EngineSpec(slots=64, kv_cache_tokens=memory_tokens)
        self.placer = make_placer(*[engine(name, slots=64) for name in self.engines], spec=spec)
        self.times = []
        self.names = []

    async def _ask(self, number, part):
        parts = [
            PromptPart(part=part, tokens=SHARED_TOKENS),
            PromptPart(part=f"own-{number}", tokens=OWN_TOKENS),
        ]
        request = RunStages(
            request_id=f"r{number}",
            stages=[],
            left_ms=5000,
            # The entry leaves out what reading the prompt takes.
            slack_ms=round(1000 * (TARGET_S - 0.06 - (SHARED_TOKENS + OWN_TOKENS) / 50_000)),
            deadline_ms=6000,
            engine_service="llm",
            prompt=parts,
            prompt_tokens=SHARED_TOKENS + OWN_TOKENS,
            output_tokens=400,
        )
        started = trio.current_time()
        name = self.placer.place(request, {}, started + 6.0)
        await self.engines[name].run(part)
        took_s = trio.current_time() - started
        self.times.append(took_s)
        self.names.append(name)
        self.placer.record_progress(
            NoteProgress(request_id=request.request_id, first_event_ms=round(took_s * 1000))
        )
        await trio.sleep(0.5 / self.engines[name].speed)
        self.placer.record_progress(NoteProgress(request_id=request.request_id, has_ended=True))

    async def play(self, seconds, rate, *, prompts, hot_share=0.0):
        end = trio.current_time() + seconds
        number = len(self.times)
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                await trio.sleep(self.rng.expovariate(rate))
                number += 1
                is_hot = self.rng.random() < hot_share
                part = "hot" if is_hot else f"p{self.rng.randrange(prompts)}"
                nursery.start_soon(self._ask, number, part)

    def on_time_share(self):
        return sum(took_s <= TARGET_S for took_s in self.times) / len(self.times)

    def reads(self):
        return sum(engine.reads for engine in self.engines.values())


async def test_engines_of_unequal_speed_are_on_time(autojump_clock):
    """Guards against prompts that wait at slow engines while fast ones have time."""
    load = EngineLoad([0.6] * 6 + [1.0] * 6 + [1.6] * 6)
    await load.play(30, 45.0, prompts=300)
    assert load.on_time_share() > 0.95
    # The slow ones still serve a part of the load, so that their speed stays known.
    slow = sum(name in ("e0", "e1", "e2", "e3", "e4", "e5") for name in load.names)
    assert slow > 0.03 * len(load.names)


async def test_engine_that_turns_slow_loses_its_load(autojump_clock):
    """Guards against callers of the prompts of an engine that is 5 times slower for 6.5 s."""
    load = EngineLoad([1.0] * 8)
    await load.play(10, 16.0, prompts=60)
    load.engines["e0"].speed = 0.2
    load.times.clear()
    await load.play(6.5, 16.0, prompts=60)
    assert load.on_time_share() > 0.9


async def test_hot_prompt_is_read_by_as_many_engines_as_it_needs(autojump_clock):
    """Guards against a queue at the home of a hot prompt, and against copies of it everywhere."""
    load = EngineLoad([1.0] * 12)
    await load.play(20, 40.0, prompts=100, hot_share=0.28)
    assert load.on_time_share() > 0.95
    holders = sum("hot" in engine.cached for engine in load.engines.values())
    assert 1 <= holders <= 6


@pytest.mark.parametrize("prompts", [100, 220])
async def test_shared_prompts_are_read_once(autojump_clock, prompts):
    """Guards against prompts that are read again though the memory of all engines holds them."""
    load = EngineLoad([1.0] * 8)
    await load.play(60, 20.0, prompts=prompts)
    assert load.on_time_share() > 0.95
    assert load.reads() < 1.25 * prompts
