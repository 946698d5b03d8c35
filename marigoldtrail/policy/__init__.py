"""Scheduling and routing policies without I/O: admission, retries, upstream choice, ejection."""

from marigoldtrail.policy.admission import Admission, Demand
from marigoldtrail.policy.budget import RetryBudget
from marigoldtrail.policy.deadlines import is_deadline_unreachable, limit_attempt, split_budget
from marigoldtrail.policy.health import UpstreamHealth, find_ejection
from marigoldtrail.policy.hedging import hedge_delay
from marigoldtrail.policy.load import UpstreamLoad
from marigoldtrail.policy.prefixes import PrefixIndex
from marigoldtrail.policy.quantiles import Estimator
from marigoldtrail.policy.selection import Candidate, choose
from marigoldtrail.policy.shares import PoolGate, share_of

__all__ = [
    "Admission",
    "Candidate",
    "Demand",
    "Estimator",
    "PoolGate",
    "PrefixIndex",
    "RetryBudget",
    "UpstreamHealth",
    "UpstreamLoad",
    "choose",
    "find_ejection",
    "hedge_delay",
    "is_deadline_unreachable",
    "limit_attempt",
    "share_of",
    "split_budget",
]
