"""Sound upstreams that fall silent for about a second and go on, beside changes and signals."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
import trio

from bench.soak.callers import Operators
from bench.soak.direct import DirectCallers, start_direct_callers
from bench.soak.endless import watch_lateness
from bench.soak.faults import Injector
from bench.soak.fleet import CONTROL, ENTRIES
from bench.soak.ledger import Attempt, Ledger
from bench.soak.plan import Fault
from bench.soak.planned import STABILITY_S, Disruption, PlannedWork, is_around, judge_attempt
from bench.soak.proxy import Proxy
from bench.soak.upstreams import Upstream

# Share of the seeds that play this, and of these with planned stops and reloads beside it.
SEED_SHARE = 0.6
SIGNALS_SHARE = 0.6
MIN_SILENCE_S, MAX_SILENCE_S = 0.5, 1.6
MIN_COUNT, MAX_COUNT = 4, 7
MEAN_GAP_S = 0.7
# Share of the silences after which the same upstreams fall silent again, and the time between.
SECOND_SHARE = 0.4
SECOND_GAP_S = 0.3
# Share of the silences within which a host reloads its settings.
RELOAD_SHARE = 0.5
# Weights of silences of one upstream, of all of a service, and of all upstreams.
SCOPES = {"one": 2, "service": 3, "all": 4}
SIGNAL_KINDS = {"reload": 4, "term": 2, "term_twice": 1}
MIN_SIGNALS, MAX_SIGNALS = 2, 5
ENTRY_SHARE = 0.75
WEIGHTS = {"plain": 4, "order": 4, "long_stream": 3, "long_resume": 8}
# Callers of each sort for each entry, and their pause between requests.
CALLER_COUNT = 4
MAX_PAUSE_S = 0.05
# Streams have begun when the first silence begins, and may end after the last one.
LEAD_S = 1.0
TAIL_S = 2.5


class Silence(msgspec.Struct, kw_only=True, frozen=True):
    """
    A silence of sound upstreams; it is no disruption.

    Parameters
    ----------
    at : float
        Seconds from the start of the plan.
    duration_s : float
        Seconds until the upstreams go on.
    scope : str
        ``"one"``, ``"service"`` or ``"all"``.
    targets : tuple of str
        The upstreams.
    """

    at: float
    duration_s: float
    scope: str
    targets: tuple[str, ...]


class SilentTime(msgspec.Struct, kw_only=True):
    """
    The time in which silences were played.

    Parameters
    ----------
    at, until : float
        Monotonic times in seconds; the second is infinite until the time has ended.
    silences : list of Silence
        Silences whose times begin at `at`.
    lateness : list of float
        By how many seconds the driver was late. All bytes pass through it, so that they wait for
        so long beside the silences that were drawn.
    """

    at: float
    until: float
    silences: list[Silence]
    lateness: list[float] = []


def draw_silences(seed: int, services: dict[str, str]) -> list[Silence]:
    """
    Draw silences, which do not overlap, with a random number generator of their own.

    Parameters
    ----------
    seed : int
        Seed of the run.
    services : dict of str to str
        Service of each upstream.

    Returns
    -------
    list of Silence
        Empty if the seed plays none.
    """
    rng = random.Random(f"silences {seed}")
    plan: list[Silence] = []
    if rng.random() >= SEED_SHARE:
        return plan
    at = LEAD_S
    for _ in range(rng.randint(MIN_COUNT, MAX_COUNT)):
        scope = rng.choices(list(SCOPES), list(SCOPES.values()))[0]
        name = rng.choice(list(services))
        targets = {
            "one": [name],
            "service": [other for other in services if services[other] == services[name]],
            "all": list(services),
        }[scope]
        duration_s = rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
        plan.append(Silence(at=at, duration_s=duration_s, scope=scope, targets=tuple(targets)))
        at += duration_s + rng.expovariate(1 / MEAN_GAP_S)
    return repeat_silences(seed, plan)


def repeat_silences(seed: int, plan: list[Silence]) -> list[Silence]:
    """Let some silences be followed by another one of the same upstreams; later ones move on."""
    rng = random.Random(f"second silences {seed}")
    repeated: list[Silence] = []
    delay_s = 0.0
    for silence in plan:
        silence = msgspec.structs.replace(silence, at=silence.at + delay_s)
        repeated.append(silence)
        if rng.random() < SECOND_SHARE:
            second = msgspec.structs.replace(
                silence,
                at=silence.at + silence.duration_s + SECOND_GAP_S,
                duration_s=rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S),
            )
            repeated.append(second)
            delay_s += SECOND_GAP_S + second.duration_s
    return repeated


def draw_reloads_within(seed: int, plan: list[Silence]) -> list[Fault]:
    """Draw reloads, with other settings, that begin within silences."""
    rng = random.Random(f"reloads within silences {seed}")
    return [
        Fault(
            at=silence.at + rng.uniform(0, silence.duration_s),
            kind="reload",
            target=rng.choice(ENTRIES if rng.random() < ENTRY_SHARE else CONTROL),
            duration_s=0.0,
        )
        for silence in plan
        if rng.random() < RELOAD_SHARE
    ]


def draw_silence_signals(seed: int, seconds: float) -> list[Fault]:
    """Draw planned stops and reloads beside silences, with a generator of their own."""
    rng = random.Random(f"signals beside silences {seed}")
    if rng.random() >= SIGNALS_SHARE:
        return []
    kinds = rng.choices(
        list(SIGNAL_KINDS), list(SIGNAL_KINDS.values()), k=rng.randint(MIN_SIGNALS, MAX_SIGNALS)
    )
    plan = [
        Fault(
            at=rng.uniform(0, seconds),
            kind=kind,
            target=rng.choice(ENTRIES if rng.random() < ENTRY_SHARE else CONTROL),
            duration_s=0.0,
        )
        for kind in kinds
    ]
    return sorted(plan, key=lambda fault: fault.at)


async def run_silences(plan: list[Silence], upstreams: dict[str, Upstream], proxy: Proxy) -> None:
    """Let upstreams fall silent and go on, one silence after the other."""
    started = trio.current_time()
    for silence in plan:
        await trio.sleep_until(started + silence.at)
        ips = [upstreams[name].advertised.ip for name in silence.targets]
        for ip in ips:
            proxy.begin_silence(ip)
        await trio.sleep(silence.duration_s)
        for ip in ips:
            proxy.end_silence(ip)


async def play_silences(
    seed: int,
    *,
    injector: Injector,
    upstreams: dict[str, Upstream],
    proxy: Proxy,
    operators: Operators,
    callers: DirectCallers,
) -> SilentTime | None:
    """
    Play the silences of a seed beside callers and changes, and stops and reloads in some seeds.

    Parameters
    ----------
    seed : int
        Seed of the run.
    injector : Injector
        Injects the signals and counts.
    upstreams : dict of str to Upstream
        All upstreams.
    proxy : Proxy
        Proxy in front of them.
    operators : Operators
        Send changes all the time.
    callers : DirectCallers
        Send requests all the time.

    Returns
    -------
    SilentTime or None
        None if the seed plays none.
    """
    plan = draw_silences(seed, {name: item.service for name, item in upstreams.items()})
    if not plan:
        return None
    await trio.sleep(STABILITY_S)
    played = SilentTime(at=trio.current_time(), until=float("inf"), silences=plan)
    async with trio.open_nursery() as traffic:
        traffic.start_soon(operators.run)
        traffic.start_soon(watch_lateness, played.lateness)
        start_direct_callers(traffic, callers, ENTRIES, count=CALLER_COUNT, max_pause_s=MAX_PAUSE_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(injector.run, draw_silence_signals(seed, plan[-1].at))
            nursery.start_soon(injector.run, draw_reloads_within(seed, plan))
            nursery.start_soon(run_silences, plan, upstreams, proxy)
        await trio.sleep(TAIL_S)
        traffic.cancel_scope.cancel()
    played.until = trio.current_time()
    injector.counts += Counter(f"sound silence of {silence.scope}" for silence in plan)
    return played


def judge_silences(
    played: SilentTime,
    works: list[PlannedWork],
    disruptions: list[Disruption],
    ledger: Ledger,
) -> str:
    """
    Report requests without a complete answer beside silences, but not around planned work.

    Requests around planned work are judged with it; a silence is no excuse there either.

    Parameters
    ----------
    played : SilentTime
        The time in which the silences were played.
    works : list of PlannedWork
        All planned work of the run.
    disruptions : list of Disruption
        All faults.
    ledger : Ledger
        Holds the attempts of direct callers; takes broken promises.

    Returns
    -------
    str
        A line on the requests of that time.
    """
    sent = [
        attempt
        for attempt in ledger.attempts.values()
        if attempt.is_direct and played.at <= attempt.sent_at <= played.until
    ]
    counts: Counter[str] = Counter()
    for attempt in sent:
        if not attempt.failure or any(is_around(attempt, work) for work in works):
            continue
        verdict = judge_attempt(attempt, disruptions, ledger.touched[attempt.request_id])
        counts[verdict] += 1
        if verdict == "lost":
            ledger.report_violation(describe_loss(attempt, played))
    met = sum(1 for attempt in sent if is_beside(attempt, played))
    found = "".join(f", {name} {number}" for name, number in sorted(counts.items()))
    late_ms = 1000 * max(played.lateness, default=0.0)
    line = f"{len(played.silences)} silences, {len(sent)} requests, {met} met one{found}"
    return f"{line}; driver late by {late_ms:.0f} ms at most"


def is_beside(attempt: Attempt, played: SilentTime) -> bool:
    """Tell whether a request was in progress when a silence began."""
    begins = [played.at + silence.at for silence in played.silences]
    return any(attempt.sent_at <= begin <= attempt.ended_at for begin in begins)


def describe_loss(attempt: Attempt, played: SilentTime) -> str:
    """Return the message on a lost request."""
    before = [s for s in played.silences if played.at + s.at <= attempt.ended_at]
    since = ""
    if before:
        begin = attempt.ended_at - played.at - before[-1].at
        since = (
            f", {begin:.3f} s after the begin of a silence of {before[-1].duration_s:.3f} s"
            f" ({before[-1].scope})"
        )
    status = f", status {attempt.status}" if attempt.status else ""
    return (
        f"{attempt.request_id}: {attempt.path.split('/')[1]} got no complete answer from"
        f" {attempt.entry[0]} beside sound upstreams ({attempt.failure}{status}), sent"
        f" {attempt.ended_at - attempt.sent_at:.3f} s before{since}"
    )
