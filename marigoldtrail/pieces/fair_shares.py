"""Max-min fair shares of a service of stages between client accounts."""

from __future__ import annotations

from collections.abc import Mapping


def are_accounts_contending(work: Mapping[str, int], free_pieces: int) -> bool:
    """
    Tell whether shares between accounts matter at a service.

    Load: a few accounts of very different size beside each other. Without a backlog nobody waits
    for anybody else, and with one named account there is nothing to divide.

    Parameters
    ----------
    work : mapping of str to int
        Unfinished pieces by account; the empty name stands for entries that send no account.
    free_pieces : int
        Pieces that may wait before accounts contend.

    Returns
    -------
    bool
        Whether there is more work than that, and from at least two named accounts.

    Examples
    --------
    >>> are_accounts_contending({"a": 30, "b": 1}, 16)
    True
    >>> are_accounts_contending({"a": 30, "": 9}, 16)
    False
    """
    # While hosts are upgraded, one account may appear both by name and without.
    return len(work) - ("" in work) >= 2 and sum(work.values()) > free_pieces


def compute_work_ahead(work: Mapping[str, int], account: str) -> int:
    """
    Compute the work ahead of the next request of an account under max-min fairness.

    Load: an account at several times its share beside others below theirs. By start-time fair
    queueing, another account is ahead by at most the work that this account has itself.

    Parameters
    ----------
    work : mapping of str to int
        Unfinished pieces by account that are not less urgent than the request.
    account : str
        Account of the request.

    Returns
    -------
    int
        Pieces that are served first; never more than all of them.

    Examples
    --------
    >>> compute_work_ahead({"large": 100, "small": 4, "other": 2}, "small")
    10
    >>> compute_work_ahead({"large": 100, "small": 4, "other": 2}, "large")
    106
    """
    own = work.get(account, 0)
    return sum(min(count, own) for count in work.values())


def compute_share(work: Mapping[str, int]) -> float:
    """
    Return the equal share of the unfinished work of a service, in pieces.

    Load: as for `compute_work_ahead`. Only accounts with work there count, so that unused shares
    go to the others at once.

    Parameters
    ----------
    work : mapping of str to int
        Unfinished pieces by account.

    Returns
    -------
    float
        The share of each account; 0 without any work.

    Examples
    --------
    >>> compute_share({"large": 9, "small": 1})
    5.0
    """
    return sum(work.values()) / len(work) if work else 0.0
