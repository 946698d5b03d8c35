"""Catalogue of the log messages in the source code."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import msgspec

LEVELS = ("debug", "info", "warning", "error", "exception")
LOGGER_NAME = "_log"


class EventKind(msgspec.Struct, kw_only=True, frozen=True, order=True):
    """
    One log call in the source code.

    Parameters
    ----------
    message : str
        Message text, with ``%s`` or ``%d`` for the variable parts.
    level : str
        Log level, or ``exception``.
    fields : tuple of str
        Extra fields besides time, level, logger, host and message.
    module : str
        Dotted name of the module that contains the call.
    """

    message: str
    level: str
    fields: tuple[str, ...]
    module: str


def find_log_calls_in_package(folder: Path, module: str) -> list[EventKind]:
    """
    Find the log calls in the modules below a folder, except in tests.

    Parameters
    ----------
    folder : Path
        Folder of a package.
    module : str
        Dotted name of the package.

    Returns
    -------
    list of EventKind
        Distinct log calls, sorted by message.
    """
    found: set[EventKind] = set()
    for path in folder.rglob("*.py"):
        parts = path.relative_to(folder).with_suffix("").parts
        if "tests" not in parts:
            found.update(find_log_calls(path.read_text(), ".".join((module, *parts))))
    return sorted(found)


def find_log_calls(source: str, module: str) -> Iterator[EventKind]:
    """
    Yield the log calls in one module.

    Parameters
    ----------
    source : str
        Source code of the module.
    module : str
        Dotted name of the module.

    Yields
    ------
    EventKind
        One for each call of a method of the logger `LOGGER_NAME`.

    Examples
    --------
    >>> list(find_log_calls('_log.info("start", extra={"role": role})', "m"))[0].fields
    ('role',)
    """
    for node in ast.walk(ast.parse(source)):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        function = node.func
        if not isinstance(function.value, ast.Name) or function.value.id != LOGGER_NAME:
            continue
        if function.attr not in LEVELS or not node.args:
            continue
        message = node.args[0]
        text = message.value if isinstance(message, ast.Constant) else ast.unparse(message)
        yield EventKind(
            message=str(text), level=function.attr, fields=_find_extra_fields(node), module=module
        )


def _find_extra_fields(call: ast.Call) -> tuple[str, ...]:
    for keyword in call.keywords:
        if keyword.arg == "extra" and isinstance(keyword.value, ast.Dict):
            keys = keyword.value.keys
            return tuple(str(key.value) for key in keys if isinstance(key, ast.Constant))
    return ()


def render_catalogue(events: list[EventKind]) -> str:
    """
    Render the reference page of log messages.

    Parameters
    ----------
    events : list of EventKind
        Log calls to list.

    Returns
    -------
    str
        The page in Markdown.
    """
    lines = [
        "# Reference: log lines",
        "",
        "Generated from the code by `make reference`: what the processes of a site can write.",
        "Each line also has `asctime`, `level`, `name` (the module), `host` and `message`.",
        "",
        "| message | level | fields | module |",
        "| --- | --- | --- | --- |",
    ]
    for event in events:
        level = "error, with the traceback" if event.level == "exception" else event.level
        fields = ", ".join(f"`{name}`" for name in event.fields)
        message = event.message.replace("|", "\\|")
        lines.append(f"| `{message}` | {level} | {fields} | `{event.module}` |")
    return "\n".join(lines) + "\n"
