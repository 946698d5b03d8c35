"""Exponential decay of the weight of observations."""

from __future__ import annotations


def decay_weight(age_s: float, half_life_s: float) -> float:
    """
    Return the weight of an observation of a given age.

    Parameters
    ----------
    age_s : float
        Seconds since it was made.
    half_life_s : float
        Seconds after which the weight is one half.

    Returns
    -------
    float
        1 for a new observation, decreasing to 0.

    Examples
    --------
    >>> decay_weight(0.0, 3.0), decay_weight(3.0, 3.0), decay_weight(6.0, 3.0)
    (1.0, 0.5, 0.25)
    """
    return float(0.5 ** (age_s / half_life_s))
