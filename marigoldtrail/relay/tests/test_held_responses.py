"""Memory of complete responses that wait to be sent, while others need it."""

import trio

from marigoldtrail.errors import Failure, RunState
from marigoldtrail.memory import MemoryBudget
from marigoldtrail.relay.buffering import HeldResponses, read_held_body
from marigoldtrail.relay.responses import CompleteResponse
from marigoldtrail.timers import Timers


def make_budget(total=1000):
    return MemoryBudget(total_bytes=total, timers=Timers(seed=1))


class FakeConnection:
    """A connection whose body has arrived; a hook runs before its end is read."""

    upstream = "i-0"
    announced_bytes = None

    def __init__(self, body, before_end=lambda: None):
        self.parts = [body, b""]
        self.before_end = before_end

    async def read_body_part(self):
        part = self.parts.pop(0)
        if not part:
            self.before_end()
        return part

    def make_failure(self, reason, detail):
        return Failure(reason=reason, run_state=RunState.MAY_HAVE_RUN, step="upstream")


async def test_response_of_an_attempt_that_was_left_gives_its_memory_back(autojump_clock):
    """Guards against a leak if an attempt is cancelled just after its response was complete."""
    budget, held = make_budget(), HeldResponses()
    # The result of the first attempt is lost in the cancellation; the request is sent again.
    assert await read_held_body(budget, FakeConnection(b"x" * 300), held) == b"x" * 300
    assert await read_held_body(budget, FakeConnection(b"y" * 100), held) == b"y" * 100
    held.close()
    assert budget.used_bytes == 0


async def test_response_given_up_as_its_end_is_read_is_not_held(autojump_clock):
    """Guards against a slow caller who keeps memory that others count on, and can't be given up."""
    budget, held = make_budget(), HeldResponses()

    def evict():
        (account,) = budget._accounts
        account.evict()

    conn = FakeConnection(b"x" * 300, before_end=evict)
    body = await read_held_body(budget, conn, held)
    assert isinstance(body, Failure) or held.send_scope.cancel_called
    held.close()


async def test_error_that_is_being_sent_keeps_its_memory_until_its_send_ends(autojump_clock):
    """Guards against errors with long bodies to slow callers, which no budget bounds."""
    budget, held = make_budget(), HeldResponses()
    body = await read_held_body(budget, FakeConnection(b"x" * 900), held)
    held.keep_error(CompleteResponse(status=500, headers=[], body=body))
    result = held.error
    is_ended = False

    async def send(task_status):
        nonlocal is_ended
        with held.begin_send():
            task_status.started()
            # The caller does not read.
            await trio.sleep_forever()
        assert result.body
        # As the relay does at the end of each request.
        held.close()
        is_ended = True

    async with trio.open_nursery() as nursery:
        await nursery.start(lambda task_status: send(task_status))
        with budget.open("response", "i-1") as other:
            assert await other.take(500)
            await trio.sleep(0.01)
            assert is_ended
        nursery.cancel_scope.cancel()
