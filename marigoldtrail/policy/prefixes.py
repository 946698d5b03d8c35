"""Index of the engines that probably have the prefix of a prompt in their cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

import xxhash

MAX_PREFIXES = 8192
# A block of 512 characters is about 128 tokens; a shorter cached prefix saves almost nothing.
BLOCK_CHARS = 512
MAX_BLOCKS = 8
# An engine above this load is not preferred for its cache.
MAX_AFFINITY_LOAD = 0.8


class PrefixIndex:
    """
    Bounded LRU map from prompt prefixes to the engine that last processed them.

    Examples
    --------
    >>> index = PrefixIndex()
    >>> index.add("x" * 600, "engine-1")
    >>> index.find("x" * 512 + "y")
    'engine-1'
    >>> index.find("short")
    ''
    """

    __slots__ = ("_engines",)

    def __init__(self) -> None:
        self._engines: OrderedDict[int, str] = OrderedDict()

    def add(self, prompt: str, engine: str) -> None:
        """
        Record that an engine has processed a prompt.

        Parameters
        ----------
        prompt : str
            The prompt.
        engine : str
            Name of the upstream.
        """
        for key in _prefix_keys(prompt):
            self._engines[key] = engine
            self._engines.move_to_end(key)
        while len(self._engines) > MAX_PREFIXES:
            self._engines.popitem(last=False)

    def find(self, prompt: str) -> str:
        """
        Return the engine with the longest known prefix of a prompt.

        Parameters
        ----------
        prompt : str
            The prompt.

        Returns
        -------
        str
            Name of the upstream; empty if none is known.
        """
        found = ""
        for key in _prefix_keys(prompt):
            engine = self._engines.get(key)
            if engine is None:
                break
            found = engine
        return found

    def forget(self, engine: str) -> None:
        """
        Remove the entries of an engine after its cache was lost.

        Parameters
        ----------
        engine : str
            Name of the upstream.
        """
        for key in [key for key, name in self._engines.items() if name == engine]:
            del self._engines[key]


def _prefix_keys(prompt: str) -> Iterator[int]:
    digest = xxhash.xxh64()
    for start in range(0, min(len(prompt), BLOCK_CHARS * MAX_BLOCKS), BLOCK_CHARS):
        block = prompt[start : start + BLOCK_CHARS]
        if len(block) < BLOCK_CHARS:
            return
        digest.update(block.encode())
        yield digest.intdigest()
