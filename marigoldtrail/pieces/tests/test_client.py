"""Tests of the choice of a scheduler by entries while control hosts fail and recover."""

import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.pieces.client import (
    FIRST_PROBE_DELAY_S,
    PULSE_INTERVAL_S,
    PULSE_TIMEOUT_S,
    PieceClient,
    StageRun,
)
from marigoldtrail.registry import FleetState
from marigoldtrail.schema.generated.pieces import (
    NoteProgress,
    ProgressNoted,
    Pulse,
    PulseReply,
    RunStages,
    StagesReply,
)
from marigoldtrail.timers import Timers

HOSTS = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"]
WORK_S = 0.2
# A scheduler that answers again is used by all entries within this time.
AGREED_S = PULSE_INTERVAL_S + PULSE_TIMEOUT_S


class Hosts:
    """Control hosts that run stages, except those that are down."""

    def __init__(self):
        self.down = set()
        self.asked = []

    async def call(self, address, request, reply_type, *, timeout_s):
        host = f"{address.ip}:{address.port}"
        if host in self.down:
            await trio.sleep(min(timeout_s, 0.1))
            return Failure(reason=Reason.UNREACHABLE, run_state=RunState.NOT_RUN, step="test")
        if isinstance(request, Pulse):
            return PulseReply()
        self.asked.append((trio.current_time(), host))
        await trio.sleep(WORK_S)
        return StagesReply(handles=["h"], upstream="")


def make_client(nursery, hosts):
    timers = Timers(seed=1)
    return PieceClient(
        fleet_state=FleetState(parse_document=lambda data: "", timers=timers),
        peers=hosts,
        timers=timers,
        nursery=nursery,
        seeds=HOSTS,
    )


async def ask(client):
    """Run the stages of one request."""
    now = trio.current_time()
    request = RunStages(request_id="r", stages=[], key="", left_ms=0, slack_ms=0, engine_service="")
    return await client.run(StageRun(request=request, deadline=now + 6.0, due_at=now + 1.5))


async def test_entries_agree_on_a_scheduler_soon_after_all_were_down(autojump_clock, nursery):
    """Guards against several active schedulers that do not know of each other's calls."""
    hosts = Hosts()
    clients = [make_client(nursery, hosts) for _ in range(8)]
    hosts.down = set(HOSTS)
    for client in clients:
        nursery.start_soon(ask, client)
        await trio.sleep(0.23)
    hosts.down = {HOSTS[0]}
    await trio.sleep(0.17)
    hosts.down = set()
    await trio.sleep(AGREED_S)
    hosts.asked.clear()
    for _ in range(5):
        for client in clients:
            assert await ask(client) is None
    assert len({host for _, host in hosts.asked}) == 1


async def test_scheduler_that_is_down_is_not_used(autojump_clock, nursery):
    """Guards against requests that wait for a scheduler known to be down."""
    hosts = Hosts()
    client = make_client(nursery, hosts)
    hosts.down = {client.choose_scheduler()}
    for _ in range(20):
        started = trio.current_time()
        assert await ask(client) is None
        waited_s = trio.current_time() - started - WORK_S
        assert waited_s < 0.2, trio.current_time()
        await trio.sleep(0.3)


async def test_scheduler_that_is_lost_twice_is_probed_once(autojump_clock, nursery, caplog):
    """Guards against an earlier probe that ends the longer pause, or fails, after a second loss."""
    hosts = Hosts()
    client = make_client(nursery, hosts)
    lost = HOSTS[0]
    hosts.down = {lost}
    client._handle_loss(lost, "test")
    await trio.sleep(0.1)
    client._handle_answer(lost)
    client._handle_loss(lost, "test")
    await trio.sleep(FIRST_PROBE_DELAY_S)
    hosts.down = set()
    # The pause after the second loss is twice as long as that after the first.
    await trio.sleep(FIRST_PROBE_DELAY_S / 2)
    assert client._is_lost(lost)
    await trio.sleep(FIRST_PROBE_DELAY_S)
    assert not client._is_lost(lost)

    hosts.down = {lost}
    client._handle_loss(lost, "test")
    client._handle_answer(lost)
    client._handle_loss(lost, "test")
    client._seeds = HOSTS[1:]
    await trio.sleep(10)
    assert "unexpected" not in caplog.text and client._lost == {}


class SilentLinks(Hosts):
    """Hosts that all run, behind links of one entry that are silent at times."""

    def __init__(self):
        super().__init__()
        self.is_cut = False
        self.frozen = set()

    async def call(self, address, request, reply_type, *, timeout_s):
        host = f"{address.ip}:{address.port}"
        for _ in range(2):
            # Neither a request nor its answer passes a cut.
            if self.is_cut or host in self.frozen:
                await trio.sleep(timeout_s)
                return Failure(reason=Reason.TIMEOUT, run_state=RunState.MAY_HAVE_RUN, step="test")
            if isinstance(request, Pulse):
                return PulseReply()
            self.asked.append((trio.current_time(), host))
            await trio.sleep(WORK_S)
        return StagesReply(handles=["h"], upstream="")


