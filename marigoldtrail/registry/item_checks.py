"""Leaves out items of reports and replies that cannot be decoded, or could not be sent on."""

from __future__ import annotations

import logging
import typing
from collections.abc import Sequence
from operator import attrgetter
from typing import Any, TypeVar

import msgspec

from marigoldtrail.schema.generated.registry import (
    HostReport,
    HostReportReply,
    LeavingUpstream,
    PartAnswer,
    PromptCrash,
    PromptQuarantine,
    UpstreamEntry,
    UpstreamLimit,
    UpstreamLoad,
)

Message = TypeVar("Message", HostReport, HostReportReply)

# Messages hold integers up to 2**64 - 1. Ages grow and loads are added up before they are sent on.
MAX_NUMBER = 2**53

_NUMBERS: dict[type, tuple[str, ...]] = {
    LeavingUpstream: ("born_ms",),
    PartAnswer: ("age_ms",),
    PromptCrash: ("age_ms",),
    PromptQuarantine: ("trials", "trial_after_ms", "age_ms"),
    UpstreamEntry: ("slots", "cold_ms", "born_ms"),
    UpstreamLimit: ("born_ms", "requests_per_s", "age_ms"),
    UpstreamLoad: ("requests",),
}
_READERS = {kind: tuple(map(attrgetter, names)) for kind, names in _NUMBERS.items()}
_SECTIONS: dict[type, tuple[str, ...]] = {
    HostReport: (
        "leaving",
        "loads",
        "crashes",
        "answered_parts",
        "quarantines",
        "limits",
        "brittle",
    ),
    HostReportReply: ("upstreams", "loads", "quarantines", "limits", "brittle"),
}

# The reply of a leader with each section as it was encoded.
EncodedReply = msgspec.defstruct(
    "EncodedReply",
    [(name, msgspec.Raw, msgspec.Raw()) for name in HostReportReply.__struct_fields__],
)
_REPLY_DECODERS: dict[str, msgspec.msgpack.Decoder[Any]] = {
    name: msgspec.msgpack.Decoder(kind)
    for name, kind in typing.get_type_hints(HostReportReply, include_extras=True).items()
}

_log = logging.getLogger(__name__)


def leave_out_odd_items(message: Message) -> Message:
    """
    Return a message without the items that have a number out of range.

    Parameters
    ----------
    message : HostReport or HostReportReply
        The received message.

    Returns
    -------
    HostReport or HostReportReply
        The same message if all items are in range.

    Examples
    --------
    >>> loads = [UpstreamLoad(upstream=f"i-{n}", requests=n) for n in (1, 2**63)]
    >>> reply = HostReportReply(term=1, revisions={}, loads=loads)
    >>> [load.upstream for load in leave_out_odd_items(reply).loads]
    ['i-1']
    """
    for section in _SECTIONS[type(message)]:
        items = getattr(message, section)
        if not items:
            continue
        if _are_in_range(items):
            continue
        kept = [item for item in items if _are_in_range([item])]
        _log.warning(
            "items of a message left out",
            extra={"section": section, "count": len(items) - len(kept)},
        )
        message = msgspec.structs.replace(message, **{section: kept})
    return message


def decode_reply(encoded: Any) -> HostReportReply:
    """
    Decode a leader's reply without the items and sections that this release cannot decode.

    Parameters
    ----------
    encoded : EncodedReply
        The received reply.

    Returns
    -------
    HostReportReply
        The reply; a section that cannot be decoded counts as unchanged.

    Raises
    ------
    msgspec.ValidationError
        If the reply has no term or revisions.

    Examples
    --------
    >>> sent = {"term": 1, "revisions": {}, "takeouts": ["a", 7], "turn": "x"}
    >>> reply = decode_reply(
    ...     msgspec.msgpack.decode(msgspec.msgpack.encode(sent), type=EncodedReply)
    ... )
    >>> reply.takeouts, reply.turn
    (['a'], 0.0)
    """
    sections = {}
    for name, decoder in _REPLY_DECODERS.items():
        raw = getattr(encoded, name)
        if not bytes(raw):
            continue
        try:
            sections[name] = decoder.decode(raw)
        except (msgspec.MsgspecError, RecursionError) as exc:
            _log.warning("section of a reply can't be decoded: %s", exc, extra={"section": name})
            items = _decode_items(raw, decoder)
            if items is not None:
                sections[name] = items
    if "term" not in sections or "revisions" not in sections:
        raise msgspec.ValidationError("a reply without its term or revisions")
    return HostReportReply(**sections)


def _decode_items(raw: msgspec.Raw, decoder: msgspec.msgpack.Decoder[Any]) -> list[Any] | None:
    """Return the items of an encoded list that can be decoded; None if it is no list."""
    try:
        items = msgspec.msgpack.decode(raw, type=list[msgspec.Raw])
    except (msgspec.MsgspecError, RecursionError):
        return None
    decoded = []
    for item in items:
        one = msgspec.msgpack.encode([item])
        try:
            decoded += decoder.decode(one)
        except (msgspec.MsgspecError, RecursionError):
            continue
    return decoded


def _are_in_range(items: Sequence[msgspec.Struct]) -> bool:
    """Return whether all numbers of items of the same type are in range."""
    for read in _READERS[type(items[0])]:
        values = list(map(read, items))
        total = sum(values)
        # The sum is not equal to itself if a value is NaN.
        if min(values) < -MAX_NUMBER or max(values) > MAX_NUMBER or total != total:
            return False
    return True
