"""
Axes of the silence matrix: kinds of requests, phases, who is silent, lengths, changes.

The phase of a request is where it or its response is when the silence begins. It follows from when
its head is sent, since upstreams send the parts of their responses at fixed times.
"""

import itertools
import random

import msgspec

STAGE_CALL_S = 0.1
# Offset of requests whose upstream has not been connected to when the silence begins.
CONNECT_S = -0.02
KEPT = "kept connection"

# Parts of a plain answer and the seconds after the arrival at which they are sent.
PLAIN_PARTS_S = (0.2, 0.3, 0.4, 0.5)
# Head of a stream in two parts, each of the events in two parts, and the end.
STREAM_PARTS_S = (0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9)
EVENTS = 3

# Silences and the pauses between them, in seconds.
LENGTHS = {
    "0.5": (0.5,),
    "1.0": (1.0,),
    "1.5": (1.5,),
    "2.0": (2.0,),
    "twice 1.0": (1.0, 0.3, 1.0),
    # Two silences of a second, and the wait in a queue between them.
    "2.6": (2.6,),
}
SILENT = (
    "an upstream",
    "engines but one, the stages",
    "engines but one, the control hosts",
    "plain services",
    "engines",
    "a stage server",
    "stages",
    "a data centre",
    "all upstreams",
    "the leader",
    "a follower",
    "all control hosts",
    "everything",
)
CHANGES = (
    "none",
    "timeouts, attempts, limits",
    "resumability",
    "split",
    "route removed and added",
    "stages removed",
    "key replaced",
    "service removed",
    "race",
    "data centre taken out",
    "reload",
    "release",
)
# What the selection for CI leaves out: the other values have the same hosts in them.
ONLY_BY_HAND = ("plain services", "everything", "engines", "engines but one, the control hosts")
# Number of parts into which the requests of a play are divided for the selection.
PARTS = 12
# Time from the beginning of the silence for which the stage service finds no room for results.
FULL_S = 1.0


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """
    Figures of a site, and the values of the axes that are played there.

    ``deadlines_s`` has the time limits of callers by kind, and under an empty text that of the
    others; ``routes`` the fields of routes that differ, by their names; ``lags_s`` the seconds from
    the beginning of the silence to that of the change.
    """

    deadlines_s: dict[str, float]
    routes: dict[str, dict[str, int]]
    # Delay between data centres; 0 for that of all links.
    data_centre_delay_s: float
    lengths: tuple[str, ...]
    changes: tuple[str, ...]
    lags_s: tuple[float, ...]
    rooms: tuple[str, ...]

    def find_deadline_s(self, kind):
        """Return the time limit of the callers of a kind."""
        return self.deadlines_s.get(kind.removeprefix("forwarded "), self.deadlines_s[""])


_SHORT = {"timeout_ms": 800, "target_latency_ms": 200}
_STREAM = {"timeout_ms": 15000, "gap_aim_ms": 200}
_RESUMABLE = {"timeout_ms": 8000, "target_latency_ms": 2000, "gap_aim_ms": 200}
SITES = {
    "long deadlines": Figures(
        # No silence reaches it by itself.
        deadlines_s={"": 6.0},
        routes={},
        data_centre_delay_s=0.0,
        lengths=("0.5", "1.0", "1.5", "2.0", "twice 1.0"),
        changes=CHANGES,
        lags_s=(0.0, -0.02, 0.3),
        rooms=("free",),
    ),
    # A silence of a second reaches the deadline of plain requests, and of no stream.
    "short deadlines": Figures(
        deadlines_s={"": 8.0, "stream": 15.0, "stages": 15.0}
        | dict.fromkeys(("safe", "unsafe", "limited"), 1.5),
        routes=dict.fromkeys(("plain", "order", "meter"), _SHORT)
        | {"line": {**_STREAM, "target_latency_ms": 800}}
        | {"ask": {**_STREAM, "target_latency_ms": 2000}}
        | dict.fromkeys(("talk", "redo", "moved"), _RESUMABLE),
        data_centre_delay_s=0.0054,
        lengths=("0.5", "1.0", "1.5", "twice 1.0", "2.6"),
        changes=(*CHANGES, "targets left out"),
        # With the first one the requests are read by the new configuration.
        lags_s=(-1.5, 0.0, 0.3),
        rooms=("free", "full"),
    ),
}


class Spec(msgspec.Struct, frozen=True):
    """One request: its kind, phase at the beginning of the silence, and times relative to that."""

    kind: str
    phase: str
    # When its head is sent and when the last byte of its body.
    head_s: float
    body_s: float


