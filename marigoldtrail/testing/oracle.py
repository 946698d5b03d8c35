"""Checks the history of a run against the nine promises P1 to P9 of the design.

This module imports nothing else of marigoldtrail. A history holds the requests of callers and
operators with their outcomes, the calls that reached upstreams, and the faults that were injected.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
from collections import defaultdict
from collections.abc import Iterator
from typing import Any

# The "few seconds" of P3 and P7, and the bound of P9.
NOTICE_LIMIT_S = 6.0
MANIFEST_LIMIT_S = 11.0
# An entry learns of a takeout within 5 s and keeps serving for 6 s after that.
ENTRY_TAKEOUT_LIMIT_S = 12.0
# Tolerated delay of a final response after the deadline.
MAX_LATENESS_S = 1.0


@dataclasses.dataclass(slots=True)
class Request:
    """A request and its outcome at the caller; `outcome` is empty while it is in progress."""

    request_id: str
    entry: str
    entry_data_centre: str
    pipeline: str
    account: str
    key: str
    body: str
    sent_at: float
    deadline_s: float
    ended_at: float = float("inf")
    # answer, refusal, or broken (the connection ended without a response)
    outcome: str = ""
    run_state: str = ""
    reason: str = ""
    step: str = ""
    output: Any = None
    digest: str = ""
    manifest_number: int = 0
    tokens: list[tuple[int, str]] | None = None
    # Digest in the record that was found after the run; empty if there was no record.
    recorded_digest: str = ""


@dataclasses.dataclass(slots=True)
class Call:
    """A call that reached an upstream; `delayed` if a restored link may have held it back."""

    upstream: str
    pool: str
    data_centre: str
    stage: str
    account: str
    key: str
    request_id: str
    at: float
    has_effect: bool
    output: Any = None
    effect_at: float | None = None
    delayed: bool = False


@dataclasses.dataclass(slots=True)
class Submission:
    """An operator's manifest (kind ``manifest``) or takeout, and the reply to it."""

    kind: str
    name: str
    state: str
    number: int
    content: str
    sent_at: float
    replied_at: float = float("inf")
    outcome: str = ""


@dataclasses.dataclass(slots=True)
class Span:
    """A period in which an upstream was leaving, a host was draining, or a target was out."""

    name: str
    began_at: float
    ended_at: float = float("inf")


@dataclasses.dataclass(slots=True)
class History:
    """All observations of one run."""

    requests: list[Request] = dataclasses.field(default_factory=list)
    calls: list[Call] = dataclasses.field(default_factory=list)
    submissions: list[Submission] = dataclasses.field(default_factory=list)
    leaving: list[Span] = dataclasses.field(default_factory=list)
    drains: list[Span] = dataclasses.field(default_factory=list)
    # Times at which an upstream received more calls than its limit during a cold start.
    overloads: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    # Times at which an upstream turned cold without a restart, which nodes notice with a delay.
    silent_turns: list[tuple[str, float]] = dataclasses.field(default_factory=list)


def check(history: History) -> list[str]:
    """
    Check the nine promises.

    Parameters
    ----------
    history : History
        Observations of the run.

    Returns
    -------
    list of str
        One line for each broken promise: its name, the request or target, and times in seconds.

    Examples
    --------
    >>> check(History(overloads=[("engines-1", 3.0)]))
    ['P2: engines-1 received more than its cold start carries at 3.000']
    """
    rules = (
        check_results,
        check_cold_starts,
        check_takeouts,
        check_completeness,
        check_refusals,
        check_single_runs,
        check_leaving,
        check_drains,
        check_manifests,
    )
    return [line for rule in rules for line in rule(history)]


