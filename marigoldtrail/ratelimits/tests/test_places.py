"""Places at brittle upstreams, at the leader and on hosts."""

import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.ratelimits import LimitBook, PlaceClient, PlaceLedger, compute_share
from marigoldtrail.ratelimits.places import CAUTION_S, MAX_HOLD_S
from marigoldtrail.schema.generated.registry import PlaceReply
from marigoldtrail.timers import Timers


def take(ledger, now, *, host="h", slots=3, max_rejections=2.0):
    return ledger.take("u", host, now, slots=slots, max_rejections=max_rejections)


def test_places_are_as_many_as_the_slots():
    """Guards against requests beyond the room of a brittle upstream."""
    ledger = PlaceLedger()
    places = [take(ledger, 0.0) for _ in range(4)]
    assert all(places[:3]) and not places[3]
    ledger.release("u", places[0], 0.1, was_rejected=False)
    assert take(ledger, 0.1)


def test_rejections_take_places_away_for_some_time():
    """Guards against an upstream with fewer places than slots that rejects until it crashes."""
    ledger = PlaceLedger()
    first, second, third = (take(ledger, 0.0) for _ in range(3))
    ledger.release("u", first, 0.1, was_rejected=True)
    assert not take(ledger, 0.2)
    ledger.release("u", second, 0.2, was_rejected=True)
    ledger.release("u", third, 0.3, was_rejected=False)
    # One more rejection within a second would crash it.
    assert not take(ledger, 0.9)
    assert take(ledger, 1.3) and not take(ledger, 1.3)
    assert take(ledger, 0.3 + CAUTION_S)


def test_places_of_lost_hosts_and_forgotten_places_become_free():
    """Guards against places that stay taken by requests which are long gone."""
    ledger = PlaceLedger()
    assert take(ledger, 0.0, host="lost", slots=1)
    assert not take(ledger, 1.0, slots=1)
    ledger.release_host("lost")
    assert take(ledger, 1.0, slots=1)
    assert not take(ledger, MAX_HOLD_S, slots=1)
    assert take(ledger, 1.0 + MAX_HOLD_S, slots=1)


def test_shares_of_entries_add_up_to_the_slots():
    """Guards against entries that together send more than an upstream takes."""
    for entries in (1, 3, 8, 191):
        for slots in (1, 4, 64):
            shares = [compute_share(slots, rank / entries, entries) for rank in range(entries)]
            assert sum(shares) == slots and max(shares) - min(shares) <= 1


class Host:
    """A host whose leader answers after a time, or not at all."""

    def __init__(self, nursery, *, is_brittle=True):
        timers = Timers(seed=1)
        book = LimitBook()
        if is_brittle:
            book.record_answer("s", 0, 2.0, sent_at=0.0, now=trio.current_time())
        self.replies = [1]
        self.delay_s = 0.01
        self.asked = 0
        self.released = []
        self.client = PlaceClient(
            host="h", book=book, take_place=self.take_place, release_place=self.released.append,
            get_share=lambda upstream: 1, timers=timers, nursery=nursery,
        )  # fmt: skip

    async def take_place(self, request):
        self.asked += 1
        await trio.sleep(self.delay_s)
        if not self.replies:
            return Failure(reason=Reason.TIMEOUT, run_state=RunState.NOT_RUN, step="TakePlace")
        return PlaceReply(place=self.replies[0])


async def test_upstreams_of_sound_services_need_no_place(autojump_clock, nursery):
    """Guards against a call to the leader for each request."""
    host = Host(nursery, is_brittle=False)
    place = await host.client.take("u", "s", 0.0)
    host.client.release(place)
    assert not place.is_needed and not host.asked and not host.released


async def test_place_of_a_caller_that_has_left_is_given_back(autojump_clock, nursery):
    """Guards against places that are granted to nobody."""
    host = Host(nursery)
    host.delay_s = 0.2
    started = trio.current_time()
    with trio.move_on_after(0.1):
        await host.client.take("u", "s", 1.0)
    assert trio.current_time() - started < 0.15
    await trio.sleep(0.15)
    assert [release.place for release in host.released] == [1]


async def test_host_without_a_leader_keeps_to_its_share(autojump_clock, nursery):
    """Guards against entries that all fill the same upstream while no leader answers."""
    host = Host(nursery)
    host.replies = []
    place = await host.client.take("u", "s", 0.0)
    assert place.number == 0 and place.is_needed
    assert await host.client.take("u", "s", 0.0) is None
    host.client.release(place)
    assert await host.client.take("u", "s", 0.0) is not None


async def test_request_waits_for_a_place_while_it_can_be_on_time(autojump_clock, nursery):
    """Guards against refusals while a place becomes free in time, and waits without end."""
    host = Host(nursery)
    host.replies = [0]
    started = trio.current_time()
    assert await host.client.take("u", "s", 0.5) is None
    assert 0.5 <= trio.current_time() - started < 0.6
