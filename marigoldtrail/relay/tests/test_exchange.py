"""Ranks and time limits of a request."""

from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.tests.helpers import make_route
from marigoldtrail.relay.types import RequestInfo
from marigoldtrail.routing import ClientAccount, RouteKind, Service


def make_exchange(route_priority, *, account=None, waited_s=0.0, resumed_id=""):
    return Exchange(
        conn=None,
        request=None,
        info=RequestInfo(request_id="id", resumed_id=resumed_id),
        route=make_route(RouteKind.STREAMING, priority=route_priority, target_latency_s=2.0),
        service=Service(name="s", max_connections=9),
        account=account,
        removes_key=False,
        started=100.0,
        waited_s=waited_s,
        deadline=110.0,
    )


def test_first_two_route_ranks_share_a_backlog_rank():
    """Guards against a route that loses most of a burst to a route one rank higher."""
    ranks = [make_exchange(priority).backlog_rank for priority in range(3)]
    assert ranks[0] == ranks[1] < ranks[2]
    account = ClientAccount(name="a", keys=(), priority=1)
    others = [make_exchange(priority, account=account).backlog_rank for priority in range(3)]
    assert others[0] == others[1] < others[2]
    # An account with a higher rank takes precedence on all routes.
    first = ClientAccount(name="b", keys=(), priority=0)
    assert make_exchange(2, account=first).backlog_rank < others[0]


def test_target_latency_counts_from_first_attempt_of_caller():
    """Guards against retrying callers that delay requests which could still be on time."""
    assert make_exchange(0).due_at == 102.0
    assert make_exchange(0, waited_s=3.5).due_at == 98.5


def test_resumed_stream_waits_like_a_new_one():
    """Guards against resumed streams that are refused as late while new streams begin."""
    assert make_exchange(0, waited_s=3.5, resumed_id="first").due_at == 102.0


def test_started_stream_is_limited_by_its_deadline_only():
    """Guards against a resumed stream without enough time to run its stages again."""
    exchange = make_exchange(0)
    assert exchange.start_deadline < exchange.deadline
    exchange.record_first_event(101.0)
    assert exchange.start_deadline == exchange.scope.deadline == exchange.deadline


def test_stream_is_limited_by_its_deadline_while_an_upstream_may_run_it():
    """Guards against a stream that ends at its upstream because of the target of its route."""
    exchange = make_exchange(0)
    limit = exchange.start_deadline
    exchange.may_have_run = True
    assert exchange.start_deadline == exchange.scope.deadline == exchange.deadline
    # It was refused: a stream that nobody runs is not kept for a caller that is about to leave.
    exchange.may_have_run = False
    assert exchange.start_deadline == exchange.scope.deadline == limit < exchange.deadline
