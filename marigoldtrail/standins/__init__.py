"""Simulated upstreams, host list and weight store for tests, benchmarks and the demo."""

from marigoldtrail.standins.engine import Engine, count_tokens, generate_text, token_text
from marigoldtrail.standins.platform import HostList, WeightStore
from marigoldtrail.standins.process import FaultSwitches, Process
from marigoldtrail.standins.runner import Standin, run_standin
from marigoldtrail.standins.services import EffectService, PoolService, compute_pool_output
from marigoldtrail.standins.standin_fleet import StandinFleet, build_standin

__all__ = [
    "EffectService",
    "Engine",
    "HostList",
    "FaultSwitches",
    "PoolService",
    "Process",
    "Standin",
    "WeightStore",
    "StandinFleet",
    "build_standin",
    "count_tokens",
    "generate_text",
    "compute_pool_output",
    "run_standin",
    "token_text",
]
