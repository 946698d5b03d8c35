"""Times of one request on its way."""

from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.tests.helpers import make_route
from marigoldtrail.routing import RouteKind


def test_stream_that_has_begun_has_time_for_its_stages_until_its_deadline():
    """Guards against a resumed stream that can't have its stages run again for want of time."""
    exchange = Exchange(
        conn=None,
        request=None,
        facts=None,
        route=make_route(RouteKind.STREAMING, target_latency_s=0.5),
        service=None,
        account=None,
        hides_key=False,
        started=100.0,
        waited_s=0.0,
        deadline=115.0,
    )
    assert exchange.begin_by < 115.0
    exchange.note_first_event(101.0)
    assert exchange.begin_by == exchange.scope.deadline == 115.0
