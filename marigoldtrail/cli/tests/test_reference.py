"""Checks that the reference pages agree with schemas and code."""

from __future__ import annotations

import ast
import re

import pytest

from marigoldtrail.api import app as api_app
from marigoldtrail.api.problems import build_problem
from marigoldtrail.cli.exits import ExitCode, find_exit_code
from marigoldtrail.cli.tests.pages import ROOT
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.schema import load_schema
from marigoldtrail.schema.reference import PAGES, render_events, render_page

REFERENCE = ROOT / "docs/reference"
METRIC_METHODS = {"count": "counter", "timing": "timing", "gauge": "gauge"}


@pytest.mark.parametrize("name", PAGES)
def test_generated_pages_are_current(name):
    """Guards against changing a schema without running `make reference`."""
    assert (REFERENCE / f"{name}.md").read_text() == render_page(name)


def test_catalogue_of_log_lines_is_current():
    """Guards against log lines that are missing from the reference for on-call engineers."""
    page = (REFERENCE / "events.md").read_text()
    assert page == render_events()
    assert "| `request refused` |" in page and "`backlog_s`" in page


def read_table_rows(page: str) -> set[tuple[str, ...]]:
    lines = (REFERENCE / page).read_text().splitlines()
    cells = [[cell.strip().strip("`") for cell in line.split("|")[1:-1]] for line in lines]
    return {tuple(row) for row in cells if row}


def format_first_argument(call: ast.Call, names: dict[str, str]) -> str:
    """Return a name in the notation of the pages, with `{}` for variable parts."""
    value = call.args[0]
    if isinstance(value, ast.Name):
        return names.get(value.id, value.id)
    return re.sub(r"\{[^}]*\}", "{}", ast.unparse(value).removeprefix("f").strip("'\""))


def find_telemetry_names() -> set[tuple[str, str]]:
    """Return the type and name of every metric and span in the code."""
    found = set()
    for path in (ROOT / "marigoldtrail").rglob("*.py"):
        if "tests" in path.parts or "telemetry" in path.parts:
            continue
        nodes = list(ast.walk(ast.parse(path.read_text())))
        names = {
            node.targets[0].id: re.sub(r"\{[^}]*\}", "{}", ast.unparse(node.value)[2:-1])
            for node in nodes
            if isinstance(node, ast.Assign)
            and isinstance(node.targets[0], ast.Name)
            and isinstance(node.value, ast.JoinedStr)
        }
        for node in nodes:
            if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)):
                continue
            owner, method = ast.unparse(node.func.value), node.func.attr
            if method == "span" and owner.endswith("telemetry"):
                found.add(("span", format_first_argument(node, names)))
            elif method in METRIC_METHODS and owner.endswith("metrics"):
                found.add((METRIC_METHODS[method], format_first_argument(node, names)))
    return found


def test_metrics_page_lists_every_metric_and_span():
    """Guards against names on the page that the code does not send, and vice versa."""
    rows = read_table_rows("metrics.md")
    listed = set()
    for row in rows:
        name = re.sub(r"\{[^}]*\}", "{}", row[0])
        if row[0] not in ("name", "---"):
            listed.add((row[1] if len(row) == 4 else "span", name))
    assert listed == find_telemetry_names()


def test_api_page_lists_every_route_and_reason():
    """Guards against undocumented routes and statuses."""
    rows = read_table_rows("api.md")
    routes = {row[0] for row in rows if " /v1/" in row[0]}
    assert routes == {route.replace(" ", " /", 1) for route in api_app._ROUTES}
    statuses = {row[0]: row[1] for row in rows if row[1].isdigit()}
    expected = {}
    for reason in Reason:
        failure = Failure(reason=reason, run_state=RunState.NOT_RUN, step="example")
        expected[reason.value] = str(build_problem(failure).status)
    assert statuses == expected


def test_exit_codes_page_is_complete():
    """Guards against undocumented exit codes, and a retryable code for an invalid request."""
    rows = {(row[0], row[1]) for row in read_table_rows("exit-codes.md") if row[0].isdigit()}
    assert rows == {(str(code.value), code.name) for code in ExitCode}
    for reason in (Reason.UNKNOWN_PIPELINE, Reason.UNKNOWN_ACCOUNT, Reason.BAD_REQUEST):
        failure = Failure(reason=reason, run_state=RunState.NOT_RUN, step="example")
        assert find_exit_code(failure) is ExitCode.INVALID_INPUT


def test_messages_page_names_known_messages():
    """Guards against documented messages that were renamed or removed."""
    schemas = ("control", "records", "slots", "consensus")
    known = {title for name in schemas for title in load_schema(name)["$defs"]} | {"Failure"}
    named = {
        word
        for row in read_table_rows("messages.md")
        for word in re.findall(r"\b[A-Z][a-z]+[A-Za-z]*\b", f"{row[0]} {row[1]}")
    }
    assert len(named) > 20 and named <= known
