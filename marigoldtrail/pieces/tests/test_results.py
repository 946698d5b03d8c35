"""Record of results against a model of the upstreams that keep them."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine

from marigoldtrail.pieces.results import ResultStore
from marigoldtrail.pieces.worker import Worker
from marigoldtrail.routing import Upstream

RETENTION_S = 4.0
SIZES = st.integers(1, 100)


class Ledger(RuleBasedStateMachine):
    """Calls and frees of one upstream, whose answers may be lost, and time."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.count = 0
        self.store = ResultStore()
        upstream = Upstream(name="w", service="s", address="a:1", data_centre="", slots=1)
        self.worker = Worker(upstream=upstream)
        # What the upstream keeps: size and time of expiry by handle.
        self.kept = {}

    @rule(sizes=st.lists(SIZES, max_size=4), is_lost=st.booleans(), answer_s=st.floats(0, 2))
    def run_call(self, sizes, is_lost, answer_s):
        ended = self.now
        handles = [f"h{self.count + number}" for number in range(len(sizes))]
        self.count += len(sizes)
        self.kept |= {
            h: (size, ended + RETENTION_S) for h, size in zip(handles, sizes, strict=True)
        }
        # The results count from the turn of the call: the upstream gets no other one meanwhile.
        self.now += answer_s
        until = self.now + RETENTION_S
        if is_lost:
            self.store.add_unanswered(self.worker, sum(sizes), until=until)
            return
        for handle, size in zip(handles, sizes, strict=True):
            self.store.add(self.worker, handle, size, until=until)

    @rule(data=st.data())
    def mark_unneeded(self, data):
        known = sorted(self.store._kept)
        if known:
            self.store.mark_unneeded(data.draw(st.lists(st.sampled_from(known))))

    @rule(arrives=st.booleans(), is_confirmed=st.booleans())
    def free(self, arrives, is_confirmed):
        handles = self.store.take_unneeded(self.worker)
        if arrives:
            for handle in handles:
                self.kept.pop(handle, None)
        if arrives and is_confirmed:
            self.store.drop(handles)
        else:
            self.store.mark_unneeded(handles)

    @rule(seconds=st.floats(0, 3))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def counts_no_less_than_is_taken(self):
        self.store.expire(self.now)
        self.kept = {h: (size, until) for h, (size, until) in self.kept.items() if until > self.now}
        assert self.worker.own_bytes() >= sum(size for size, _ in self.kept.values())

    def teardown(self):
        # All room is free once everything has expired, and nothing is remembered.
        self.store.expire(self.now + 2 * RETENTION_S)
        assert self.worker.own_bytes() == 0 and not len(self.store) and not self.worker.unneeded


SETTINGS = settings(
    max_examples=150, stateful_step_count=30, deadline=None, database=None, derandomize=True
)


def test_room_is_never_counted_below_what_is_taken():
    """Guards against results that take room at an upstream and count for nothing."""
    run_machine(Ledger, settings=SETTINGS)
