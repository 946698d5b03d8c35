"""Signs of life from upstreams."""

import trio

from marigoldtrail.reachability import UpstreamContact
from marigoldtrail.timers import Timers


async def test_silence_is_counted_only_while_requests_wait(autojump_clock):
    """Guards against a host without requests that takes itself for cut off."""
    contact = UpstreamContact(timers=Timers(seed=1))
    await trio.sleep(5)
    assert contact.silence_s == 0.0
    contact.start_request()
    await trio.sleep(2)
    assert contact.silence_s == 2.0
    contact.note_bytes()
    assert contact.silence_s == 0.0
    await trio.sleep(1)
    contact.start_request()
    contact.finish_request()
    assert contact.silence_s == 1.0
    contact.finish_request()
    assert contact.silence_s == 0.0


async def test_one_connection_clears_the_failed_ones(autojump_clock):
    """Guards against upstreams that crash one after the other and are taken for a cut."""
    contact = UpstreamContact(timers=Timers(seed=1))
    contact.note_connect_failed("a")
    contact.note_connect_failed("b")
    assert set(contact.unreached) == {"a", "b"}
    contact.note_connected()
    assert not contact.unreached