def check_results(history: History) -> Iterator[str]:
    """P1: no result is lost, duplicated, or returned to a request of another account."""
    outputs: dict[tuple[str, str], list[str]] = defaultdict(list)
    for call in history.calls:
        if call.output is not None:
            outputs[call.account, call.request_id].append(encode_canonical(call.output))
            outputs[call.account, call.key].append(encode_canonical(call.output))
    for req in history.requests:
        if req.outcome != "answer":
            continue
        own = outputs[req.account, req.request_id] + outputs[req.account, req.key]
        if encode_canonical(req.output) not in own:
            yield (
                f"P1: {format_request(req)} got an output at {req.ended_at:.3f} "
                "that no upstream returned for it"
            )
        if req.recorded_digest != req.digest:
            found = req.recorded_digest[:8] or "none"
            yield (
                f"P1: {format_request(req)} was answered at {req.ended_at:.3f}; "
                f"its record is {found}"
            )


def check_cold_starts(history: History) -> Iterator[str]:
    """P2: a cold upstream receives no more than its limit, once nodes could notice the change."""
    for name, at in history.overloads:
        turns = [turn for other, turn in history.silent_turns if other == name]
        if not any(turn <= at <= turn + NOTICE_LIMIT_S for turn in turns):
            yield f"P2: {name} received more than its cold start carries at {at:.3f}"


def check_takeouts(history: History) -> Iterator[str]:
    """P3: a target that is out of service receives no new work after a few seconds."""
    for span in find_takeout_spans(history):
        kind, name = span.name.split("/", 1)
        for call in history.calls:
            target = call.data_centre if kind == "data_centre" else call.upstream
            if target == name and not call.delayed and is_late(call.at, span):
                yield (
                    f"P3: {call.request_id} reached {call.upstream} at {call.at:.3f}; "
                    f"{span.name} was out from {span.began_at:.3f}"
                )
        for req in history.requests:
            is_inside = span.began_at + ENTRY_TAKEOUT_LIMIT_S < req.sent_at < span.ended_at
            is_here = kind == "data_centre" and req.entry_data_centre == name
            if is_here and is_inside and req.outcome == "answer":
                yield (
                    f"P3: {format_request(req)} was taken in at {req.sent_at:.3f}; "
                    f"{span.name} was out from {span.began_at:.3f}"
                )


def find_takeout_spans(history: History) -> Iterator[Span]:
    """Yield when each target was certainly out: from the reply until a later change is sent."""
    changes = [item for item in history.submissions if item.kind != "manifest"]
    for item in changes:
        if item.state == "out" and item.outcome in ("accepted", "repeated"):
            # A change with a higher number may be in force even if its caller got no reply.
            later = [
                other.sent_at
                for other in changes
                if (other.kind, other.name) == (item.kind, item.name)
                and other.state == "in"
                and other.number > item.number
            ]
            ended_at = min(later, default=float("inf"))
            yield Span(f"{item.kind}/{item.name}", item.replied_at, ended_at)


def check_completeness(history: History) -> Iterator[str]:
    """P4: the caller gets its own complete response in time, in whatever order messages arrive."""
    for req in history.requests:
        if req.outcome == "answer" and compute_digest(req.output) != req.digest:
            yield (
                f"P4: {format_request(req)} got an output with another digest "
                f"at {req.ended_at:.3f}"
            )
        if req.ended_at > req.sent_at + req.deadline_s + MAX_LATENESS_S:
            yield (
                f"P4: {format_request(req)} had no final response "
                f"by {req.sent_at + req.deadline_s:.3f}"
            )
        if req.tokens is None:
            continue
        text = ""
        for first, part in req.tokens:
            if isinstance(req.output, str) and first != len(text.split()):
                yield f"P4: {format_request(req)} got token {first} in place of {len(text.split())}"
            text += part
        if req.outcome == "answer" and isinstance(req.output, str) and text != req.output:
            yield (
                f"P4: {format_request(req)} got a stream that differs from its end "
                f"at {req.ended_at:.3f}"
            )


