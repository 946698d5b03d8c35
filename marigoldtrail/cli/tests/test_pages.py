"""Runs every command of README and of the operations pages against a small fleet."""

from __future__ import annotations

import json
import shutil
from functools import partial
from pathlib import Path

import trio

from marigoldtrail.cli.tests.pages import ROOT, find_commands, run_page, run_program
from marigoldtrail.node.tests.fleet import ProcessFleet, run_fleet
from marigoldtrail.platform.standin import encode_config, make_engine_route, make_route

# The order matters: manifest.md raises the manifest's number once, at-most-once.md stalls services.
PAGES = (
    "README.md",
    "docs/operations/data-centre.md",
    "docs/operations/config-check.md",
    "docs/operations/manifest.md",
    "docs/operations/cold-start.md",
    "docs/operations/trace.md",
    "docs/operations/lost-control-host.md",
    "docs/operations/drain.md",
    "docs/operations/upgrade.md",
    "docs/operations/backup.md",
    "docs/operations/at-most-once.md",
)
STALLED_PAGE = "docs/operations/at-most-once.md"
# Entry that the pages call, in the data centre that data-centre.md takes out of service.
ENTRY_HOST = "tsvetanov-4"
REFUSED_ADDRESS = "127.0.0.1:1"


def prepare_files(fleet: ProcessFleet, folder: Path) -> None:
    """Copy the files of the fleet to the paths that the pages use."""
    first = folder / "first"
    first.mkdir()
    text = json.dumps(fleet.manifest, indent=2)
    (first / "tsvetanov.manifest.json").write_text(text)
    for host in fleet.settings:
        shutil.copy(folder / f"{host}.json", first / f"{host}.settings.json")
    routes = [make_route("orders", "/orders", "unsafe", "desk"), make_engine_route("ask", "/ask")]
    (first / "routes.json").write_bytes(encode_config(1, routes=routes, accounts={"x": ["k"]}))


async def test_commands_of_pages(tmp_path: Path, monkeypatch) -> None:
    """Guards against pages whose commands fail or give another exit code or output than stated."""
    listed = {str(page.relative_to(ROOT)) for page in (ROOT / "docs/operations").glob("*.md")}
    assert listed | {"README.md"} == set(PAGES)
    async with run_fleet(tmp_path) as fleet:
        monkeypatch.chdir(tmp_path)
        prepare_files(fleet, tmp_path)
        api = fleet.settings[ENTRY_HOST].api_address
        run = trio.to_thread.run_sync
        faults: list[str] = []
        for page in PAGES:
            if page == STALLED_PAGE:
                for name, standin in fleet.standin_fleet.standins.items():
                    if name.startswith("booking"):
                        standin.fault_switches.stalled = True
            # Entries of a data centre put back in service serve once they receive its state.
            await fleet.wait_for(
                ENTRY_HOST, lambda client: client.list_addresses(), lambda found: api in found
            )
            commands = find_commands(ROOT / page)
            known: dict[str, str] = {}
            found = await run(partial(run_page, commands, api=api, known_ids=known))
            faults += [f"{page}: {fault}" for fault in found]
        assert not faults, "\n".join(faults)
        await run(check_exit_codes, api, tmp_path)


def check_exit_codes(api: str, folder: Path) -> None:
    """Check exit codes that are not shown on any page."""
    book = ["request", "book", "--client-account", "yard-7", "--api", api]
    cases = {
        ("request", "no_such_pipeline", "--client-account", "a", "--api", api): 2,
        (*book, "--input", "{"): 2,
        (*book, "--input-file", "missing.json"): 2,
        (*book, "--deadline-ms", "11001"): 2,
        ("status", "--api", REFUSED_ADDRESS): 5,
        ("status", "--api", "127.0.0.1"): 2,
        ("manifest", "submit", "missing.json", "--api", api): 2,
        ("host", "in", "tsvetanov-2", "--number", "1", "--api", api): 6,
        ("claims", "list", "--state", "open", "--api", api): 2,
    }
    codes = {case: run_program(list(case)).exit_code for case in cases}
    assert codes == cases
