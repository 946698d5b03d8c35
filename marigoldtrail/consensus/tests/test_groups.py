"""Elections, commits, reads and failures of a log group."""

from marigoldtrail.consensus.tests.cluster import Cluster
from marigoldtrail.errors import Reason, RunState, is_failure


async def test_group_elects_commits_and_reads(autojump_clock, nursery):
    """Guards against a fleet that does not come up after `init`."""
    cluster = Cluster(nursery)
    leader = await cluster.form()
    index = await cluster.group(leader).propose(b"x", timeout_s=2)
    assert await cluster.group(leader).read_barrier(timeout_s=2) is None
    assert cluster.machines[leader].effects == {b"x": index}
    await cluster.wait(lambda: all(m.effects == {b"x": index} for m in cluster.machines.values()))
    follower = next(name for name in cluster.names if name != leader)
    refused = await cluster.group(follower).propose(b"y", timeout_s=2)
    assert refused.reason is Reason.NOT_LEADER and refused.run_state is RunState.NOT_RUN
    assert refused.hint == leader
    assert is_failure(await cluster.group(follower).read_barrier(timeout_s=2))
