"""Request builders with defaults, and fakes of the log, the upstreams and the service."""

import random

import msgspec
import trio

from marigoldtrail.errors import Failure
from marigoldtrail.records import RecordGroup, RecordMachine, RecordService, SegmentStore
from marigoldtrail.schema.generated.records import OpenClaim, ResultRecord, SettleClaim
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.testing import MemoryDisk
from marigoldtrail.timers import Timers

GROUP = "records-0"
FOLDER = "segments/records-0"


def open_claim(attempt="a1", *, key="k", digest="d", request="00r1", stage="book", **fields):
    return OpenClaim(
        client_account="acme",
        idempotency_key=key,
        stage=stage,
        digest=digest,
        request_id=request,
        attempt_id=attempt,
        entry="e1",
        **{"upstream": "u1", "deadline_wall_ms": 11_000, **fields},
    )


def settle_claim(state, attempt="a1", *, key="k", request="00r1", stage="book", **fields):
    return SettleClaim(
        client_account="acme",
        idempotency_key=key,
        stage=stage,
        request_id=request,
        attempt_id=attempt,
        state=state,
        **fields,
    )


def make_record(number, *, account="acme", output=b"{}"):
    return ResultRecord(
        request_id=f"00{number:06x}",
        client_account=account,
        pipeline="quotes",
        request_digest=f"q{number}",
        manifest_number=1,
        stages=[],
        outcome="answered",
        result_digest=f"r{number // 2}",
        started_ms=1,
        finished_ms=2,
        entry="e1",
        data_centre="d1",
        idempotency_key=f"key{number}",
        output=output,
    )


def make_disk(seed=1):
    return MemoryDisk(rng=random.Random(seed))


def make_machine(disk, *, segment_bytes=2000):
    store = SegmentStore(disk=disk, folder=FOLDER, segment_bytes=segment_bytes)
    return RecordMachine(store=store)


class FakeLog:
    """Log of one host that applies commands at once; leadership and failures are configurable."""

    def __init__(self, machine):
        self.machine = machine
        self.index = 0
        self.is_leader = True
        self.leader = "c1"
        self.failure = None

    async def propose(self, command, *, timeout_s):
        await trio.lowlevel.checkpoint()
        if self.failure is not None:
            return self.failure
        self.index += 1
        return self.machine.apply(self.index, command)

    async def read_barrier(self, *, timeout_s):
        await trio.lowlevel.checkpoint()
        return self.failure


class Upstreams:
    """Upstreams with fixed outcomes, which record the queries of the sweeper."""

    def __init__(self):
        self.outcomes = {}
        self.queries = []

    async def query_outcome(self, upstream, path, attempt_id):
        self.queries.append((upstream, path, attempt_id))
        await trio.sleep(0.1)
        return self.outcomes[upstream]


def make_service(machine, log, *, upstreams=None, wall_clock=trio.current_time, **options):
    async def reject_fetch(host, request):
        raise AssertionError("unexpected segment fetch")

    timers = Timers(wall_clock=wall_clock, seed=1)
    return RecordService(
        **{
            "host": "c1",
            "groups": [RecordGroup(name=GROUP, log=log, machine=machine, members=["c1"])],
            "get_group_name": lambda account: GROUP,
            "query_outcome": (upstreams or Upstreams()).query_outcome,
            "fetch_chunk": reject_fetch,
            "timers": timers,
            "telemetry": Telemetry(host="c1", timers=timers),
            **options,
        }
    )


def corrupt(disk, number, offset):
    disk.flip_bit(f"{FOLDER}/{number:08d}.seg", offset)


def failure(reason, run_state):
    return Failure(reason=reason, run_state=run_state, step="test")


def replace_fields(request, **fields):
    return msgspec.structs.replace(request, **fields)
