"""Test groups whose hosts are replaced by others, one after the other and two at a time."""

import pytest
import trio

from marigoldtrail.consensus import election
from marigoldtrail.consensus.state import PRE_VOTE, VOTE
from marigoldtrail.consensus.tests.cluster import Cluster
from marigoldtrail.consensus.tests.replacements import (
    RECOVER_S,
    UNREACHABLE_REMOVAL_S,
    ReplacedCluster,
    play_replacements,
)
from marigoldtrail.consensus.tests.test_joining import voters
from marigoldtrail.schema.generated.consensus import RequestVote


async def start_cluster(nursery, *, size, tolerated=1):
    cluster = ReplacedCluster(nursery, size=size, seed=1, tolerated=tolerated)
    await cluster.start_all()
    await cluster.wait_until(lambda: cluster.list_voters() == sorted(cluster.group_sets))
    return cluster


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("size, at_once, rounds", [(3, 1, 8), (5, 1, 8), (9, 2, 5)])
async def test_hosts_are_replaced_in_series(autojump_clock, size, at_once, rounds, seed):
    """Guards against a majority that is lost for ever, and against voters that stay listed."""
    assert await play_replacements(seed, size=size, at_once=at_once, rounds=rounds)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("size, at_once, rounds", [(3, 1, 6), (5, 1, 6), (9, 2, 4)])
async def test_hosts_are_replaced_beside_others_that_come_back(
    autojump_clock, size, at_once, rounds, seed
):
    """Guards against hosts that are cut off, restarted or wiped, and then replaced or kept out."""
    assert await play_replacements(
        seed, size=size, at_once=at_once, rounds=rounds, is_disturbed=True
    )


async def test_voters_that_are_lost_together_leave_the_list(autojump_clock, nursery):
    """Guards against lost voters that keep each other on the list."""
    cluster = Cluster(nursery, size=5)
    leader = await cluster.start_all()
    for name in cluster.names:
        cluster.group(name)._state.unreachable_removal_s = UNREACHABLE_REMOVAL_S
    lost = [name for name in cluster.names if name != leader][:2]
    for name in lost:
        await cluster.crash(name)
    await cluster.wait_until(lambda: not set(lost) & set(voters(cluster, leader)))
    assert await cluster.propose(b"x")


async def test_list_keeps_what_a_majority_needs_after_the_tolerated_losses(autojump_clock, nursery):
    """Guards against a list so short that the tolerated losses take acknowledged entries along."""
    cluster = await start_cluster(nursery, size=7, tolerated=2)
    for _ in range(3):
        leader = await cluster.wait_for_leader()
        await cluster.lose(next(name for name in cluster.group_sets if name != leader))
    await trio.sleep(RECOVER_S)
    assert len(cluster.list_voters()) == 5


async def test_stopping_host_has_left_the_list_when_its_process_ends(autojump_clock, nursery):
    """Guards against a host whose stop leaves three others without a voter to spare."""
    cluster = await start_cluster(nursery, size=3)
    await cluster.start_successor()
    await cluster.wait_until(lambda: len(cluster.list_voters()) == 4)
    await cluster.stop(await cluster.wait_for_leader())
    assert len(voters(cluster, await cluster.wait_for_leader())) == 3
    await cluster.lose(await cluster.wait_for_leader())
    assert await cluster.propose(b"x", timeout_s=RECOVER_S)


async def test_stopping_host_stays_listed_while_it_is_needed(autojump_clock, nursery):
    """Guards against a group of three that shrinks whenever a host starts again."""
    cluster = await start_cluster(nursery, size=3)
    name = next(name for name in cluster.names if not cluster.group(name).is_leader)
    cluster.stopping.add(name)
    began = trio.current_time()
    assert not await cluster.group(name).wait_for_release(timeout_s=RECOVER_S)
    assert trio.current_time() == began
    await trio.sleep(RECOVER_S)
    assert len(cluster.list_voters()) == 3


@pytest.mark.parametrize("was_leader", [False, True])
async def test_removed_host_returns_with_its_disk(autojump_clock, nursery, was_leader):
    """Guards against a host that was only cut off, and deposes the leader or stays outside."""
    cluster = await start_cluster(nursery, size=5)
    leader = await cluster.wait_for_leader()
    cut = leader if was_leader else next(n for n in cluster.names if n != leader)
    cluster.isolate(cut)
    others = [name for name in cluster.names if name != cut]
    leader = await cluster.wait_for_leader(among=others)
    await cluster.wait_until(lambda: cut not in voters(cluster, leader))
    await cluster.propose(b"x")
    term = cluster.group(leader).term
    cluster.heal()
    await cluster.wait_until(lambda: cut in voters(cluster, leader))
    assert cluster.group(leader).term == term and cluster.group(leader).is_leader
    await cluster.wait_until(lambda: b"x" in cluster.machines[cut].effects)


async def test_host_that_left_is_not_called_for_ever(autojump_clock, nursery):
    """Guards against calls to every host that was ever replaced."""
    cluster = await start_cluster(nursery, size=5)
    leader = await cluster.wait_for_leader()
    lost = next(name for name in cluster.names if name != leader)
    await cluster.lose(lost)
    state = cluster.group(leader)._state
    await cluster.wait_until(lambda: lost not in state.peers and lost not in state.hosts)
    assert cluster.group(leader).missing_voter_count == 0
    assert cluster.group(leader).voter_count == 4


def make_pre_vote(state, *, candidate_id):
    return RequestVote(
        group=state.name,
        term=state.term + 1,
        candidate="z",
        candidate_id=candidate_id,
        target_id=state.storage_id,
        last_index=state.log.last_index,
        last_term=state.log.last_term,
        pre_vote=True,
        transfer=False,
    )


async def test_pre_votes_at_the_same_time_do_not_split_the_votes(autojump_clock, nursery):
    """Guards against two remaining hosts of three that need seconds to elect one of them."""
    cluster = await start_cluster(nursery, size=3)
    name = next(name for name in cluster.names if not cluster.group(name).is_leader)
    state = cluster.group(name)._state
    state.leader_contact_at = float("-inf")

    async def is_granted(candidate_id):
        req = make_pre_vote(state, candidate_id=candidate_id)
        return (await election.handle_vote(state, req)).granted

    lower, higher = "", "~"
    assert await is_granted(lower) and await is_granted(higher)
    state.campaign_step = PRE_VOTE
    assert not await is_granted(lower) and await is_granted(higher)
    state.campaign_step = VOTE
    assert not await is_granted(lower) and not await is_granted(higher)
