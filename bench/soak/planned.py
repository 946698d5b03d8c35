"""Judges requests that got no answer around planned stops and reloads of an entry."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import msgspec

from bench.soak.ledger import Attempt, Ledger

STOP, RELOAD = "stop", "reload"
# Bounds of the platform's rule. A request that was read is lost if its connection ends later than
# this after its last byte was sent, even if no upstream has run it.
LOST_S = 0.2
STABILITY_S = 3.0
RELOAD_S = 2.0
# A request that has lasted nearly until its deadline is not counted.
DEADLINE_MARGIN_S = 0.2
# Kinds of faults that disturb an entry itself. Its callers here reach it without the proxy.
ENTRY_FAULTS = frozenset({"kill", "pause"})
# Kinds of faults in which an upstream breaks off or can't be reached.
UPSTREAM_FAULTS = frozenset({"restart", "leave", "reset", "cut", "silence"})
# The ways in which a connection ends without an answer.
RESET, END, DEADLINE = "reset", "end", "deadline"


class PlannedWork(msgspec.Struct, kw_only=True):
    """
    A planned stop or reload of an entry.

    Parameters
    ----------
    entry : tuple of (str, int)
        The entry and the number of starts of its process.
    kind : str
        `STOP` or `RELOAD`.
    at : float
        Monotonic time of the signal, in seconds.
    until : float
        Time at which the stopped process has ended.
    was_killed : bool
        Whether it did not end within the grace period.
    refused : int
        Connections that were refused from the signal to the end.
    """

    entry: tuple[str, int]
    kind: str
    at: float
    until: float = float("inf")
    was_killed: bool = False
    refused: int = 0


class Disruption(msgspec.Struct, kw_only=True):
    """
    A fault that excuses requests without an answer.

    Parameters
    ----------
    target, kind : str
        Host or upstream, and kind of the fault.
    at, until : float
        Monotonic times of its begin and end, in seconds.
    """

    target: str
    kind: str
    at: float
    until: float = float("inf")


def judge_planned_work(
    works: Iterable[PlannedWork], disruptions: list[Disruption], ledger: Ledger
) -> list[str]:
    """
    Report requests that were lost around planned work, and count those that were not read.

    Parameters
    ----------
    works : iterable of PlannedWork
        All planned work of a run.
    disruptions : list of Disruption
        All other faults.
    ledger : Ledger
        Holds the attempts of direct callers; takes broken promises.

    Returns
    -------
    list of str
        A line for each planned work around which a request or connection got no answer.
    """
    lines = []
    direct = [attempt for attempt in ledger.attempts.values() if attempt.is_direct]
    for work in works:
        around = [attempt for attempt in direct if is_around(attempt, work)]
        counts: Counter[str] = Counter()
        for attempt in around:
            if not attempt.failure:
                continue
            verdict = judge_attempt(attempt, disruptions, ledger.touched[attempt.request_id])
            counts[verdict] += 1
            if verdict == "lost":
                ledger.report_violation(describe_loss(attempt, work, ledger))
        if work.refused:
            counts["refused connection"] = work.refused
        if counts:
            lines.append(describe_work(work, len(around), counts))
    return lines


def is_around(attempt: Attempt, work: PlannedWork) -> bool:
    """Tell whether a request was at the entry while it was being stopped or reloaded."""
    if attempt.entry != work.entry or attempt.ended_at < work.at:
        return False
    return work.kind == STOP or attempt.sent_at <= work.at + RELOAD_S


def judge_attempt(attempt: Attempt, disruptions: list[Disruption], touched: set[str]) -> str:
    """
    Classify a request without a complete answer.

    Parameters
    ----------
    attempt : Attempt
        The request.
    disruptions : list of Disruption
        All faults but planned work.
    touched : set of str
        Upstreams that have worked on it.

    Returns
    -------
    str
        ``"lost"`` if it was read or passed on; ``"excused ..."`` if so, and there is a reason;
        ``"not read ..."`` otherwise, with the end of its connection.
    """
    lasted_s = attempt.ended_at - attempt.sent_at
    was_read = attempt.unread_bytes == 0 and lasted_s > LOST_S
    if not touched and not was_read:
        return f"not read, {attempt.failure}"
    if attempt.failure == DEADLINE or lasted_s >= attempt.deadline_s - DEADLINE_MARGIN_S:
        return "excused by its deadline"
    for fault in disruptions:
        if fault.at <= attempt.ended_at and attempt.sent_at - STABILITY_S <= fault.until:
            if fault.target == attempt.entry[0] and fault.kind in ENTRY_FAULTS:
                return "excused by a fault of the entry"
            if fault.target in touched and fault.kind in UPSTREAM_FAULTS:
                return "excused by a fault of its upstream"
    return "lost"


def describe_loss(attempt: Attempt, work: PlannedWork, ledger: Ledger) -> str:
    """Return the message on a lost request."""
    how = "was read and" if not ledger.touched[attempt.request_id] else "was passed on and"
    status = f", status {attempt.status}" if attempt.status else ""
    return (
        f"{attempt.request_id}: {attempt.path.split('/')[1]} {how} got no complete answer"
        f" ({attempt.failure}{status}) at the {work.kind} of {work.entry[0]}; from the signal: sent"
        f" {attempt.sent_at - work.at:+.3f} s, ended {attempt.ended_at - work.at:+.3f} s, process"
        f" ended {work.until - work.at:+.3f} s"
    )


def describe_work(work: PlannedWork, count: int, counts: Counter[str]) -> str:
    """Return a line on the requests around planned work."""
    found = ", ".join(f"{name} {number}" for name, number in sorted(counts.items()))
    took = f" of {work.until - work.at:.1f} s" if work.kind == STOP else ""
    killed = ", killed at its end," if work.was_killed else ""
    return f"{work.kind}{took}{killed} of {work.entry[0]}, {count} requests: {found}"
