"""Tests of subcommands that need no fleet: help, settings, manifests, stand-ins, events."""

from __future__ import annotations

import json
import socket
from pathlib import Path

import pytest
import trio
import typer
import typer.main

from marigoldtrail.cli import app
from marigoldtrail.cli.tests.pages import run_program
from marigoldtrail.demo.deployments import TSVETANOV, build_manifest, write_deployment
from marigoldtrail.telemetry import DecisionLog, publish_decisions
from marigoldtrail.timers import Timers


def list_commands(group, path=()) -> list[tuple[str, ...]]:
    found = [path]
    for name, command in getattr(group, "commands", {}).items():
        found += list_commands(command, (*path, name))
    return found


@pytest.mark.parametrize("path", list_commands(typer.main.get_command(app)), ids=" ".join)
def test_every_subcommand_has_help(path):
    """Guards against a subcommand without a description, or one that cannot be loaded."""
    result = run_program([*path, "--help"])
    assert result.exit_code == 0 and "Usage" in result.output
    command = typer.main.get_command(app)
    for name in path:
        command = command.commands[name]
    assert command.help


def test_settings_check_names_file_path_value_and_allowed(tmp_path: Path):
    """Guards against a fault without its file, path, value or allowed values."""
    path = write_deployment(TSVETANOV, tmp_path)[0]
    assert run_program(["settings", "check", str(path)]).exit_code == 0
    document = json.loads(path.read_text())
    document["telemetry"]["log_level"] = "loud"
    path.write_text(json.dumps(document))
    result = run_program(["settings", "check", str(path)])
    assert result.exit_code == 2
    for part in (path.name, "$.telemetry.log_level", "'loud'", "'warning'"):
        assert part in result.output
    assert run_program(["serve", "--settings", str(path)]).exit_code == 2
    assert run_program(["control", "init", "--settings", str(path)]).exit_code == 2
    missing = run_program(["settings", "check", str(tmp_path / "missing.json")])
    assert missing.exit_code == 2 and "No such file" in missing.output


def test_manifest_validate_checks_references(tmp_path: Path):
    """Guards against accepting a manifest that the fleet refuses."""
    path = tmp_path / "manifest.json"
    document = build_manifest(TSVETANOV)
    path.write_text(json.dumps(document))
    assert run_program(["manifest", "validate", str(path)]).exit_code == 0
    document["pipelines"][0]["stages"][0]["pool"] = "nowhere"
    path.write_text(json.dumps(document))
    result = run_program(["manifest", "validate", str(path)])
    assert result.exit_code == 2 and "nowhere" in result.output


def test_demo_prepare_writes_what_the_readme_names(tmp_path: Path):
    """Guards against a README that names files that the command does not write."""
    assert run_program(["demo", "--prepare", "--folder", str(tmp_path)]).exit_code == 0
    for name in ("tsvetanov.manifest.json", "tsvetanov-4.settings.json", "kibanda.manifest.json"):
        assert (tmp_path / name).exists()


def test_standins_report_bad_manifests_and_taken_addresses(tmp_path: Path):
    """Guards against a traceback instead of an error message."""
    path = tmp_path / "manifest.json"
    path.write_text("{}")
    assert run_program(["standins", "--manifest", str(path)]).exit_code == 2
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        document = build_manifest(TSVETANOV)
        document["upstreams"] = document["upstreams"][:1]
        document["upstreams"][0]["address"] = f"127.0.0.1:{taken.getsockname()[1]}"
        path.write_text(json.dumps(document))
        result = run_program(["standins", "--manifest", str(path)])
    assert result.exit_code == 1 and "in use" in result.output


async def test_events_prints_decisions(nursery):
    """Guards against a feed that prints nothing, or an invalid address without an error."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    wrong = run_program(["events", "--address", "nowhere"])
    assert wrong.exit_code == 2 and "--address" in wrong.output
    decisions = DecisionLog(host="a", timers=Timers())
    await nursery.start(publish_decisions, decisions, address)

    async def publish() -> None:
        while True:
            decisions.add("eject", "engines-1", "slow", duration_s=2)
            await trio.sleep(0.05)

    nursery.start_soon(publish)
    arguments = ["events", "--address", address, "--limit", "2"]
    result = await trio.to_thread.run_sync(run_program, arguments)
    nursery.cancel_scope.cancel()
    assert result.exit_code == 0
    lines = [json.loads(line) for line in result.output.splitlines()]
    assert [(item["host"], item["subject"]) for item in lines] == [("a", "engines-1")] * 2
