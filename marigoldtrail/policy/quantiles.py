"""Quantile estimates of durations from a decaying histogram."""

from __future__ import annotations

import math

# Bucket bounds are 8% apart: an estimate exceeds the true quantile by at most 8%, with 200 counters
# per stage. It is never too low, since hedges sent just before the usual answer would be wasted.
BUCKET_GROWTH = 1.08
MIN_DURATION_MS = 0.05
BUCKET_COUNT = 200
MIN_SAMPLES = 20
# Halving the counts every 500 samples adapts to a change within a few seconds at 100 calls/s.
HALVE_AFTER_SAMPLES = 500
CACHE_SAMPLES = 16

_LOG_BUCKET_GROWTH = math.log(BUCKET_GROWTH)


class Estimator:
    """
    Decaying histogram of durations.

    Parameters
    ----------
    expected_ms : float
        Duration assumed until `MIN_SAMPLES` have been added, in milliseconds.

    Examples
    --------
    >>> estimator = Estimator(expected_ms=100.0)
    >>> estimator.quantile(0.5), estimator.quantile(0.95)
    (100.0, 200.0)
    >>> for value in range(1, 101):
    ...     estimator.add(float(value))
    >>> 50 <= estimator.quantile(0.5) <= 54
    True
    """

    __slots__ = ("_expected_ms", "_counts", "_total", "_samples", "_cache", "_cached_at")

    def __init__(self, *, expected_ms: float) -> None:
        self._expected_ms = expected_ms
        self._counts = [0.0] * BUCKET_COUNT
        self._total = 0.0
        self._samples = 0
        self._cache: dict[float, float] = {}
        self._cached_at = 0

    @property
    def is_learned(self) -> bool:
        """Whether there are enough samples to compute quantiles from measurements."""
        return self._samples >= MIN_SAMPLES

    def add(self, duration_ms: float) -> None:
        """
        Add a measured duration.

        Parameters
        ----------
        duration_ms : float
            Duration in milliseconds.
        """
        self._counts[_bucket_of(duration_ms)] += 1.0
        self._total += 1.0
        self._samples += 1
        if self._samples % HALVE_AFTER_SAMPLES == 0:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def quantile(self, share: float) -> float:
        """
        Return a quantile of the durations.

        Parameters
        ----------
        share : float
            Between 0 and 1.

        Returns
        -------
        float
            Milliseconds; with fewer than `MIN_SAMPLES` samples, the expected duration up to the
            median and up to twice that value above.
        """
        if not self.is_learned:
            return self._expected_ms * max(1.0, min(2.0, 1.0 + (share - 0.5) / 0.45))
        if self._samples - self._cached_at >= CACHE_SAMPLES:
            self._cache.clear()
            self._cached_at = self._samples
        if share not in self._cache:
            self._cache[share] = self._find(share)
        return self._cache[share]

    def _find(self, share: float) -> float:
        left = share * self._total
        for index, count in enumerate(self._counts):
            left -= count
            if left <= 0 and count:
                return MIN_DURATION_MS * BUCKET_GROWTH ** (index + 1)
        return MIN_DURATION_MS * BUCKET_GROWTH**BUCKET_COUNT


def _bucket_of(duration_ms: float) -> int:
    if duration_ms <= MIN_DURATION_MS:
        return 0
    return min(BUCKET_COUNT - 1, int(math.log(duration_ms / MIN_DURATION_MS) / _LOG_BUCKET_GROWTH))
