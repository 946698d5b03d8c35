"""Byte ranges of the fields and elements of JSON text that cannot be decoded as a whole."""

from __future__ import annotations

import re

import msgspec

# Strings are matched whole, so that brackets and commas inside them do not count. The quantifiers
# are possessive: matching takes linear time and no stack. A lone quote starts a string without end.
# Nested openings are matched together, with simple keys between them, which saves most of the time.
_STRUCTURE = re.compile(
    rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|"|(?:[\[{](?:\s*+"[^"\\\[\]{}]*+"\s*+:\s*+)?+)++|[\]}]++|,',
    re.DOTALL,
)
_FIELD = re.compile(rb'\s*("[^"\\]*+(?:\\.[^"\\]*+)*+")\s*:', re.DOTALL)
_WHITESPACE = b" \t\r\n"


def split_elements(array: bytes) -> list[bytes] | None:
    """
    Split a JSON array into its elements, which are not decoded.

    Takes linear time and no recursion, however deeply the elements are nested.

    Parameters
    ----------
    array : bytes
        JSON text.

    Returns
    -------
    list of bytes or None
        Text of each element, valid or not; None if the text is not one array.

    Examples
    --------
    >>> split_elements(b'[1, {"a": [2, "]"]}, nonsense]')
    [b'1', b'{"a": [2, "]"]}', b'nonsense']
    >>> split_elements(b'[1'), split_elements(b'[1] 2'), split_elements(b'[]')
    (None, None, [])
    """
    return _split(array, b"[", b"]")


def split_fields(document: bytes) -> dict[str, bytes] | None:
    """
    Split a JSON object into its fields, whose values are not decoded.

    Parameters
    ----------
    document : bytes
        JSON text.

    Returns
    -------
    dict or None
        Text of each value, valid or not, by key; None if the text is not one object. The last of
        several equal keys counts, as in `msgspec`; a field whose key is invalid is left out.

    Examples
    --------
    >>> split_fields(b'{"a": [1, 2], "b": nonsense}')
    {'a': b'[1, 2]', 'b': b'nonsense'}
    >>> split_fields(b'[1]') is None
    True
    """
    parts = _split(document, b"{", b"}")
    if parts is None:
        return None
    fields = {}
    for part in parts:
        match = _FIELD.match(part)
        if match is None:
            continue
        try:
            key = msgspec.json.decode(match[1], type=str)
        except msgspec.MsgspecError:
            continue
        fields[key] = part[match.end() :].strip(_WHITESPACE)
    return fields


def is_nested_over(text: bytes, levels: int) -> bool:
    """
    Return whether brackets in JSON text are nested more than a number of levels deep.

    Examples
    --------
    >>> is_nested_over(b'[{"a": "[[["}]', 2), is_nested_over(b'[{"a": []}]', 2)
    (False, True)
    """
    depth = 0
    for match in _STRUCTURE.finditer(text):
        symbol = match[0]
        if symbol[0] in b"[{":
            depth += symbol.count(b"[") + symbol.count(b"{")
            if depth > levels:
                return True
        elif symbol[0] in b"]}":
            depth -= len(symbol)
    return False


def _split(text: bytes, opening: bytes, closing: bytes) -> list[bytes] | None:
    """Split text between two brackets at the commas that are not nested further."""
    text = text.strip(_WHITESPACE)
    if not text.startswith(opening) or not text.endswith(closing):
        return None
    depth, start = 0, len(opening)
    parts = []
    for match in _STRUCTURE.finditer(text):
        symbol = match[0]
        if symbol == b",":
            if depth == 1:
                parts.append(text[start : match.start()].strip(_WHITESPACE))
                start = match.end()
        elif symbol[0] in b"[{":
            depth += symbol.count(b"[") + symbol.count(b"{")
        elif symbol[0] in b"]}":
            depth -= len(symbol)
            if depth <= 0:
                break
        elif symbol == b'"':
            return None
    if depth != 0 or match.end() != len(text):
        return None
    last = text[start:-1].strip(_WHITESPACE)
    return [*parts, last] if parts or last else []
