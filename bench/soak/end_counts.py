"""Reads from the metrics of the entries how their requests ended without a complete answer."""

from __future__ import annotations

import re
from collections import Counter

from bench.soak.callers import call
from bench.soak.fleet import ENTRIES, Fleet
from bench.soak.ledger import Ledger
from marigoldtrail.timers import Timers

METRICS_PATH = "/metrics"
# A process that ends loses its metrics; at most this time of them is missed.
READ_INTERVAL_S = 0.5
UNANSWERED, GIVEN_UP = "requests_unanswered_total", "responses_given_up_total"
_LINE = re.compile(rf'^({UNANSWERED}|{GIVEN_UP})\{{cause="([^"]*)"\}} (\S+)$', re.MULTILINE)


class EndCounts:
    """
    Counts of all processes of the entries, as they were last read.

    Parameters
    ----------
    fleet : Fleet
        Processes of the hosts.
    """

    __slots__ = ("_fleet", "_processes")

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet
        # By entry and number of starts of its process.
        self._processes: dict[tuple[str, int], Counter[tuple[str, str]]] = {}

    async def read(self) -> Counter[tuple[str, str]]:
        """Read the metrics; return the sums over all processes by metric and cause."""
        for name in ENTRIES:
            starts = self._fleet.starts[name]
            reply = await call(self._fleet.metrics_address(name), "GET", METRICS_PATH)
            if reply is not None and reply[0] == 200 and starts == self._fleet.starts[name]:
                self._processes[name, starts] = parse_counts(reply[1].decode())
        return sum(self._processes.values(), Counter())

    async def watch(self) -> None:
        """Read the metrics again and again until cancelled."""
        async for _ in Timers().subscribe("soak", READ_INTERVAL_S):
            await self.read()


def parse_counts(text: str) -> Counter[tuple[str, str]]:
    """
    Return the counts in the text of metrics, by metric and cause.

    Examples
    --------
    >>> parse_counts('responses_given_up_total{cause="memory"} 2.0')
    Counter({('responses_given_up_total', 'memory'): 2})
    """
    return Counter({(name, cause): int(float(n)) for name, cause, n in _LINE.findall(text)})


def describe_ends(part: str, counts: Counter[tuple[str, str]]) -> str:
    """Return a line on the ends of requests in a part of a run."""
    found = [f"{name} {cause} {count}" for (name, cause), count in sorted(counts.items())]
    return f"{part}: {', '.join(found) or 'no request without a complete answer'}"


def judge_given_up(counts: Counter[tuple[str, str]], ledger: Ledger) -> None:
    """Report responses that entries broke off for a cause of their own beside sound upstreams."""
    for (name, cause), count in sorted(counts.items()):
        if name == GIVEN_UP:
            ledger.report_violation(f"entries gave {count} responses up for {cause}")
