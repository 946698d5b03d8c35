"""Requests whose stages must be run again."""

from marigoldtrail.relay.tests.helpers import RelayHarness, make_request, make_response, reply_with
from marigoldtrail.routing import RouteKind, StageSpec

GONE = make_response("", status="409 Conflict", headers="x-not-executed: 1\r\n")


class Schedulers:
    """Fake piece client with another scheduler for each run; records its calls."""

    def __init__(self):
        self.calls = []

    async def run(self, stage_run):
        host = f"c{len(self.calls)}"
        self.calls.append(("run", host))
        stage_run.schedulers_used.add(host)
        stage_run.handles = (f"{host}/h",)

    def report_end(self, stage_run):
        self.calls.append(("end", *sorted(stage_run.schedulers_used)))


async def test_schedulers_are_notified_after_the_last_run_only(autojump_clock, nursery):
    """Guards against a second run of the stages that is dropped by the end of the first run."""
    harness = RelayHarness(
        nursery, RouteKind.UNSAFE, stages=(StageSpec(service="p", result_bytes=1),)
    )
    schedulers = harness.dispatcher._pieces = Schedulers()
    seen = []
    await harness.start(reply_with(GONE, make_response("ok"), seen=seen))
    data = await harness.fetch(make_request(method="POST", body=b"b", headers=("X-Pieces: 1",)))
    assert data.startswith(b"HTTP/1.1 200 "), data
    assert [b"c0/h" in seen[0], b"c1/h" in seen[1]] == [True, True]
    assert schedulers.calls == [("run", "c0"), ("run", "c1"), ("end", "c0", "c1")]
