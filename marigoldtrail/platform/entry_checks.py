"""Checks of the values in an entry of the list of upstreams, and the report on what is left out."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from marigoldtrail.net import is_address

MAX_NAME_CHARS = 256
MAX_SLOTS = 65_536
# Largest integer that all readers of JSON represent exactly.
MAX_BORN_MS = 2**53
# An hour: far longer than any start.
MAX_COLD_MS = 3_600_000
STATES = ("ready", "draining")
# Reason of an entry that cannot be decoded, or lacks a field.
UNREADABLE = "unreadable"
# Other lines of one reading are dropped; the metric counts all entries.
MAX_LINES = 16

_log = logging.getLogger(__name__)


class ListedInstance(msgspec.Struct):
    """An entry in the platform's format."""

    id: str
    service: str
    address: str
    zone: str
    state: str
    version: str
    slots: int
    cold_remaining_ms: float
    born: int = 0


class LeftOutEntry(msgspec.Struct, kw_only=True, frozen=True, order=True):
    """
    An entry that names no upstream to use.

    Parameters
    ----------
    reason : str
        `UNREADABLE`, or the field whose value is invalid.
    subject : str
        Id of the entry, shortened; empty if it cannot be read.
    """

    reason: str
    subject: str = ""


def find_invalid_field(item: ListedInstance) -> str | None:
    """
    Return the first field of an entry whose value is invalid.

    Parameters
    ----------
    item : ListedInstance
        The entry.

    Returns
    -------
    str or None
        Name of the field; None if the entry can be used.

    Examples
    --------
    >>> item = ListedInstance("i-1", "s", "10.0.0.1:80", "z", "ready", "v1", -5, 0.0)
    >>> find_invalid_field(item)
    'slots'
    """
    for field in ("id", "service", "zone", "version"):
        if not is_name(getattr(item, field)):
            return field
    if not is_address(item.address):
        return "address"
    if item.state not in STATES:
        return "state"
    if not 1 <= item.slots <= MAX_SLOTS:
        return "slots"
    if not 0 <= item.born <= MAX_BORN_MS:
        return "born"
    # A negative remainder is a clock's inaccuracy and counts as 0.
    if not -MAX_COLD_MS <= item.cold_remaining_ms <= MAX_COLD_MS:
        return "cold_remaining_ms"
    return None


def is_name(text: str) -> bool:
    """
    Return whether a text can be used as a name, also as the value of a header.

    Examples
    --------
    >>> is_name("i-1"), is_name(""), is_name(" i"), is_name("i" + chr(10))
    (True, False, False, False)
    """
    return 0 < len(text) <= MAX_NAME_CHARS and text.isprintable() and text == text.strip()


def make_left_out_reporter(count: Callable[[str], None]) -> Callable[[list[LeftOutEntry]], None]:
    """
    Return a function that reports the entries that one reading of the list has left out.

    Parameters
    ----------
    count : callable
        Counts an entry by its reason.

    Returns
    -------
    callable
        Counts each entry; logs it unless the reading before left it out for the same reason.
    """
    known: set[LeftOutEntry] = set()

    def report(found: list[LeftOutEntry]) -> None:
        nonlocal known
        for entry in found:
            count(entry.reason)
        for entry in sorted(set(found) - known)[:MAX_LINES]:
            _log.warning(
                "entry of the list of upstreams left out",
                extra={"subject": entry.subject, "reason": entry.reason},
            )
        known = set(found)

    return report
