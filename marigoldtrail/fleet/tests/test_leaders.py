"""Search for the leader of a group of which a member is out because of its disk."""

import pytest
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.fleet.leaders import LeaderFinder
from marigoldtrail.net import Address
from marigoldtrail.schema.generated.registry import RecordStreams, StreamsRecorded
from marigoldtrail.timers import Timers

HOSTS = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"]


class Members:
    """Members of a group; each answers with a reply or a reason for a failure."""

    def __init__(self, *answers):
        self.asked = []
        self.change(*answers)

    def address_of(self, host):
        return Address.parse(host)

    async def call(self, address, request, reply_type, *, timeout_s):
        await trio.sleep(0.001)
        self.asked.append(str(address))
        answer = self.answers[str(address)]
        if not isinstance(answer, Reason):
            return answer
        hint = next((h for h, a in self.answers.items() if a == StreamsRecorded()), "")
        return Failure(reason=answer, run_state=RunState.NOT_RUN, step="call", hint=hint)

    def change(self, *answers):
        self.answers = dict(zip(HOSTS, answers, strict=True))

    def make_finder(self):
        timers = Timers(seed=1)
        members = {"config": list(HOSTS)}
        return LeaderFinder(peers=self, addresses=self, timers=timers, members=members)


async def call(finder):
    return await finder.call("config", RecordStreams(streams=[]), StreamsRecorded, timeout_s=2.0)


@pytest.mark.parametrize("reason", [Reason.DISK_ERROR, Reason.DISK_FULL, Reason.CORRUPT])
async def test_leader_is_found_beside_a_member_whose_disk_failed(autojump_clock, reason):
    """Guards against calls that fail for as long as the disk of one member does."""
    members = Members(reason, Reason.NOT_LEADER, StreamsRecorded())
    assert await call(members.make_finder()) == StreamsRecorded()


async def test_former_leader_whose_disk_failed_is_left(autojump_clock):
    """Guards against a host that is asked for ever because it led the group once."""
    members = Members(StreamsRecorded(), Reason.NOT_LEADER, Reason.NOT_LEADER)
    finder = members.make_finder()
    assert await call(finder) == StreamsRecorded()
    members.change(Reason.DISK_ERROR, StreamsRecorded(), Reason.NOT_LEADER)
    assert await call(finder) == StreamsRecorded()
    members.asked.clear()
    assert await call(finder) == StreamsRecorded()
    assert members.asked == [HOSTS[1]]


async def test_full_disk_of_the_leader_is_told_after_each_member_was_asked_once(autojump_clock):
    """Guards against callers that wait, and members that are asked again and again, in vain."""
    members = Members(Reason.DISK_FULL, Reason.NOT_LEADER, Reason.NOT_LEADER)
    reply = await call(members.make_finder())
    assert isinstance(reply, Failure) and reply.reason is Reason.DISK_FULL
    assert len(members.asked) == 3
