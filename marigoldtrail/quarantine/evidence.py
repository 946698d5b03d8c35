"""
Evidence of the whole fleet on what crashes upstreams; kept by the leader.

A crash is blamed on the parts of the requests that had no answer yet: those that wait or are about
to be answered. The fingerprint of a request, by which it is known when it comes again, is one of
its parts. One answer on a part that is under way after a crash clears the part of it.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable

from marigoldtrail.quarantine.crashes import Crash, CrashLog, count_causes, join
from marigoldtrail.quarantine.fingerprint import is_fingerprint
from marigoldtrail.quarantine.quarantine import (
    Quarantine,
    decode_quarantine,
    encode_quarantine,
)
from marigoldtrail.schema.generated.registry import PartAnswer, PromptCrash, PromptQuarantine

# Crashes beside a part on which no upstream ever wrote an answer.
MIN_CRASHES = 2
# Crashes beside a part that was answered before, and has not been since the first of them.
MIN_CRASHES_ANSWERED = 5
# Crashes of a single request that is sent again, or of a single upstream, which may be at fault
# itself, count as evidence from this number on.
MIN_CRASHES_ALIKE = 4
# Crashes beside a request as a whole, which comes again. Two may be chance: an upstream that is
# killed breaks off sound requests too, and their callers repeat them.
MIN_CRASHES_REPEATED = 3
# Time for all hosts to report answers on a suspect part.
REVIEW_S = 0.3
MAX_QUARANTINES = 64
MAX_ANSWERED_PARTS = 2048
QUARANTINE_EXPIRY_S = 3600.0
# Delays before a request with a quarantined part is sent as a trial; the last one is repeated. The
# first is left out if the evidence is strong.
TRIAL_DELAYS_S = (5.0, 20.0, 1800.0)

_log = logging.getLogger(__name__)


class PromptEvidence:
    """
    Crashes, answers and quarantines of one term of leadership.

    Attributes
    ----------
    revision : int
        Increases when the quarantines or the suspect parts change.
    """

    __slots__ = (
        "revision",
        "_crashes",
        "_answered_at",
        "_quarantines",
        "_suspected_at",
        "_has_news",
    )

    def __init__(self) -> None:
        self.revision = 0
        self._crashes = CrashLog()
        # Time of the last answer on each part that stands beside a crash or is quarantined.
        self._answered_at: dict[str, float] = {}
        self._quarantines: dict[str, Quarantine] = {}
        self._suspected_at: dict[str, float] = {}
        # Whether something was recorded since the last review.
        self._has_news = False

    def record_crash(self, crash: PromptCrash, now: float) -> None:
        """
        Record a request at an upstream that crashed.

        Parameters
        ----------
        crash : PromptCrash
            The request, as reported by the entry that had sent it; it may be reported again.
        now : float
            Monotonic time in seconds.
        """
        self._crashes.record(crash, now - max(0, crash.age_ms) / 1000)
        self._has_news = True

    def record_answer(self, answer: PartAnswer, now: float) -> None:
        """
        Record an answer on a part, which clears it of earlier crashes.

        Parameters
        ----------
        answer : PartAnswer
            The answer.
        now : float
            Monotonic time in seconds.
        """
        at = now - max(0, answer.age_ms) / 1000
        if at <= self._answered_at.get(answer.part, float("-inf")):
            return
        self._answered_at[answer.part] = at
        self._has_news = True
        for quarantine in list(self._quarantines.values()):
            if answer.part in quarantine.parts and self._is_cleared(quarantine, answer.part, at):
                self._remove_part(quarantine, answer.part)

    def _is_cleared(self, quarantine: Quarantine, part: str, answered_at: float) -> bool:
        if answered_at > quarantine.last_crash_at:
            return True
        # Answers before the crashes are reported late; the part then needs more evidence.
        return 0 < len(self._list_blamed(part)) < MIN_CRASHES_ANSWERED

    def _remove_part(self, quarantine: Quarantine, part: str) -> None:
        """Remove a part from a quarantine; lift the quarantine if no part is left."""
        quarantine.parts -= {part}
        if part == quarantine.part:
            del self._quarantines[part]
            if quarantine.parts:
                quarantine.part = min(quarantine.parts)
                self._quarantines[quarantine.part] = quarantine
        _log.info(
            "quarantine of a %s lifted",
            describe_kind(part),
            extra={"subject": part, "parts": sorted(quarantine.parts)},
        )
        self.revision += 1

    def adopt(self, quarantine: PromptQuarantine, now: float) -> None:
        """
        Take over a quarantine that a leader of an earlier term has told to a host.

        Parameters
        ----------
        quarantine : PromptQuarantine
            The quarantine.
        now : float
            Monotonic time in seconds.
        """
        if quarantine.part not in quarantine.parts:
            return
        new = decode_quarantine(quarantine, now)
        # The host tells of it late: these parts were answered after the last crash.
        new.parts -= {
            part
            for part in new.parts
            if self._answered_at.get(part, float("-inf")) > new.last_crash_at
        }
        if new.part not in new.parts:
            return
        known = self._quarantines.get(new.part)
        if known is None:
            self._add(new)
            return
        if new.trials > known.trials:
            known.trials, known.trial_at = new.trials, new.trial_at
            self.revision += 1
        # One host may know of an answer that cleared a part, another may not.
        if known.parts - new.parts:
            known.parts &= new.parts
            self.revision += 1

    def _add(self, quarantine: Quarantine) -> None:
        self._quarantines[quarantine.part] = quarantine
        is_request = is_fingerprint(quarantine.part)
        alike = [q for q in self._quarantines.values() if is_fingerprint(q.part) == is_request]
        if len(alike) > MAX_QUARANTINES:
            self._forget(min(alike, key=lambda item: item.last_crash_at))
        self.revision += 1

    def _forget(self, quarantine: Quarantine) -> None:
        """Drop a quarantine and its crashes, which would be reason for it again."""
        del self._quarantines[quarantine.part]
        self._crashes.drop_explained(quarantine.parts)

    def review(self, now: float) -> None:
        """
        Forget what is old, and quarantine parts that hosts had time to clear.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self._expire(now)
        if not self._has_news and not self._suspected_at:
            return
        self._has_news = False
        for quarantine in self._quarantines.values():
            self._note_crashes(quarantine)
        while True:
            blamed = self._find_suspects()
            self._update_suspects(blamed, now)
            part = min(blamed, key=lambda name: self._rank(name, blamed[name]), default=None)
            if part is None or now - self._suspected_at[part] < REVIEW_S:
                return
            self._quarantine(part, blamed[part], now)

    def _expire(self, now: float) -> None:
        self._crashes.expire(now)
        for part, quarantine in list(self._quarantines.items()):
            if quarantine.last_crash_at < now - QUARANTINE_EXPIRY_S:
                del self._quarantines[part]
                self.revision += 1
        if len(self._answered_at) > MAX_ANSWERED_PARTS:
            beside = {part for crash in self._crashes for part in crash.parts}
            beside |= join(quarantine.parts for quarantine in self._quarantines.values())
            self._answered_at = {p: at for p, at in self._answered_at.items() if p in beside}

    def _note_crashes(self, quarantine: Quarantine) -> None:
        for crash in self._crashes:
            if crash.is_explained_by(quarantine.parts):
                quarantine.last_crash_at = max(quarantine.last_crash_at, crash.at)

    def _find_suspects(self) -> dict[str, list[Crash]]:
        """Return the parts with enough evidence, and the crashes that they are blamed for."""
        held = [quarantine.parts for quarantine in self._quarantines.values()]
        blamed: dict[str, list[Crash]] = {}
        for crash in self._crashes:
            if any(crash.is_explained_by(parts) for parts in held):
                continue
            for part in crash.parts:
                if crash.at > self._answered_at.get(part, float("-inf")):
                    blamed.setdefault(part, []).append(crash)
        return {part: found for part, found in blamed.items() if self._is_suspect(part, found)}

    def _list_blamed(self, part: str) -> list[Crash]:
        """Return the crashes since the last answer on a part at which a request had it."""
        since = self._answered_at.get(part, float("-inf"))
        return [c for c in self._crashes if c.at > since and c.is_explained_by(frozenset((part,)))]

    def _is_suspect(self, part: str, crashes: list[Crash]) -> bool:
        if len(crashes) < MIN_CRASHES:
            return False
        count = count_causes(crash.at for crash in crashes)
        upstreams = {crash.upstream for crash in crashes}
        if is_fingerprint(part) and part not in self._answered_at:
            # A request that comes several times at once crashes upstreams at the same time.
            is_repeated = len(crashes) >= MIN_CRASHES_REPEATED and len(upstreams) >= MIN_CRASHES
            return is_repeated or count >= MIN_CRASHES_ALIKE
        requests = {
            request
            for crash in crashes
            for request, prompt in crash.requests.items()
            if part in prompt
        }
        if min(len(requests), len(upstreams)) < MIN_CRASHES and count < MIN_CRASHES_ALIKE:
            return False
        return count >= (MIN_CRASHES_ANSWERED if part in self._answered_at else MIN_CRASHES)

    def _rank(self, part: str, crashes: list[Crash]) -> tuple[bool, int, bool, str]:
        """Return the order of suspects: never answered, most crashes, whole requests, by name."""
        is_answered = part in self._answered_at
        return is_answered, -len(crashes), not is_fingerprint(part), part

    def _update_suspects(self, suspects: Iterable[str], now: float) -> None:
        updated = {part: self._suspected_at.get(part, now) for part in suspects}
        if updated.keys() != self._suspected_at.keys():
            self.revision += 1
        self._suspected_at = updated

    def _quarantine(self, part: str, crashes: list[Crash], now: float) -> None:
        prompts = [p for crash in crashes for p in crash.requests.values() if part in p]
        first_at = min(crash.at for crash in crashes)
        common = frozenset.intersection(*prompts)
        # Other parts that come with this one at each crash may be the cause as well. Only requests
        # with all of them are refused, until an answer tells them apart.
        alike = {name for name in common if self._may_be_cause(name, part, first_at)}
        is_answered_before = part in self._answered_at
        is_certain = is_fingerprint(part) or (not is_answered_before and len(crashes) > MIN_CRASHES)
        # A request that was answered has crashed more upstreams by now: one early trial fewer.
        trials = 1 if is_fingerprint(part) and is_answered_before else 0
        self._add(
            Quarantine(
                part=part,
                parts=frozenset(alike),
                last_crash_at=max(crash.at for crash in crashes),
                trials=trials,
                trial_at=now + TRIAL_DELAYS_S[1 if is_certain else 0],
                is_answered_before=is_answered_before,
            )
        )
        _log.warning(
            "%s quarantined",
            describe_kind(part),
            extra={
                "subject": part,
                "parts": sorted(alike),
                "crashes": len(crashes),
                "upstreams": sorted({crash.upstream for crash in crashes}),
                "requests": sorted(
                    {r for c in crashes for r, p in c.requests.items() if part in p}
                ),
                "answered_before": is_answered_before,
            },
        )

    def _may_be_cause(self, name: str, part: str, first_at: float) -> bool:
        if name == part or is_fingerprint(part):
            return name == part
        if part not in self._answered_at:
            return name not in self._answered_at
        return self._answered_at.get(name, float("-inf")) < first_at

    def take_trial(self, part: str, now: float) -> bool:
        """
        Allow one request with quarantined parts to be sent, if it is time for a trial.

        Parameters
        ----------
        part : str
            The part that names the quarantine.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the caller may send one request, once.
        """
        quarantine = self._quarantines.get(part)
        if quarantine is None or now < quarantine.trial_at:
            return False
        quarantine.trials += 1
        delay_s = TRIAL_DELAYS_S[min(quarantine.trials, len(TRIAL_DELAYS_S) - 1)]
        quarantine.trial_at = now + delay_s
        self.revision += 1
        _log.info(
            "trial of a %s",
            describe_kind(part),
            extra={"subject": part, "trials": quarantine.trials},
        )
        return True

    def list_suspects(self) -> list[str]:
        """Return the parts that are about to be quarantined unless a host has seen an answer."""
        return sorted(self._suspected_at)

    def list_quarantines(self, now: float) -> list[PromptQuarantine]:
        """Return the quarantines for the hosts at a monotonic time in seconds."""
        return [encode_quarantine(item, now) for item in self._quarantines.values()]


def describe_kind(part: str) -> str:
    """Return whether a part stands for a whole request or is a part of its prompt."""
    return "request" if is_fingerprint(part) else "prompt part"
