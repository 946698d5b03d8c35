"""Ranks and times of one request."""

from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.tests.helpers import make_route
from marigoldtrail.relay.types import RequestFacts
from marigoldtrail.routing import ClientAccount, RouteKind, Service


def make_exchange(route_priority, *, account=None, waited_s=0.0):
    return Exchange(
        conn=None,
        request=None,
        facts=RequestFacts(request_id="id"),
        route=make_route(RouteKind.STREAMING, priority=route_priority, target_latency_s=2.0),
        service=Service(name="s", max_connections=9),
        account=account,
        hides_key=False,
        started=100.0,
        waited_s=waited_s,
        deadline=110.0,
    )


def test_first_two_ranks_wait_for_each_other():
    """Guards against a route that is refused most of a burst for one that differs by one rank."""
    ranks = [make_exchange(priority).backlog_rank for priority in range(3)]
    assert ranks[0] == ranks[1] < ranks[2]
    account = ClientAccount(name="a", keys=(), priority=1)
    others = [make_exchange(priority, account=account).backlog_rank for priority in range(3)]
    assert others[0] == others[1] < others[2]
    # An account that comes first does so on all routes.
    first = ClientAccount(name="b", keys=(), priority=0)
    assert make_exchange(2, account=first).backlog_rank < others[0]


def test_answer_to_a_returning_caller_is_due_from_its_first_request():
    """Guards against callers that are refused once and then take the time of those on time."""
    assert make_exchange(0).due_at == 102.0
    assert make_exchange(0, waited_s=3.5).due_at == 98.5


def test_stream_that_has_begun_has_time_for_its_stages_until_its_deadline():
    """Guards against a resumed stream that can't have its stages run again for want of time."""
    exchange = make_exchange(0)
    assert exchange.begin_by < exchange.deadline
    exchange.note_first_event(101.0)
    assert exchange.begin_by == exchange.scope.deadline == exchange.deadline
