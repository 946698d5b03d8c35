"""Let single calls of one host's disk fail in a group of three, in simulated time."""

import functools

import pytest
import trio

from marigoldtrail.consensus import applying, log, replication, store
from marigoldtrail.consensus.tests.cluster import Cluster
from marigoldtrail.consensus.tests.simulation import CheckedRegister, Oracle
from marigoldtrail.errors import is_failure
from marigoldtrail.storage import open_journal
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.testing.faulty_files import INPUT_OUTPUT, KINDS, FaultyDisk
from marigoldtrail.timers import Timers

SEED = 1
FAULTY = "a"
# A moment: the calls of a few operations, and of the first attempts to open the files again.
FAIL_COUNT = 12
# Of the calls of a run, so many are let fail in CI, evenly spread.
RUNS = 6


class GroupRun:
    """A group of three, one host of which has a disk with a fault."""

    def __init__(self, nursery):
        self.oracle = Oracle()
        self.cluster = Cluster(
            nursery,
            seed=SEED,
            make_machine=lambda host: CheckedRegister(host, self.oracle),
            make_telemetry=self.make_telemetry,
            make_disk=functools.partial(FaultyDisk, operation_s=0.001),
        )
        self.files = self.cluster.disks[FAULTY].files
        self.numbers = iter(range(10**9))
        self.storage_ids = {}
        self.restored = 0

    def make_telemetry(self, host):
        telemetry = Telemetry(host=host, timers=Timers(seed=1))
        telemetry.decisions.subscribe(self.oracle.on_decision)
        return telemetry

    async def propose(self, count):
        """Propose commands at every host that leads, each once."""
        for _ in range(count):
            command = b"%d" % next(self.numbers)
            for name in self.cluster.names:
                if self.cluster.group(name).is_leader:
                    result = await self.cluster.group(name).propose(command, timeout_s=2)
                    self.oracle.on_result(command, result)
                    break
            await trio.sleep(0.02)

    async def run(self):
        """Start, elect, append, transfer, fall behind, receive a snapshot, lose power."""
        cluster = self.cluster
        await self.start()
        await self.propose(10)
        await self.lead(FAULTY)
        await self.propose(10)
        await self.lead("b")
        await self.propose(3)
        cluster.isolate(FAULTY)
        await self.propose(25)
        cluster.heal()
        await self.propose(5)
        await cluster.propose(b"last")
        await cluster.wait_until(
            lambda: all(b"last" in m.effects for m in cluster.machines.values())
        )
        self.files.fail_at = None
        self.restored = cluster.machines[FAULTY].restored
        await self.lose_power()

    async def start(self):
        """Start all hosts; one whose disk refuses the first calls is waited for."""
        for name in self.cluster.names:
            await self.cluster.start(name)
        with trio.fail_after(30):
            async for _ in self.cluster.subscribe_ticks(0.1):
                if not is_failure(await self.cluster.init()):
                    break
        await self.cluster.wait_for_leader()
        await self.cluster.wait_until(lambda: self.cluster.group(FAULTY)._state.is_open)
        self.storage_ids = dict(self.cluster.storage_ids)

    async def lead(self, name):
        """Let a host lead if it can; its disk may be the one that fails."""
        for _ in range(3):
            leader = await self.cluster.wait_for_leader()
            if leader == name:
                return
            await self.cluster.group(leader).transfer_leadership(timeout_s=1)
            await trio.sleep(0.2)

    async def lose_power(self):
        """All hosts lose power; what was acknowledged is there afterwards, on the same disks."""
        for name in self.cluster.names:
            await self.cluster.crash(name)
        for name in self.cluster.names:
            await self.cluster.start(name)
        await self.cluster.propose(b"after")
        machines = self.cluster.machines
        await self.cluster.wait_until(
            lambda: all(b"after" in machine.effects for machine in machines.values())
        )
        self.oracle.check_end(machines)
        assert self.cluster.storage_ids == self.storage_ids, "a host has discarded its vote"
        self.oracle.raise_violation()


async def run_group(fail_at=None, kind=INPUT_OUTPUT, fail_count=FAIL_COUNT):
    """Run a group with one fault at most; return the run."""
    async with trio.open_nursery() as nursery:
        run = GroupRun(nursery)
        run.files.fail_at, run.files.fail_kind = fail_at, kind
        run.files.fail_count = fail_count
        await run.run()
        nursery.cancel_scope.cancel()
    return run


@pytest.fixture(autouse=True)
def limits(monkeypatch):
    """Let a short run write snapshots, roll segments and send a snapshot."""
    monkeypatch.setattr(applying, "SNAPSHOT_ENTRIES", 8)
    monkeypatch.setattr(log, "RETAINED_ENTRIES", 4)
    monkeypatch.setattr(replication, "CHUNK_BYTES", 300)
    monkeypatch.setattr(store, "open_journal", functools.partial(open_journal, segment_bytes=200))


@pytest.mark.parametrize("kind", KINDS)
async def test_group_keeps_its_promises_when_calls_of_one_disk_fail(autojump_clock, kind):
    """Guards against lost commands, two leaders of a term, and a host that stays out."""
    without_fault = await run_group()
    assert without_fault.restored, "the host received no snapshot"
    indexes = without_fault.files.list_indexes(kind, fail_count=FAIL_COUNT)
    for index in indexes[:: max(1, len(indexes) // RUNS)]:
        await run_group(index, kind)