class Play(msgspec.Struct, frozen=True):
    """One run of all kinds and phases beside a silence and a change."""

    silent: str
    length: str
    change: str
    lag_s: float = 0.0
    room: str = "free"
    site: str = "long deadlines"


def _plain_phases():
    yield "connecting", CONNECT_S
    yield "arriving", 0.003
    yield "sent", 0.1
    names = ("in the head", "before the body", "in the body")
    for name, before, after in zip(names, PLAIN_PARTS_S, PLAIN_PARTS_S[1:], strict=False):
        yield name, (before + after) / 2 + 0.01


def _stream_phases(delay_s=0.0):
    yield "connecting", CONNECT_S
    yield "arriving", 0.003
    for number in range(round(delay_s / 0.05)):
        yield f"stages {number * 0.05:.2f} s", 0.02 + number * 0.05
    yield "sent", delay_s + 0.05
    names = ["in the head", "before event 1"]
    for number in range(1, EVENTS + 1):
        names += [f"in event {number}", f"after event {number}"]
    for name, before, after in zip(names, STREAM_PARTS_S, STREAM_PARTS_S[1:], strict=False):
        yield name, delay_s + (before + after) / 2 + 0.01


def list_specs():
    """Return the requests of a play, by the time of their heads."""
    phases = {
        "safe": list(_plain_phases()),
        "unsafe": list(_plain_phases()),
        "limited": [*_plain_phases(), *(("permit", -at) for at in (0.05, 0.3, 0.6))],
        "stream": list(_stream_phases()),
        "resumable": list(_stream_phases()),
        "stages": list(_stream_phases(0.3)),
        "stages again": list(_stream_phases(0.6)),
        "stages, moved": list(_stream_phases(0.3)),
        "forwarded safe": list(_plain_phases()),
        "forwarded unsafe": list(_plain_phases()),
        "forwarded resumable": list(_stream_phases()),
    }
    specs = []
    for kind, items in phases.items():
        specs += [Spec(kind, name, -at, -at) for name, at in items]
        specs.append(Spec(kind, "head sent", -0.05, 0.2))
        specs.append(Spec(kind, "body in progress", -0.2, 0.1))
        specs.append(Spec(kind, KEPT, 0.1, 0.1))
    return sorted(specs, key=lambda spec: spec.head_s)


def list_plays(site="long deadlines"):
    """Return all plays of the matrix of a site."""
    figures = SITES[site]
    axes = itertools.product(
        SILENT, figures.lengths, figures.changes, figures.lags_s, figures.rooms, (site,)
    )
    return [Play(*values) for values in axes if values[2] != "none" or values[3] == 0.0]


def list_parts():
    """Return the requests of a play in parts that have several kinds and phases each."""
    specs = list_specs()
    return [tuple(specs[number::PARTS]) for number in range(PARTS)]


def list_pairs(play, specs):
    """Return the pairs of values of two axes that a play with some requests has."""
    axes = [play.silent, play.length, play.change, play.lag_s]
    if len(SITES[play.site].rooms) > 1:
        axes.append(play.room)
    values = list(enumerate(axes))
    pairs = set(itertools.combinations(values, 2))
    for spec in specs:
        for item in (("kind", spec.kind), ("phase", spec.phase)):
            pairs.update((value, item) for value in values)
        pairs.add((spec.kind, spec.phase))
    return pairs


def choose_sample(site, count, *, seed):
    """Return some plays of a site, each with a part of the requests."""
    rng = random.Random(seed)
    plays = rng.sample(list_plays(site), count)
    return [(play, rng.choice(list_parts())) for play in plays]


def choose_pairwise(site="long deadlines"):
    """Return plays and their requests, in which each pair of values of two axes occurs."""
    plays = [play for play in list_plays(site) if play.silent not in ONLY_BY_HAND]
    chosen, missing = [], set()
    for play in plays:
        missing |= list_pairs(play, ())
    while missing:
        best = max(plays, key=lambda play: len(list_pairs(play, ()) & missing))
        missing -= list_pairs(best, ())
        chosen.append(best)
    missing = set().union(*(list_pairs(play, list_specs()) for play in chosen))
    selection = [_choose_part(play, missing) for play in chosen]
    while missing:
        options = itertools.product(chosen, list_parts())
        best = max(options, key=lambda option: len(list_pairs(*option) & missing))
        missing -= list_pairs(*best)
        selection.append(best)
    return selection


def _choose_part(play, missing):
    """Return a play and the part with most of the missing pairs, which are taken out."""
    part = max(list_parts(), key=lambda part: len(list_pairs(play, part) & missing))
    missing -= list_pairs(play, part)
    return play, part
