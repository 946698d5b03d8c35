"""Fits least-squares lines to measured points."""

from __future__ import annotations

import statistics
from collections.abc import Mapping


def fit_line(points: Mapping[float, float]) -> dict[str, float]:
    """
    Fit a straight line.

    Parameters
    ----------
    points : mapping of float to float
        Measured value by size; at least two sizes.

    Returns
    -------
    dict of str to float
        ``slope``, ``intercept`` and ``residual``, the largest absolute deviation of a point.

    Examples
    --------
    >>> fit_line({1: 3.0, 2: 5.0, 3: 7.0})
    {'slope': 2.0, 'intercept': 1.0, 'residual': 0.0}
    """
    sizes = list(points)
    slope, intercept = statistics.linear_regression(sizes, [points[size] for size in sizes])
    residual = max(abs(points[size] - slope * size - intercept) for size in sizes)
    return {"slope": slope, "intercept": intercept, "residual": residual}
