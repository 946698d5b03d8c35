"""Upstreams that send without end, to many requests at once, among sound ones."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping

import msgspec
import trio

from bench.soak.callers import Operators
from bench.soak.direct import DirectCallers, start_direct_callers
from bench.soak.endless_answers import REFUSAL
from bench.soak.fleet import ENTRIES
from bench.soak.ledger import Ledger
from bench.soak.upstreams import Upstream

# Share of the seeds that play this.
SEED_SHARE = 0.6
COUNT = 2
# Longer than an answer needs to reach 8 MiB, at which a host gives it up.
DURATION_S = 4.5
PAUSE_S = 1.0
ALL_SHARE = 0.5
KINDS = {
    "desk": ("no_length", "chunked", "announced", "one_byte_chunks", REFUSAL),
    "llm": ("no_length", "chunked", "one_byte_chunks", "comments", "one_byte_events", REFUSAL),
    "board": ("no_length", "chunked", "announced", "one_byte_chunks", REFUSAL),
}
# Requests for the plain service are the most at once; engines and stages have few places.
SERVICE_WEIGHTS = {"desk": 5, "llm": 3, "board": 2}
# Kinds of request that reach the faulty service, and kinds that reach sound upstreams only.
PLAIN_WEIGHTS = {"plain": 3, "order": 2}
STREAM_WEIGHTS = {"stream": 1, "resume": 3}
# Callers of each sort: of the faulty service at one entry, and of sound ones at each entry.
LOAD_COUNT, SOUND_COUNT = 30, 3
MAX_PAUSE_S = 0.1
# Share and number of requests for sound upstreams that may go unserved.
MAX_UNSERVED_SHARE = 0.1
UNSERVED_SLACK = 3
LATENESS_INTERVAL_S = 0.1


class EndlessTime(msgspec.Struct, kw_only=True, frozen=True):
    """
    A time in which upstreams of a service send without end.

    Parameters
    ----------
    service, kind : str
        The service, and the kind of answer.
    targets : tuple of str
        The upstreams, one or all of the service.
    entry : str
        Entry that gets most of the requests.
    """

    service: str
    kind: str
    targets: tuple[str, ...]
    entry: str

    @property
    def weights(self) -> Mapping[str, int]:
        """Kinds of request for the service, with their weights."""
        return PLAIN_WEIGHTS if self.service == "desk" else STREAM_WEIGHTS

    @property
    def sound_weights(self) -> Mapping[str, int]:
        """Kinds of request that do not need the service, with their weights."""
        return STREAM_WEIGHTS if self.service == "desk" else PLAIN_WEIGHTS


def draw_endless(seed: int, services: Mapping[str, str]) -> list[EndlessTime]:
    """
    Draw upstreams that send without end, with a random number generator of their own.

    Parameters
    ----------
    seed : int
        Seed of the run.
    services : mapping of str to str
        Service of each upstream.

    Returns
    -------
    list of EndlessTime
        Empty if the seed plays none.
    """
    rng = random.Random(f"endless {seed}")
    if rng.random() >= SEED_SHARE:
        return []
    plan = []
    for _ in range(COUNT):
        service = rng.choices(list(SERVICE_WEIGHTS), list(SERVICE_WEIGHTS.values()))[0]
        names = [name for name in services if services[name] == service]
        targets = names if rng.random() < ALL_SHARE else [rng.choice(names)]
        plan.append(
            EndlessTime(
                service=service,
                kind=rng.choice(KINDS[service]),
                targets=tuple(targets),
                entry=rng.choice(ENTRIES),
            )
        )
    return plan


async def play_endless(
    played: EndlessTime,
    *,
    upstreams: Mapping[str, Upstream],
    operators: Operators,
    load: DirectCallers,
    sound: DirectCallers,
) -> list[float]:
    """
    Let upstreams send without end for some seconds beside changes.

    Parameters
    ----------
    played : EndlessTime
        What to play.
    upstreams : mapping of str to Upstream
        All upstreams.
    operators : Operators
        Send changes all the time.
    load, sound : DirectCallers
        Send requests for the faulty service, and for sound upstreams only.

    Returns
    -------
    list of float
        By how many seconds the driver was late, ten times a second; its stand-ins and callers
        share one processor.
    """
    lateness: list[float] = []
    async with trio.open_nursery() as traffic:
        traffic.start_soon(operators.run)
        traffic.start_soon(watch_lateness, lateness)
        start_direct_callers(
            traffic, load, [played.entry], count=LOAD_COUNT, max_pause_s=MAX_PAUSE_S
        )
        start_direct_callers(traffic, sound, ENTRIES, count=SOUND_COUNT, max_pause_s=MAX_PAUSE_S)
        for name in played.targets:
            upstreams[name].endless = played.kind
        await trio.sleep(DURATION_S)
        for name in played.targets:
            upstreams[name].endless = ""
        traffic.cancel_scope.cancel()
    await trio.sleep(PAUSE_S)
    return lateness


async def watch_lateness(lateness: list[float]) -> None:
    """Note by how many seconds this process is late, until cancelled."""
    while True:
        due = trio.current_time() + LATENESS_INTERVAL_S
        await trio.sleep_until(due)
        lateness.append(trio.current_time() - due)


def judge_endless(played: EndlessTime, prefix: str, lateness: list[float], ledger: Ledger) -> str:
    """
    Report if requests for sound upstreams were not served beside endless answers.

    Parameters
    ----------
    played : EndlessTime
        What was played.
    prefix : str
        Prefix of the ids of requests for sound upstreams.
    lateness : list of float
        Measurements of `play_endless`.
    ledger : Ledger
        Holds the attempts; takes the broken promise.

    Returns
    -------
    str
        A line on these requests.
    """
    ended = [
        attempt
        for attempt in ledger.attempts.values()
        if attempt.request_id.startswith(f"{prefix}-") and attempt.ended_at < float("inf")
    ]
    unserved = [attempt for attempt in ended if attempt.failure or attempt.status != 200]
    what = f"endless {played.kind} from {len(played.targets)} of {played.service}"
    line = f"{what}: {len(unserved)} of {len(ended)} requests for sound upstreams not served"
    counts = Counter(attempt.failure or f"status {attempt.status}" for attempt in unserved)
    line += "".join(f", {outcome} {count}" for outcome, count in sorted(counts.items()))
    if len(unserved) > MAX_UNSERVED_SHARE * len(ended) + UNSERVED_SLACK:
        ledger.report_violation(line)
    mean_ms = 1000 * sum(lateness) / max(1, len(lateness))
    return f"{line}; driver late by {mean_ms:.0f} ms, at most {1000 * max(lateness):.0f} ms"