async def test_entries_that_are_cut_off_for_a_second_keep_their_scheduler(autojump_clock, nursery):
    """Guards against several schedulers that give the same room away after each short cut."""
    links = [SilentLinks() for _ in range(8)]
    clients = [make_client(nursery, hosts) for hosts in links]
    for _ in range(5):
        for hosts, client in zip(links, clients, strict=True):
            nursery.start_soon(ask, client)
            await trio.sleep(0.04)
            hosts.is_cut = True
        await trio.sleep(1.1 - 0.32)
        for hosts in links:
            hosts.is_cut = False
        await trio.sleep(0.5)
        assert len({host for hosts in links for _, host in hosts.asked}) == 1
    assert all(hosts.asked[-1][0] > trio.current_time() - 1 for hosts in links)


async def test_frozen_scheduler_is_left_while_others_answer(autojump_clock, nursery):
    """Guards against requests that wait for a scheduler that stands still."""
    hosts = SilentLinks()
    client = make_client(nursery, hosts)
    hosts.frozen = {client.choose_scheduler()}
    started = trio.current_time()
    assert await ask(client) is None
    waited_s = trio.current_time() - started - 2 * WORK_S
    assert waited_s < PULSE_INTERVAL_S + 2 * PULSE_TIMEOUT_S + 0.1


class FailingHosts(Hosts):
    """Hosts whose calls other than those that run stages raise an unexpected error."""

    async def call(self, address, request, reply_type, *, timeout_s):
        if isinstance(request, RunStages):
            # Long enough for a pulse.
            await trio.sleep(2.0)
            return StagesReply(handles=["h"], upstream="")
        raise RuntimeError("unexpected")


async def test_unexpected_errors_beside_a_request_do_not_end_the_process(autojump_clock, nursery):
    """Guards against an entry that ends because a pulse or a note to a scheduler raises."""
    client = make_client(nursery, FailingHosts())
    for _ in range(2):
        now = trio.current_time()
        request = RunStages(
            request_id="r", stages=[], key="", left_ms=0, slack_ms=0, engine_service=""
        )
        stage_run = StageRun(request=request, deadline=now + 6.0, due_at=now + 1.5)
        assert await client.run(stage_run) is None
        client.report_prompt_read(stage_run)
        client.report_end(stage_run)
        await trio.sleep(1)
    assert client._calls == {}


class SilentHosts(Hosts):
    """Hosts that answer pulses, but no request for stages."""

    async def call(self, address, request, reply_type, *, timeout_s):
        if isinstance(request, Pulse):
            return PulseReply()
        await trio.sleep(timeout_s)
        return Failure(reason=Reason.TIMEOUT, run_state=RunState.MAY_HAVE_RUN, step="RunStages")


async def test_request_whose_stages_get_no_answer_has_not_run(autojump_clock, nursery):
    """Guards against a 502 in place of a refusal for a request that no upstream got."""
    failure = await ask(make_client(nursery, SilentHosts()))
    assert (failure.reason, failure.run_state) == (Reason.TIMEOUT, RunState.NOT_RUN)


class SlowLinks(SilentLinks):
    """Hosts behind links of one entry that delay each answer."""

    delay_s = 0.4

    async def call(self, address, request, reply_type, *, timeout_s):
        with trio.move_on_after(timeout_s):
            await trio.sleep(self.delay_s)
            return await super().call(address, request, reply_type, timeout_s=timeout_s)
        return Failure(reason=Reason.TIMEOUT, run_state=RunState.MAY_HAVE_RUN, step="test")


async def test_request_behind_slow_links_is_served_after_a_cut(autojump_clock, nursery):
    """Guards against requests that wait until their deadline because answers take half a second."""
    hosts = SlowLinks()
    client = make_client(nursery, hosts)
    nursery.start_soon(ask, client)
    hosts.is_cut = True
    await trio.sleep(1.1)
    hosts.is_cut = False
    hosts.delay_s = 0.43
    await trio.sleep(0.2)
    assert await ask(client) is None


async def test_pulses_end_when_no_request_waits_for_a_scheduler(autojump_clock, nursery):
    """Guards against endless pulses of idle entries while all control hosts are down."""
    hosts = SilentLinks()
    client = make_client(nursery, hosts)
    hosts.is_cut = True
    assert await ask(client) is not None
    await trio.sleep(2.0)
    assert not client._checks and not client._calls


class Notes(SilentLinks):
    """Hosts that record the requests whose end they were told of."""

    def __init__(self):
        super().__init__()
        self.ended = []

    async def call(self, address, request, reply_type, *, timeout_s):
        if not isinstance(request, NoteProgress) or self.is_cut:
            return await super().call(address, request, reply_type, timeout_s=timeout_s)
        self.ended.append(request.request_id)
        return ProgressNoted()


async def test_end_of_a_request_in_a_short_cut_is_reported_after_it(autojump_clock, nursery):
    """Guards against results that take room until they expire because one report was lost."""
    hosts = Notes()
    client = make_client(nursery, hosts)
    now = trio.current_time()
    request = RunStages(request_id="r", stages=[], key="", left_ms=0, slack_ms=0, engine_service="")
    stage_run = StageRun(request=request, deadline=now + 6.0, due_at=now + 1.5)
    assert await client.run(stage_run) is None
    hosts.is_cut = True
    client.report_end(stage_run)
    await trio.sleep(1.1)
    hosts.is_cut = False
    await trio.sleep(1.0)
    assert hosts.ended == ["r"]
