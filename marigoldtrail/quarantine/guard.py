"""Quarantines known to one host, and what the host has seen of requests and crashes."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgspec

from marigoldtrail.quarantine.answered import MAX_ANSWERED_PARTS, AnsweredParts
from marigoldtrail.quarantine.quarantine import (
    Quarantine,
    decode_quarantine,
    encode_quarantine,
)
from marigoldtrail.schema.generated.registry import PartAnswer, PromptCrash, PromptQuarantine
from marigoldtrail.timers import Notifier, Timers

MAX_CRASHES = 128
MAX_CRASHES_PER_REPORT = 32


class PromptReport(msgspec.Struct, kw_only=True, frozen=True):
    """
    What a host reports to the leader.

    Parameters
    ----------
    crashes : list of PromptCrash
        Requests at upstreams that crashed, unless the leader has confirmed them.
    answers : list of PartAnswer
        Answers on parts that the leader asks about, or that stand beside these crashes.
    quarantines : list of PromptQuarantine
        Quarantines in force on this host.
    last_crash : int
        Number of the last reported crash.
    answered_at : dict
        Monotonic time in seconds of each reported answer, by part.
    """

    crashes: list[PromptCrash]
    answers: list[PartAnswer]
    quarantines: list[PromptQuarantine]
    last_crash: int
    answered_at: dict[str, float]


class PromptGuard:
    """
    Holds off requests that crash upstreams, on one host.

    A host keeps the quarantines that a leader told it for as long as it finds no leader.

    Parameters
    ----------
    timers : Timers
        Clock.

    Attributes
    ----------
    crashed : Notifier
        Notified when a crash is recorded, so that it is reported at once.
    """

    __slots__ = (
        "crashed",
        "_timers",
        "_held",
        "_suspects",
        "_answered",
        "_crashes",
        "_crash_count",
        "_term",
        "_confirmed_crash",
        "_confirmed_answers",
        "_unanswered",
    )

    def __init__(self, *, timers: Timers) -> None:
        self.crashed = Notifier()
        self._timers = timers
        self._held: list[Quarantine] = []
        self._suspects: list[str] = []
        self._answered = AnsweredParts()
        # Number, time and content of each crash.
        self._crashes: deque[tuple[int, float, PromptCrash]] = deque(maxlen=MAX_CRASHES)
        self._crash_count = 0
        # What the leader of `_term` has confirmed.
        self._term = 0
        self._confirmed_crash = 0
        self._confirmed_answers: dict[str, float] = {}
        # Requests at upstreams that have no answer yet.
        self._unanswered: dict[Callable[[], None], frozenset[str]] = {}

    @property
    def quarantine_count(self) -> int:
        """Number of quarantines in force."""
        return len(self._held)

    def find_held(self, parts: frozenset[str]) -> list[Quarantine]:
        """
        Return the quarantines that hold a request off.

        Parameters
        ----------
        parts : frozenset of str
            Parts of the request.

        Returns
        -------
        list of Quarantine
            Empty if the request may be sent.
        """
        return [held for held in self._held if held.parts <= parts]

    def watch(self, parts: frozenset[str], withdraw: Callable[[], None]) -> None:
        """Call a function if a request that has no answer yet is quarantined."""
        self._unanswered[withdraw] = parts

    def unwatch(self, withdraw: Callable[[], None]) -> None:
        """Stop watching a request; no effect if it is not watched."""
        self._unanswered.pop(withdraw, None)

    def record_answer(self, parts: frozenset[str]) -> None:
        """Record that an answer on a request with these parts is under way."""
        self._answered.record(parts, self._timers.now())

    def record_crash(self, upstream: str, request: str, parts: frozenset[str]) -> None:
        """
        Record that an upstream closed the connection before an answer was under way.

        Parameters
        ----------
        upstream : str
            The upstream.
        request : str
            Identity of the request, the same when it is sent again.
        parts : frozenset of str
            Parts of the request.
        """
        self._crash_count += 1
        crash = PromptCrash(upstream=upstream, request=request, parts=sorted(parts))
        self._crashes.append((self._crash_count, self._timers.now(), crash))
        self.crashed.notify()

    def apply(self, suspects: list[str], quarantines: list[PromptQuarantine]) -> None:
        """
        Replace the suspect parts and the quarantines by those of the leader.

        Parameters
        ----------
        suspects : list of str
            Parts that the leader asks about.
        quarantines : list of PromptQuarantine
            Quarantines in force. Requests that have no answer yet are cancelled, unless their
            answers may clear a part that was answered before.
        """
        now = self._timers.now()
        self._suspects = suspects
        self._held = [
            decode_quarantine(quarantine, now) for quarantine in quarantines if quarantine.parts
        ]
        certain = [held.parts for held in self._held if not held.is_answered_before]
        for withdraw, parts in list(self._unanswered.items()):
            if any(held_parts <= parts for held_parts in certain):
                withdraw()

    def build_report(self) -> PromptReport:
        """Return what the leader does not know yet."""
        now = self._timers.now()
        untold = [c for c in self._crashes if c[0] > self._confirmed_crash]
        untold = untold[:MAX_CRASHES_PER_REPORT]
        crashes = [
            msgspec.structs.replace(crash, age_ms=round((now - at) * 1000))
            for _, at, crash in untold
        ]
        asked = {*self._suspects, *(part for held in self._held for part in held.parts)}
        asked.update(part for crash in crashes for part in crash.parts)
        answered_at = {
            part: at
            for part in asked
            if (at := self._answered.get(part)) > self._confirmed_answers.get(part, 0.0)
        }
        return PromptReport(
            crashes=crashes,
            answers=[
                PartAnswer(part=part, age_ms=round((now - at) * 1000))
                for part, at in answered_at.items()
            ],
            quarantines=[encode_quarantine(held, now) for held in self._held],
            last_crash=untold[-1][0] if untold else self._confirmed_crash,
            answered_at=answered_at,
        )

    def confirm(self, report: PromptReport, term: int) -> None:
        """
        Record that a leader has received a report.

        Parameters
        ----------
        report : PromptReport
            The report.
        term : int
            Term of the leader; everything is reported again to a leader of another term.
        """
        if term != self._term:
            self._term = term
            self._confirmed_crash = 0
            self._confirmed_answers = {}
            return
        self._confirmed_crash = max(self._confirmed_crash, report.last_crash)
        self._confirmed_answers.update(report.answered_at)
        while len(self._confirmed_answers) > MAX_ANSWERED_PARTS:
            del self._confirmed_answers[next(iter(self._confirmed_answers))]
