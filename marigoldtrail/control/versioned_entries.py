"""Key-value entries with revisions, so that replies carry only changed entries."""

from __future__ import annotations

from typing import Generic, TypeVar

Value = TypeVar("Value")


class VersionedEntries(Generic[Value]):
    """
    Entries by key, each with the revision of its last change.

    Attributes
    ----------
    revision : int
        Current revision; increases with every change.

    Examples
    --------
    >>> entries = VersionedEntries()
    >>> entries.put("a", 1)
    >>> entries.put("b", 2)
    >>> entries.changed_since(entries.revision - 1)
    ([2], True)
    >>> entries.remove("a")
    >>> entries.changed_since(1)
    ([2], False)
    """

    __slots__ = ("revision", "_values", "_revisions", "_removed_at")

    def __init__(self) -> None:
        self.revision = 1
        self._values: dict[str, Value] = {}
        self._revisions: dict[str, int] = {}
        self._removed_at = 1

    def get(self, key: str) -> Value | None:
        """
        Return one entry.

        Parameters
        ----------
        key : str
            Its key.

        Returns
        -------
        object or None
            The entry; None if there is none.
        """
        return self._values.get(key)

    def values(self) -> list[Value]:
        """
        Return all entries.

        Returns
        -------
        list
            The entries, oldest key first.
        """
        return list(self._values.values())

    def put(self, key: str, value: Value) -> None:
        """
        Add or replace an entry.

        Parameters
        ----------
        key : str
            Its key.
        value : object
            The entry.
        """
        self.revision += 1
        self._values[key] = value
        self._revisions[key] = self.revision

    def remove(self, key: str) -> None:
        """
        Remove an entry; `changed_since` then returns all entries for earlier revisions.

        Parameters
        ----------
        key : str
            Its key.
        """
        if self._values.pop(key, None) is not None:
            self._revisions.pop(key)
            self.revision += 1
            self._removed_at = self.revision

    def changed_since(self, revision: int | None) -> tuple[list[Value], bool]:
        """
        Return the entries that changed after a revision.

        Parameters
        ----------
        revision : int or None
            Revision that the reader has; None if it has none.

        Returns
        -------
        tuple of list and bool
            Entries, and whether they are only the changed ones. All entries are returned if one
            was removed after `revision`.
        """
        if revision is None or revision < self._removed_at:
            return self.values(), False
        changed = [
            self._values[key]
            for key, changed_at in self._revisions.items()
            if changed_at > revision
        ]
        return changed, True
