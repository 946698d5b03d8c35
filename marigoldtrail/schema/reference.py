"""Generate the reference pages of schemas and log lines (``make reference``)."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from marigoldtrail.schema import load_schema
from marigoldtrail.telemetry.catalogue import find_log_calls_in_package, render_catalogue

PAGES = ("settings", "manifest")
FOLDER = Path("docs/reference")
SOURCE_FOLDER = Path(__file__).parent.parent
# Packages loaded by the processes on the users' platform.
EVENT_PACKAGES = (
    "consensus",
    "control",
    "fleet",
    "net",
    "pieces",
    "platform",
    "registry",
    "quarantine",
    "ratelimits",
    "relay",
    "routing",
    "site",
    "storage",
)


def render_page(name: str) -> str:
    """
    Render the reference page of a schema.

    Parameters
    ----------
    name : str
        Name of the schema, for example ``"settings"``.

    Returns
    -------
    str
        Markdown.

    Examples
    --------
    >>> render_page("settings").splitlines()[0]
    '# Reference: settings'
    """
    schema = load_schema(name)
    lines = [f"# Reference: {name}", "", schema["description"]]
    lines += [
        "",
        f"Generated from `marigoldtrail/schema/{name}.json` by `make reference`. Unknown fields "
        "are refused.",
        "",
        *render_table(schema),
    ]
    for title, definition in schema["$defs"].items():
        lines += ["", f"## {title}", ""]
        if "description" in definition:
            lines += [definition["description"], ""]
        lines += render_table(definition)
    return "\n".join(lines) + "\n"


def render_table(definition: dict[str, Any]) -> list[str]:
    """
    Render the fields of an object.

    Parameters
    ----------
    definition : dict
        Schema of an object.

    Returns
    -------
    list of str
        Lines of a Markdown table.
    """
    lines = ["| field | type | allowed | default | meaning |", "| --- | --- | --- | --- | --- |"]
    for name, field in definition["properties"].items():
        default = "required"
        if name not in definition.get("required", ()):
            default = f"`{json.dumps(field.get('default'))}`"
        cells = [
            f"`{name}`",
            format_type(field),
            format_constraints(field),
            default,
            field.get("description", ""),
        ]
        lines.append("| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |")
    return lines


def format_type(field: dict[str, Any]) -> str:
    """
    Format the type of a field for the page.

    Parameters
    ----------
    field : dict
        Schema of the field.

    Returns
    -------
    str
        A JSON type, or a link to the section that describes it.

    Examples
    --------
    >>> format_type({"type": "array", "items": {"$ref": "#/$defs/Stage"}})
    'array of [Stage](#stage)'
    """
    if "$ref" in field:
        title = field["$ref"].rpartition("/")[2]
        return f"[{title}](#{title.lower()})"
    if field.get("type") == "array":
        return f"array of {format_type(field['items'])}"
    return str(field.get("type", "any"))


def format_constraints(field: dict[str, Any]) -> str:
    """
    Format the constraints of a field for the page.

    Parameters
    ----------
    field : dict
        Schema of the field.

    Returns
    -------
    str
        The constraints, separated by commas; empty if there are none.

    Examples
    --------
    >>> format_constraints({"type": "integer", "minimum": 1, "maximum": 9})
    'at least 1, at most 9'
    """
    field = {**field.get("items", {}), **field}
    names = {
        "minimum": "at least {}",
        "exclusiveMinimum": "more than {}",
        "maximum": "at most {}",
        "minLength": "at least {} characters",
        "maxLength": "at most {} characters",
        "minItems": "at least {} items",
        "maxItems": "at most {} items",
        "pattern": "pattern `{}`",
    }
    limits = [text.format(field[name]) for name, text in names.items() if name in field]
    if "enum" in field:
        limits.append(", ".join(f"`{value}`" for value in field["enum"]))
    if field.get("uniqueItems"):
        limits.append("no repetitions")
    return ", ".join(limits)


def render_events() -> str:
    """
    Render the reference page of the log lines.

    Returns
    -------
    str
        Markdown.
    """
    events = [
        event
        for package in EVENT_PACKAGES
        for event in find_log_calls_in_package(SOURCE_FOLDER / package, f"marigoldtrail.{package}")
    ]
    return render_catalogue(sorted(events))


def main() -> None:
    """Write the pages into `FOLDER`."""
    (FOLDER / "events.md").write_text(render_events())
    for name in PAGES:
        path = FOLDER / f"{name}.md"
        path.write_text(render_page(name))
        sys.stdout.write(f"{path}\n")


if __name__ == "__main__":
    main()
