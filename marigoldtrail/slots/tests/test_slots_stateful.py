"""Limit on calls in progress under random message losses, delays, restarts and moves."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine

from marigoldtrail.errors import Failure, Reason, RunState, is_failure
from marigoldtrail.schema.generated.control import OwnerAssignment
from marigoldtrail.schema.generated.slots import AcquireSlot, ReleaseSlots
from marigoldtrail.slots import SlotClient, SlotOwner, owner, tracker
from marigoldtrail.slots.tests.fakes import VIEW_S, FakeView, Report, make_upstream
from marigoldtrail.telemetry import Telemetry
from marigoldtrail.timers import Timers

OWNERS = ("c1", "c2", "c3")
ENTRIES = ("e1", "e2", "e3")
COLD_SLOTS = 2
FIXED = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=100,
    stateful_step_count=60,
    suppress_health_check=list(HealthCheck),
)

hosts_owning = st.sampled_from(OWNERS)
entries = st.sampled_from(ENTRIES)
delays = st.sampled_from([0.0, 0.0, 0.0, 0.01, 0.9])


def run_now(coroutine):
    """Run a coroutine that never blocks; much faster than an event loop for each step."""
    try:
        coroutine.send(None)
    except StopIteration as exc:
        return exc.value
    raise AssertionError("the coroutine waits")


class ManualTimers(Timers):
    """Timers with a clock that the test sets."""

    __slots__ = ("time",)

    def __init__(self):
        super().__init__(wall_clock=lambda: self.time, seed=1)
        self.time = 100.0

    def now(self):
        return self.time


class SlotMachine(RuleBasedStateMachine):
    """
    Entries, owners and a config leader that moves the partition by the rule of the design.

    A call in progress is a slot that an entry holds; it ends by itself when the slot expires.
    """

    def __init__(self):
        super().__init__()
        self.timers = ManualTimers()
        self.assignment = OwnerAssignment(partition=1, host="c1", epoch=1)
        self.views = {
            host: FakeView(
                clock=self.timers.now,
                upstream=make_upstream(cold_slots=COLD_SLOTS),
                hosts=OWNERS + ENTRIES,
            )
            for host in OWNERS + ENTRIES
        }
        self.owners = {}
        self.clients = {}
        self.calls = {}
        self.attempts = 0
        self.next_delays = (0.0, 0.0)
        self.lose_reply = False
        self.isolated = set()
        self.waiting = {}

    @initialize()
    def start(self):
        for host in OWNERS:
            self.restart_owner(host)
        for entry in ENTRIES:
            self.clients[entry] = SlotClient(
                host=entry,
                incarnation=1,
                view=self.views[entry],
                peers=self,
                timers=self.timers,
            )
        self.wait(13.0)

    async def call(self, address, request, reply_type, *, timeout_s, step=""):
        """Stand in for PeerClient: deliver a request with delays, or lose its reply."""
        out, back = self.next_delays
        self.timers.time += out
        host = OWNERS[int(address.ip.rsplit(".", 1)[1]) - 1]
        reply = await self.owners[host].handlers()[type(request)](request, "")
        self.timers.time += back
        if self.lose_reply:
            return Failure(reason=Reason.TIMEOUT, run_state=RunState.MAY_HAVE_RUN, step=step)
        return reply

    # Entries.

    @rule(
        entry=entries,
        out=delays,
        back=delays,
        lost=st.sampled_from([False, False, True]),
        hold=st.sampled_from([6, 11]),
    )
    def acquire(self, entry, out, back, lost, hold):
        self.next_delays, self.lose_reply = (out, back), lost
        # An attempt that got no slot repeats its request under the same id.
        attempt = self.waiting.pop(entry, None)
        if attempt is None:
            self.attempts += 1
            attempt = f"a{self.attempts}"
        slot = run_now(self.clients[entry].acquire("u1", attempt, hold))
        if is_failure(slot):
            self.waiting[entry] = attempt
        else:
            self.calls[attempt] = (entry, slot)

    @rule()
    def acquire_on_all_entries(self):
        for entry in ENTRIES * 2:
            self.acquire(entry, 0.0, 0.0, False, 11)

    @rule(entry=entries)
    def acquire_after_a_lost_reply(self, entry):
        self.acquire(entry, 0.0, 0.9, True, 11)
        self.acquire(entry, 0.0, 0.0, False, 11)

    @precondition(lambda self: self.calls)
    @rule(data=st.data(), succeeded=st.booleans())
    def finish(self, data, succeeded):
        attempt = data.draw(st.sampled_from(sorted(self.calls)))
        entry, slot = self.calls.pop(attempt)
        client = self.clients[entry]
        client.release(slot, succeeded=succeeded)

    @rule(entry=entries, lost=st.booleans())
    def flush(self, entry, lost):
        self.next_delays, self.lose_reply = (0.0, 0.0), lost
        client = self.clients[entry]
        for host in list(client._releases):
            run_now(client._flush_releases(host))

    @rule(entry=entries)
    def entry_dies(self, entry):
        # The process ends; its calls at the upstream continue until the slots expire.
        self.clients[entry]._releases.clear()

    @rule(seconds=st.sampled_from([0.5, 0.5, 2.0, 6.0, 13.0]))
    def wait(self, seconds):
        """Let time pass while hosts that are not isolated sync and the leader checks the owner."""
        end = self.timers.time + seconds
        while self.timers.time < end:
            self.timers.time += 0.5
            self.check_owner()
            for host in OWNERS + ENTRIES:
                if host not in self.isolated:
                    self.sync(host)
                    if host in ENTRIES:
                        self.flush(host, False)

    # Owners and the config leader.

    def check_owner(self):
        old = self.views[self.assignment.host]
        if self.timers.time - old.synced_at >= VIEW_S:
            live = [host for host in OWNERS if host not in self.isolated]
            if live:
                epoch = self.assignment.epoch + 1
                self.assignment = OwnerAssignment(partition=1, host=live[0], epoch=epoch)

    @rule(host=st.sampled_from(OWNERS + ENTRIES))
    def isolate(self, host):
        self.isolated.add(host)

    @rule(entry=entries)
    def isolate_owner_with(self, entry):
        self.isolated |= {self.assignment.host, entry}

    @rule(host=st.sampled_from(OWNERS + ENTRIES))
    def rejoin(self, host):
        self.isolated.discard(host)

    def sync(self, host):
        self.views[host].sync(self.assignment)
        if host in self.owners:
            self.owners[host].refresh()

    @rule(host=hosts_owning)
    def probe(self, host):
        found = self.owners[host].find_tracker("u1")
        if found is not None:
            sampled_ms = round(self.timers.time * 1000)
            report = Report(sampled_ms=sampled_ms, cold_slots=COLD_SLOTS)
            found.add_sample(report, now=self.timers.time)

    @rule(host=hosts_owning)
    def restart_owner(self, host):
        telemetry = Telemetry(host=host, timers=self.timers)
        self.owners[host] = SlotOwner(
            host=host, view=self.views[host], timers=self.timers, telemetry=telemetry
        )

    @invariant()
    def calls_stay_within_cold_slots(self):
        now = self.timers.time
        self.calls = {key: call for key, call in self.calls.items() if call[1].expires_at > now}
        assert len(self.calls) <= COLD_SLOTS, sorted(self.calls)


def test_calls_in_progress_never_exceed_cold_slots():
    """Guards against overloading a cold upstream under losses, delays and moves."""
    run_machine(SlotMachine, settings=FIXED)


def grant_immediately(monkeypatch):
    monkeypatch.setattr(owner, "MAX_GRANT_S", 0.0)


def ignore_view_expiry(monkeypatch):
    monkeypatch.setattr(FakeView, "is_current", lambda self: True)


def ignore_limit(monkeypatch):
    monkeypatch.setattr(tracker.UpstreamTracker, "allowed", lambda self: COLD_SLOTS + 1)


@pytest.mark.parametrize("fault", [grant_immediately, ignore_view_expiry, ignore_limit])
def test_machine_detects_a_fault(monkeypatch, fault):
    """Guards against a state machine that detects no fault."""
    fault(monkeypatch)
    found = settings(FIXED, phases=[Phase.generate], print_blob=False)
    with pytest.raises(AssertionError):
        run_machine(SlotMachine, settings=found)


def test_owner_handles_the_messages_of_the_machine():
    """Guards against a request type that the fake PeerClient cannot deliver."""
    handled = SlotOwner(
        host="c1", view=None, timers=ManualTimers(), telemetry=Telemetry(host="c", timers=Timers())
    ).handlers()
    assert {AcquireSlot, ReleaseSlots} <= set(handled)
