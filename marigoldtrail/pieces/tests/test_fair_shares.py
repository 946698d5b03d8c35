"""Shares between client accounts: the rule by itself, and the counts of the scheduler."""

import random

from marigoldtrail.pieces.fair_shares import compute_share, compute_work_ahead
from marigoldtrail.pieces.scheduler import PieceScheduler
from marigoldtrail.pieces.tests.load import make_spec
from marigoldtrail.routing import Upstream

SEEDS = range(200)


def make_scheduler(workers=2):
    scheduler = PieceScheduler(spec=make_spec(8, 0.15, 0.016, 43))
    scheduler.set_upstreams(
        [
            Upstream(name=f"b-{n}", service="b", address="10.0.0.1:1", data_centre="a", slots=1)
            for n in range(workers)
        ]
    )
    return scheduler


def test_account_below_its_share_waits_less_than_one_above():
    """Guards against refusals of an account below its share while one above it is admitted."""
    for seed in SEEDS:
        rng = random.Random(seed)
        work = {f"a{n}": rng.randint(1, 200) for n in range(rng.randint(2, 16))}
        share = compute_share(work)
        ahead = {account: compute_work_ahead(work, account) for account in work}
        below = [ahead[account] for account in work if work[account] < share]
        above = [ahead[account] for account in work if work[account] > share]
        assert max(below, default=0) < min(above, default=float("inf")), seed
        assert all(work[a] <= ahead[a] <= sum(work.values()) for a in work), seed


def test_counts_return_to_zero():
    """Guards against counts of ended requests that keep an account over its share for ever."""
    for seed in SEEDS:
        rng = random.Random(seed)
        scheduler = make_scheduler()
        counted = [
            (f"a{rng.randint(0, 4)}", rng.randint(-1, 3), rng.randint(0, 20), rng.random() < 0.3)
            for _ in range(50)
        ]
        for account, rank, pieces, is_deferred in counted:
            scheduler.count_unfinished(account, rank, pieces, is_deferred=is_deferred)
        total = sum(pieces for _, _, pieces, _ in counted)
        assert sum(scheduler.work_by_account().values()) == total
        rng.shuffle(counted)
        for account, rank, pieces, is_deferred in counted:
            scheduler.count_unfinished(account, rank, -pieces, is_deferred=is_deferred)
        assert not scheduler.by_account and not scheduler.deferred
        assert not any(scheduler.planned.values())


def test_estimate_is_unchanged_without_contention():
    """Guards against other decisions with no account, with one, or without a backlog."""
    for accounts, pieces in ((["", ""], 90), (["a", "a"], 90), (["", "a"], 90), (["a", "b"], 8)):
        scheduler = make_scheduler()
        for account in accounts:
            scheduler.count_unfinished(account, 1, pieces, is_deferred=False)
        plain = scheduler.estimate_backlog(0.0, 1)
        assert scheduler.estimate_backlog(0.0, 1, "b") == plain
        assert scheduler.estimate_excess_s("a", 0.0) == 0


def test_contended_service_delays_only_the_account_over_its_share():
    """Guards against an account that waits behind the burst of another one."""
    scheduler = make_scheduler()
    scheduler.count_unfinished("large", 1, 90, is_deferred=False)
    scheduler.count_unfinished("small", 1, 6, is_deferred=False)
    large = scheduler.estimate_backlog(0.0, 1, "large")
    small = scheduler.estimate_backlog(0.0, 1, "small")
    assert large.ahead_s == 8 * small.ahead_s > 0
    assert scheduler.estimate_excess_s("small", 0.0) == 0
    assert scheduler.estimate_excess_s("large", 0.0) > 0