def check_refusals(history: History) -> Iterator[str]:
    """P5: a request refused as ``not_run`` had no effect, nor had an earlier copy of it."""
    ran = {(call.account, call.request_id): call for call in history.calls if call.has_effect}
    copies: dict[tuple[str, ...], list[Request]] = defaultdict(list)
    for req in history.requests:
        copies[req.account, req.key, req.pipeline, req.body].append(req)
    for req in history.requests:
        if req.outcome != "refusal" or req.run_state != "not_run":
            continue
        calls = [
            ran.get((copy.account, copy.request_id))
            for copy in copies[req.account, req.key, req.pipeline, req.body]
        ]
        call = next(
            (
                call
                for call in calls
                if call and (call.request_id == req.request_id or call.at < req.sent_at)
            ),
            None,
        )
        if call is not None:
            yield (
                f"P5: {format_request(req)} was told not_run ({req.reason}) at {req.ended_at:.3f}; "
                f"it ran at {call.upstream} at {call.at:.3f}"
            )
        if req.tokens:
            yield (
                f"P5: {format_request(req)} was told not_run ({req.reason}) "
                "after it had got tokens"
            )


def check_single_runs(history: History) -> Iterator[str]:
    """P6: an order, deposit or booking runs at most once."""
    runs: dict[tuple[str, str, str, str], list[Call]] = defaultdict(list)
    for call in history.calls:
        if call.has_effect:
            runs[call.pool, call.stage, call.account, call.key].append(call)
    for (_, stage, account, key), calls in runs.items():
        if len(calls) > 1:
            times = ", ".join(f"{call.at:.3f} at {call.upstream}" for call in calls)
            yield f"P6: {stage} of {account}/{key} ran {len(calls)} times: {times}"


def check_leaving(history: History) -> Iterator[str]:
    """P7: an upstream that is leaving receives no new work after a few seconds."""
    for span in history.leaving:
        for call in history.calls:
            if call.upstream == span.name and not call.delayed and is_late(call.at, span):
                yield (
                    f"P7: {call.request_id} reached {call.upstream} at {call.at:.3f}, which was "
                    f"leaving from {span.began_at:.3f}"
                )


def check_drains(history: History) -> Iterator[str]:
    """P8: a graceful shutdown cuts off no request."""
    for span in history.drains:
        for req in history.requests:
            is_inside = span.began_at <= req.ended_at <= span.ended_at
            if req.entry == span.name and req.outcome == "broken" and is_inside:
                yield (
                    f"P8: {format_request(req)} was cut off at {req.ended_at:.3f}; {span.name} was "
                    f"draining from {span.began_at:.3f}"
                )


def check_manifests(history: History) -> Iterator[str]:
    """P9: an accepted manifest is in force everywhere within 11 s and never reverts."""
    manifests = [item for item in history.submissions if item.kind == "manifest"]
    accepted = [item for item in manifests if item.outcome == "accepted"]
    for item in accepted:
        for other in accepted:
            if other.number == item.number and other.content < item.content:
                yield f"P9: manifest {item.number} was accepted with two contents"
            if other.replied_at < item.sent_at and other.number > item.number:
                yield (
                    f"P9: manifest {item.number} was accepted at {item.replied_at:.3f} after "
                    f"manifest {other.number} at {other.replied_at:.3f}"
                )
    for req in history.requests:
        due = [item.number for item in accepted if item.replied_at + MANIFEST_LIMIT_S < req.sent_at]
        if req.outcome == "answer" and req.manifest_number < max(due, default=0):
            yield (
                f"P9: {format_request(req)} sent at {req.sent_at:.3f} ran under manifest "
                f"{req.manifest_number}; manifest {max(due)} was due"
            )


def is_late(at: float, span: Span) -> bool:
    """Return whether new work arrived within a span, but after its first few seconds."""
    return span.began_at + NOTICE_LIMIT_S < at < span.ended_at


def format_request(req: Request) -> str:
    """Return a short description of a request."""
    return f"{req.pipeline} {req.account}/{req.key} ({req.request_id[:8]}) through {req.entry}"


def encode_canonical(value: Any) -> str:
    """Encode a value as JSON, identically for equal values."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)


def compute_digest(value: Any) -> str:
    """Return the SHA-256 of a text, or of any other value as compact JSON with sorted keys."""
    text = value if isinstance(value, str) else encode_canonical(value)
    return hashlib.sha256(text.encode()).hexdigest()
