"""Simulate every upstream of a manifest and count the calls and effects."""

from __future__ import annotations

from collections import Counter

import trio

from marigoldtrail.net import Address, Network
from marigoldtrail.schema.generated.manifest import Manifest, Upstream
from marigoldtrail.standins.engine import Engine
from marigoldtrail.standins.process import Process
from marigoldtrail.standins.runner import Standin, run_standin
from marigoldtrail.standins.services import EffectService, PoolService
from marigoldtrail.timers import Timers

EFFECT_FREE_PATHS = ("/query",)


class StandinFleet:
    """
    Stand-ins for every upstream of a manifest.

    Parameters
    ----------
    manifest : Manifest
        The manifest.
    network : Network
        Network that the stand-ins listen on.
    timers : Timers
        Their clock.
    """

    __slots__ = ("manifest", "standins", "_network")

    def __init__(self, *, manifest: Manifest, network: Network, timers: Timers) -> None:
        self.manifest = manifest
        self.standins = {
            upstream.name: build_standin(upstream, timers) for upstream in manifest.upstreams
        }
        self._network = network

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """
        Run all stand-ins until cancelled.

        Parameters
        ----------
        task_status : trio.TaskStatus
            Started when all stand-ins are listening.
        """
        async with trio.open_nursery() as nursery:
            for upstream in self.manifest.upstreams:

                async def run_upstream(
                    task_status: trio.TaskStatus[Address], upstream: Upstream = upstream
                ) -> None:
                    await run_standin(
                        self.standins[upstream.name],
                        network=self._network,
                        address=Address.parse(upstream.address),
                        task_status=task_status,
                    )

                await nursery.start(run_upstream)
            task_status.started()

    def get_process(self, upstream: str) -> Process:
        """
        Return the process of an upstream.

        Parameters
        ----------
        upstream : str
            Its name.

        Returns
        -------
        Process
            The simulated process, for example to terminate it.
        """
        return self.standins[upstream].process

    def find_upstreams_in(self, data_centre: str) -> list[str]:
        """
        Return the names of the upstreams in a data centre.

        Parameters
        ----------
        data_centre : str
            The data centre.

        Returns
        -------
        list of str
            Their names.
        """
        return [up.name for up in self.manifest.upstreams if up.data_centre == data_centre]

    def count_calls(self, upstream: str) -> int:
        """
        Count the calls that have reached an upstream.

        Parameters
        ----------
        upstream : str
            Its name.

        Returns
        -------
        int
            Number of calls since the start.
        """
        standin = self.standins[upstream]
        if isinstance(standin, Engine):
            return sum(standin.runs.values())
        if isinstance(standin, EffectService):
            return sum(standin.runs_by_attempt.values())
        if isinstance(standin, PoolService):
            return sum(standin.runs.values())
        raise TypeError(
            f"{upstream} is neither an engine, a pool nor a service: its calls are not counted"
        )

    def count_effects(self) -> Counter[tuple[str, str]]:
        """
        Count the effects of each order.

        Returns
        -------
        Counter
            Number of effects by pool and key (client_account/idempotency key), over all replicas.
        """
        effects: Counter[tuple[str, str]] = Counter()
        for upstream in self.manifest.upstreams:
            standin = self.standins[upstream.name]
            if isinstance(standin, EffectService):
                for key, count in standin.effects_by_key.items():
                    effects[upstream.pool, key] += count
        return effects

    def count_cold_limit_violations(self) -> int:
        """
        Count the calls that exceeded the limit of an upstream in cold start.

        Returns
        -------
        int
            Number of such calls over all upstreams.
        """
        return sum(standin.process.cold_exceeded for standin in self.standins.values())


def build_standin(upstream: Upstream, timers: Timers) -> Standin:
    """
    Build the stand-in of an upstream; its first instance is warm.

    Parameters
    ----------
    upstream : Upstream
        Upstream of the manifest.
    timers : Timers
        Clock.

    Returns
    -------
    Standin
        Stand-in that is not running yet.
    """
    process = Process(
        name=upstream.name,
        timers=timers,
        capacity=upstream.capacity,
        cold_slots=upstream.cold_slots,
    )
    process.models = list(upstream.models)
    if upstream.kind == "engine":
        return Engine(process=process, timers=timers, checks_fencing=upstream.checks_fencing)
    if upstream.kind == "service":
        return EffectService(
            process=process,
            timers=timers,
            reports_load=upstream.reports_load,
            reports_outcomes=bool(upstream.outcome_path),
            effect_free_paths=EFFECT_FREE_PATHS,
        )
    return PoolService(process=process, timers=timers, kind=upstream.kind)
