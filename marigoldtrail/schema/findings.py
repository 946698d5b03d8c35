"""Findings of a check of a configuration, and its differences from another version."""

from __future__ import annotations

import enum
import json
import re
from collections.abc import Iterable, Mapping

import msgspec

BYTE_OFFSET_PATTERN = re.compile(r"\(byte (\d+)\)")
MAX_SHOWN_CHARS = 120


class Severity(enum.StrEnum):
    """Whether control hosts refuse the document, or accept it despite a likely mistake."""

    ERROR = "error"
    WARNING = "warning"


class Finding(msgspec.Struct, kw_only=True, frozen=True):
    """
    One finding in a document.

    Parameters
    ----------
    severity : Severity
        ``ERROR`` if the document is refused or would have no effect.
    code : str
        Kind of the finding, for scripts.
    entry : str
        The entry concerned, for example ``"route 'search'"`` or a JSON path.
    message : str
        What is wrong.
    line, column : int
        Position in the file, from 1; 0 if unknown.

    Examples
    --------
    >>> print(Finding(severity=Severity.ERROR, code="x", entry="route 'a'", message="no target"))
    error: route 'a': no target
    """

    severity: Severity
    code: str
    entry: str
    message: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        return f"{self.severity}: {self.entry}: {self.message}"


class Difference(msgspec.Struct, kw_only=True, frozen=True):
    """
    One difference between the version in force and the one that is checked.

    Parameters
    ----------
    entry : str
        The entry concerned.
    change : str
        ``"added"``, ``"removed"`` or ``"changed"``.
    field : str
        The field that changed; empty for a whole entry.
    before, after : str
        Values of the field as JSON.

    Examples
    --------
    >>> print(Difference(entry="stage 0", change="changed", field="weight", before="1", after="2"))
    changed: stage 0: weight: 1 -> 2
    """

    entry: str
    change: str
    field: str = ""
    before: str = ""
    after: str = ""

    def __str__(self) -> str:
        if not self.field:
            return f"{self.change}: {self.entry}"
        before, after = (_shorten(text) for text in (self.before, self.after))
        return f"{self.change}: {self.entry}: {self.field}: {before} -> {after}"


def make_warning(code: str, entry: str, message: str) -> Finding:
    """Return a finding about a document that control hosts accept."""
    return Finding(severity=Severity.WARNING, code=code, entry=entry, message=message)


def make_error(code: str, entry: str, message: str) -> Finding:
    """Return a finding for which a document is refused or has no effect."""
    return Finding(severity=Severity.ERROR, code=code, entry=entry, message=message)


def find_malformed_json(data: bytes) -> Finding | None:
    """
    Find the position at which a document stops being JSON.

    Parameters
    ----------
    data : bytes
        The document.

    Returns
    -------
    Finding or None
        None if the document is JSON, or if the position is unknown.

    Examples
    --------
    >>> found = find_malformed_json(b'{"a": 1,\\n "b" 2}')
    >>> found.line, found.column, found.message
    (2, 6, "Expecting ':' delimiter")
    >>> find_malformed_json(b"{}") is None
    True
    """
    try:
        json.loads(data)
        # The standard parser accepts NaN and infinities, which are no JSON.
        msgspec.json.decode(data)
    except json.JSONDecodeError as exc:
        return _make_malformed(exc.msg, exc.lineno, exc.colno)
    except UnicodeDecodeError as exc:
        return _locate_byte(data, exc.start, f"not UTF-8: {exc.reason}")
    except msgspec.DecodeError as exc:
        found = BYTE_OFFSET_PATTERN.search(str(exc))
        return None if found is None else _locate_byte(data, int(found[1]), str(exc))
    except (ValueError, RecursionError):
        # A number of too many digits, or nesting that is too deep: reported by the decoder.
        return None
    return None


def _locate_byte(data: bytes, offset: int, message: str) -> Finding:
    before = data[:offset]
    last_line = before[before.rfind(b"\n") + 1 :]
    column = len(last_line.decode(errors="replace")) + 1
    return _make_malformed(message, before.count(b"\n") + 1, column)


def _make_malformed(message: str, line: int, column: int) -> Finding:
    return Finding(
        severity=Severity.ERROR,
        code="malformed",
        entry="document",
        message=message,
        line=line,
        column=column,
    )


def compare_entries(
    kind: str, before: Mapping[str, msgspec.Struct], after: Mapping[str, msgspec.Struct]
) -> list[Difference]:
    """
    Compare the entries of one kind in two versions.

    Parameters
    ----------
    kind : str
        Kind of the entries, for example ``"route"``.
    before, after : dict
        Entries by name.

    Returns
    -------
    list of Difference
        Removed, added and changed entries; a changed one gives a difference for each field.
    """
    label = f"{kind} {{!r}}"
    found = _list_whole(label, "removed", (name for name in before if name not in after))
    found += _list_whole(label, "added", (name for name in after if name not in before))
    for name in before:
        if name in after:
            found += compare_fields(label.format(name), before[name], after[name])
    return found


def _list_whole(label: str, change: str, names: Iterable[str]) -> list[Difference]:
    return [Difference(entry=label.format(name), change=change) for name in names]


def compare_fields(entry: str, before: msgspec.Struct, after: msgspec.Struct) -> list[Difference]:
    """
    Compare the fields of one entry in two versions.

    Parameters
    ----------
    entry : str
        Label of the entry.
    before, after : Struct
        The entry in each version, of one type.

    Returns
    -------
    list of Difference
        One for each field that changed.
    """
    return [
        Difference(
            entry=entry,
            change="changed",
            field=field,
            before=_encode(getattr(before, field)),
            after=_encode(getattr(after, field)),
        )
        for field in before.__struct_fields__
        if getattr(before, field) != getattr(after, field)
    ]


def _encode(value: object) -> str:
    return msgspec.json.encode(value).decode()


def _shorten(text: str) -> str:
    return text if len(text) <= MAX_SHOWN_CHARS else text[: MAX_SHOWN_CHARS - 3] + "..."
