"""Parts of a prompt that are held off, as known to the leader and to each host."""

from __future__ import annotations

from marigoldtrail.schema.generated.registry import PromptQuarantine


class Quarantine:
    """
    Parts of a prompt that are held off.

    Parameters
    ----------
    part : str
        The part that names the quarantine.
    parts : frozenset of str
        This part, and those that could not be told apart from it.
    last_crash_at : float
        Monotonic time in seconds of the last crash on the part.
    trials : int
        Requests that were sent although they have the parts.
    trial_at : float
        Monotonic time in seconds from which the next one may be sent.
    is_answered_before : bool
        Whether upstreams had answered on the part before.
    """

    __slots__ = ("part", "parts", "last_crash_at", "trials", "trial_at", "is_answered_before")

    def __init__(
        self,
        *,
        part: str,
        parts: frozenset[str],
        last_crash_at: float,
        trials: int,
        trial_at: float,
        is_answered_before: bool,
    ) -> None:
        self.part = part
        self.parts = parts
        self.last_crash_at = last_crash_at
        self.trials = trials
        self.trial_at = trial_at
        self.is_answered_before = is_answered_before


def decode_quarantine(message: PromptQuarantine, now: float) -> Quarantine:
    """Return the quarantine in a message that was received at a monotonic time in seconds."""
    return Quarantine(
        part=message.part,
        parts=frozenset(message.parts),
        last_crash_at=now - message.age_ms / 1000,
        trials=message.trials,
        trial_at=now + message.trial_after_ms / 1000,
        is_answered_before=message.is_answered_before,
    )


def encode_quarantine(quarantine: Quarantine, now: float) -> PromptQuarantine:
    """Return the message for a quarantine at a monotonic time in seconds."""
    return PromptQuarantine(
        part=quarantine.part,
        parts=sorted(quarantine.parts),
        trials=quarantine.trials,
        trial_after_ms=max(0, round((quarantine.trial_at - now) * 1000)),
        age_ms=max(0, round((now - quarantine.last_crash_at) * 1000)),
        is_answered_before=quarantine.is_answered_before,
    )
