"""Lists the log lines that the code can write, from its source."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import msgspec

LEVELS = ("debug", "info", "warning", "error", "exception")
LOGGER = "_log"


class EventKind(msgspec.Struct, kw_only=True, frozen=True, order=True):
    """
    One kind of log line.

    Parameters
    ----------
    message : str
        Its text; what changes from line to line stands as ``%s`` or ``%d``.
    level : str
        Its level.
    fields : tuple of str
        Fields besides time, level, logger, host and message.
    module : str
        Module that writes it.
    """

    message: str
    level: str
    fields: tuple[str, ...]
    module: str


def find_events(folder: Path, module: str) -> list[EventKind]:
    """
    List the log lines of the modules below a folder, without those of tests.

    Parameters
    ----------
    folder : Path
        The folder.
    module : str
        Its dotted name.

    Returns
    -------
    list of EventKind
        In the order of their texts.
    """
    found: set[EventKind] = set()
    for path in folder.rglob("*.py"):
        parts = path.relative_to(folder).with_suffix("").parts
        if "tests" not in parts:
            found.update(find_calls(path.read_text(), ".".join((module, *parts))))
    return sorted(found)


def find_calls(source: str, module: str) -> Iterator[EventKind]:
    """
    Yield the log lines of one module.

    Parameters
    ----------
    source : str
        Its source.
    module : str
        Its dotted name.

    Yields
    ------
    EventKind
        One for each call of its logger.

    Examples
    --------
    >>> list(find_calls('_log.info("start", extra={"role": role})', "m"))[0].fields
    ('role',)
    """
    for node in ast.walk(ast.parse(source)):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        function = node.func
        if not isinstance(function.value, ast.Name) or function.value.id != LOGGER:
            continue
        if function.attr not in LEVELS or not node.args:
            continue
        message = node.args[0]
        text = message.value if isinstance(message, ast.Constant) else ast.unparse(message)
        yield EventKind(
            message=str(text), level=function.attr, fields=_fields_of(node), module=module
        )


def _fields_of(call: ast.Call) -> tuple[str, ...]:
    for keyword in call.keywords:
        if keyword.arg == "extra" and isinstance(keyword.value, ast.Dict):
            keys = keyword.value.keys
            return tuple(str(key.value) for key in keys if isinstance(key, ast.Constant))
    return ()


def render_catalogue(events: list[EventKind]) -> str:
    """
    Return the page of all events.

    Parameters
    ----------
    events : list of EventKind
        The events.

    Returns
    -------
    str
        Markdown.
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
