"""The parts of one run: proxy, stand-ins, processes, callers and operators."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping
from pathlib import Path

import trio

from bench.soak.callers import ACCOUNT, KEY, REQUEST_WEIGHTS, Callers, Operators
from bench.soak.direct import DirectCallers
from bench.soak.end_counts import EndCounts
from bench.soak.faults import Injector
from bench.soak.fleet import Fleet
from bench.soak.ledger import Ledger
from bench.soak.memory import MemoryWatch, draw_limits
from bench.soak.plan import draw_small_files
from bench.soak.proxy import Proxy
from bench.soak.takeouts import TakeoutOperator
from bench.soak.upstreams import Platform


class Site:
    """
    All parts of one run.

    Parameters
    ----------
    seed : int
        Seed of the traffic.
    network : str
        First two octets of the loopback addresses to use.
    folder : Path
        An empty folder for settings, data and logs.
    nursery : trio.Nursery
        Runs the proxy and the stand-ins.

    Attributes
    ----------
    notes : list of str
        Measurements to print.
    end_counts : EndCounts
        How requests have ended, as the entries count it.
    """

    __slots__ = (
        "seed",
        "ledger",
        "memory",
        "proxy",
        "platform",
        "fleet",
        "injector",
        "operators",
        "callers",
        "takeouts",
        "notes",
        "end_counts",
        "_all_callers",
    )

    def __init__(self, *, seed: int, network: str, folder: Path, nursery: trio.Nursery) -> None:
        self.seed = seed
        self.notes: list[str] = []
        self.ledger = Ledger(account=ACCOUNT, key=KEY)
        limits_mb = draw_limits(seed)
        self.memory = MemoryWatch(ledger=self.ledger, limits_mb=limits_mb)
        self.proxy = Proxy(nursery=nursery)
        self.platform = Platform(
            ledger=self.ledger,
            proxy=self.proxy,
            network=network,
            nursery=nursery,
            rng=random.Random(seed + 1),
        )
        self.fleet = Fleet(
            network=network,
            folder=folder,
            list_address=self.platform.list_address,
            proxy=self.proxy,
            has_small_files=draw_small_files(seed),
            limits_mb=limits_mb,
        )
        self.end_counts = EndCounts(fleet=self.fleet)
        self.injector = Injector(fleet=self.fleet, platform=self.platform, proxy=self.proxy)
        self.operators = Operators(
            ledger=self.ledger, fleet=self.fleet, rng=random.Random(seed + 2)
        )
        self._all_callers: list[Callers] = []
        self.callers = self._make_callers(random.Random(seed + 3), "id")
        self.takeouts = TakeoutOperator(
            fleet=self.fleet,
            count_runs=lambda: self.platform.other_runs,
            rng=random.Random(seed + 4),
        )

    def _make_callers(self, rng: random.Random, prefix: str) -> Callers:
        callers = Callers(
            ledger=self.ledger,
            fleet=self.fleet,
            operators=self.operators,
            rng=rng,
            prefix=prefix,
        )
        self._all_callers.append(callers)
        return callers

    def make_direct_callers(
        self,
        prefix: str,
        weights: Mapping[str, int] = REQUEST_WEIGHTS,
        *,
        is_judged: bool = True,
    ) -> DirectCallers:
        """Return callers without the proxy; the prefix begins their ids and seeds their draws."""
        callers = self._make_callers(random.Random(f"{prefix} {self.seed}"), prefix)
        rng = random.Random(f"{prefix} callers {self.seed}")
        return DirectCallers(
            callers=callers, fleet=self.fleet, rng=rng, weights=weights, is_judged=is_judged
        )

    @property
    def counts(self) -> Counter[str]:
        """Responses to all callers by kind of request and outcome."""
        return sum((callers.counts for callers in self._all_callers), Counter())
