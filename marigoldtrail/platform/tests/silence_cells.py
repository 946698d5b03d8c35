"""
Axes of the silence matrix: kinds of requests, phases, who is silent, lengths, changes.

The phase of a request is where it or its response is when the silence begins. It follows from when
its head is sent, since upstreams send the parts of their responses at fixed times.
"""

import itertools

import msgspec

# Time limit of callers, which no silence reaches by itself.
DEADLINE_S = 6.0
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
# Seconds from the beginning of the silence to that of the change.
LAGS_S = (0.0, -0.02, 0.3)


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


def list_plays():
    """Return all plays of the matrix."""
    axes = itertools.product(SILENT, LENGTHS, CHANGES, LAGS_S)
    return [Play(*values) for values in axes if values[2] != "none" or values[3] == 0.0]


def list_parts():
    """Return the requests of a play in parts that have several kinds and phases each."""
    specs = list_specs()
    return [tuple(specs[number::PARTS]) for number in range(PARTS)]


def list_pairs(play, specs):
    """Return the pairs of values of two axes that a play with some requests has."""
    values = list(enumerate((play.silent, play.length, play.change, play.lag_s)))
    pairs = set(itertools.combinations(values, 2))
    for spec in specs:
        for item in (("kind", spec.kind), ("phase", spec.phase)):
            pairs.update((value, item) for value in values)
        pairs.add((spec.kind, spec.phase))
    return pairs


def choose_pairwise():
    """Return plays and their requests, in which each pair of values of two axes occurs."""
    plays = [play for play in list_plays() if play.silent not in ONLY_BY_HAND]
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
