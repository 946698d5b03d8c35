"""Requests whose stages have to be run again."""

from marigoldtrail.relay.tests.helpers import Bed, answer, replying, request
from marigoldtrail.routing import RouteKind, StageSpec

GONE = answer("", status="409 Conflict", headers="x-not-executed: 1\r\n")


class Schedulers:
    """Schedulers of stages, another one for each run, that note what they are told."""

    def __init__(self):
        self.told = []

    async def run(self, work):
        host = f"c{len(self.told)}"
        self.told.append(("run", host))
        work.askers.add(host)
        work.handles = (f"{host}/h",)

    def note_end(self, work):
        self.told.append(("end", *sorted(work.askers)))


async def test_end_of_a_run_is_not_told_while_the_stages_are_run_again(autojump_clock, nursery):
    """Guards against a request that fails since the end of its first run drops its second one."""
    bed = Bed(nursery, RouteKind.UNSAFE, stages=(StageSpec(service="p", result_bytes=1),))
    schedulers = bed.dispatcher._pieces = Schedulers()
    seen = []
    await bed.start(replying(GONE, answer("ok"), seen=seen))
    data = await bed.ask(request(method="POST", body=b"b", headers=("X-Pieces: 1",)))
    assert data.startswith(b"HTTP/1.1 200 "), data
    assert [b"c0/h" in seen[0], b"c1/h" in seen[1]] == [True, True]
    assert schedulers.told == [("run", "c0"), ("run", "c1"), ("end", "c0", "c1")]
