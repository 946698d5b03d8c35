"""Address look-ups of callers."""

import random

from marigoldtrail.registry import FleetState
from marigoldtrail.schema.generated.registry import HostEntry
from marigoldtrail.site.lookup import MAX_ADDRESSES, TTL_S, make_entry_finder
from marigoldtrail.timers import Timers


def entry(number, *, region="r", ready=True, role="entry"):
    return HostEntry(
        host=f"h{number}",
        role=role,
        data_centre="a",
        region=region,
        request_address=f"10.0.0.{number}:80" if role == "entry" else "",
        ready=ready,
    )


def find(hosts, *, region="r", ttl_max_s=5.0):
    fleet_state = FleetState(parse_document=lambda data: "", timers=Timers(seed=1))
    fleet_state.hosts = hosts
    return make_entry_finder(fleet_state, random.Random(1), ttl_max_s=ttl_max_s)(region, "a")


def test_look_up_returns_ready_entries_of_the_region():
    """Guards against directing callers to hosts that do not serve or to other regions."""
    hosts = [entry(1), entry(2, ready=False), entry(3, region="q"), entry(4, role="control")]
    assert find(hosts).addresses == ["10.0.0.1:80"]


def test_look_up_without_an_entry_in_the_region_returns_others():
    """Guards against callers that cannot connect while their region is down."""
    assert find([entry(1, region="q")]).addresses == ["10.0.0.1:80"]
    assert find([entry(1, ready=False)]).addresses == []


def test_look_up_stays_within_the_limits_of_callers():
    """Guards against more addresses or a longer time to live than callers accept."""
    found = find([entry(number) for number in range(1, 101)], ttl_max_s=0.5)
    assert len(set(found.addresses)) == MAX_ADDRESSES
    assert found.ttl_s == 0.5 < TTL_S
