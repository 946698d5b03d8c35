"""Exports of a package whose modules are loaded when they are first used."""

from __future__ import annotations

import importlib
from collections.abc import Callable, Mapping
from typing import Any


def make_lazy_getattr(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """
    Return the ``__getattr__`` of a package that loads some of its modules on first use.

    A host of one role does not pay with start time and memory for what only the other role runs.

    Parameters
    ----------
    package : str
        Name of the package.
    modules : mapping
        Module of the package by the name that it exports.

    Returns
    -------
    callable
        Imports the module of a name, and keeps the name in the package.

    Examples
    --------
    >>> make_lazy_getattr("marigoldtrail.timers", {"Notifier": "notifier"})("Notifier").__name__
    'Notifier'
    """

    def load(name: str) -> Any:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(importlib.import_module(f"{package}.{modules[name]}"), name)
        setattr(importlib.import_module(package), name, value)
        return value

    return load
