"""Peaks of the resident memory of processes, and their limits."""

from __future__ import annotations

import random
from collections.abc import Mapping
from pathlib import Path

from bench.soak.ledger import Ledger

BYTES_PER_MB = 1_000_000
BYTES_PER_KIB = 1024
# Limits of the platform's pages in MB, by role: those of a site, and those of its smallest host.
LIMITS_MB = ({"entry": 300, "control": 296}, {"entry": 160, "control": 160})
# Largest resident memory of a process since its program began.
PEAK_FIELD = "VmHWM:"


def draw_limits(seed: int) -> Mapping[str, int]:
    """Draw the limits on the memory of processes, with a random number generator of its own."""
    return random.Random(f"memory {seed}").choice(LIMITS_MB)


def read_peak_mb(pid: int) -> float:
    """Return the largest resident memory of a process so far in MB; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except (FileNotFoundError, ProcessLookupError):
        return 0.0
    for line in lines:
        if line.startswith(PEAK_FIELD):
            return int(line.split()[1]) * BYTES_PER_KIB / BYTES_PER_MB
    return 0.0


class MemoryWatch:
    """
    Compares the memory of processes with their limits.

    A process over its limit is reported once; on the platform it would be killed.

    Parameters
    ----------
    ledger : Ledger
        Takes broken promises.
    limits_mb : mapping of str to int
        Limit of each role in MB.

    Attributes
    ----------
    peaks_mb : dict of str to float
        Largest memory of a process of each role in MB.
    """

    __slots__ = ("peaks_mb", "_ledger", "_limits_mb", "_reported")

    def __init__(self, *, ledger: Ledger, limits_mb: Mapping[str, int]) -> None:
        self._ledger = ledger
        self._limits_mb = limits_mb
        self._reported: set[int] = set()
        self.peaks_mb = dict.fromkeys(limits_mb, 0.0)

    def record(self, name: str, role: str, pid: int) -> None:
        """Read the memory of the process of a host, and check it."""
        peak_mb = read_peak_mb(pid)
        self.peaks_mb[role] = max(self.peaks_mb[role], peak_mb)
        if peak_mb > self._limits_mb[role] and pid not in self._reported:
            self._reported.add(pid)
            limit_mb = self._limits_mb[role]
            self._ledger.report_violation(
                f"{name}: a process takes {peak_mb:.0f} MB, more than its limit of {limit_mb} MB"
            )

    def describe(self) -> str:
        """Return a line on the peaks."""
        peaks = [
            f"{role} {peak_mb:.0f} of {self._limits_mb[role]} MB"
            for role, peak_mb in self.peaks_mb.items()
        ]
        return f"peak of memory: {', '.join(peaks)}"
