"""Decision whether a generation in progress moves to another engine with its KV cache."""

from __future__ import annotations

# Size of the KV cache per token for a 7B model with grouped-query attention in 16 bits.
KV_MB_PER_TOKEN = 0.125
CHARS_PER_TOKEN = 4
MIN_REMAINING_S = 0.5


def is_move_worthwhile(
    *,
    prompt_chars: int,
    tokens: int,
    price_per_mb: float,
    price_per_token: float,
    remaining_s: float,
) -> bool:
    """
    Decide whether to transfer a KV cache instead of recomputing it.

    Parameters
    ----------
    prompt_chars : int
        Length of the prompt in characters.
    tokens : int
        Tokens generated so far.
    price_per_mb : float
        Cost of a megabyte on the link, in cost units.
    price_per_token : float
        Cost of computing a token, in cost units.
    remaining_s : float
        Seconds until the deadline.

    Returns
    -------
    bool
        True if time is left and the transfer costs no more than computing the tokens again.

    Examples
    --------
    >>> is_move_worthwhile(
    ...     prompt_chars=400, tokens=100, price_per_mb=0.0, price_per_token=0.0, remaining_s=3.0
    ... )
    True
    """
    cached = prompt_chars / CHARS_PER_TOKEN + tokens
    transfer = cached * KV_MB_PER_TOKEN * price_per_mb
    return remaining_s >= MIN_REMAINING_S and transfer <= cached * price_per_token + 1e-12
