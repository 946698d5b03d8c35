"""Typer application that combines all subcommands."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from marigoldtrail import __version__
from marigoldtrail.cli import check, inspect, operate, serve
from marigoldtrail.cli.context import JsonOption, load_settings, read_input
from marigoldtrail.cli.demo import run_demo_command
from marigoldtrail.cli.exits import fail_with_faults, print_result
from marigoldtrail.schema import is_site_settings, parse_site_settings

EPILOG = (
    "Exit codes: 0 done, 1 failed, 2 invalid input, 3 refused and not run, 4 may have run, "
    "5 unreachable, 6 conflict with another operator's change."
)

app = typer.Typer(
    name="marigoldtrail",
    help="Serving system for multi-stage model pipelines.",
    epilog=EPILOG,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
settings_app = typer.Typer(no_args_is_help=True, help="Check settings.")

app.add_typer(serve.control_app, name="control")
app.add_typer(operate.manifest_app, name="manifest")
app.add_typer(operate.build_service_app("data_centre", "data centre"), name="data-centre")
app.add_typer(operate.build_service_app("host", "host"), name="host")
app.add_typer(operate.build_service_app("upstream", "upstream"), name="upstream")
app.add_typer(operate.claims_app, name="claims")
app.add_typer(settings_app, name="settings")
app.add_typer(check.config_app, name="config")
app.command("serve")(serve.serve)
app.command("status")(operate.show_status)
app.command("request")(inspect.submit_request)
app.command("addresses")(inspect.list_addresses)
app.command("trace")(inspect.trace_result)
app.command("explain")(inspect.explain)
app.command("events")(inspect.follow_events)
app.command("standins")(serve.run_standins)
app.command("demo")(run_demo_command)


@settings_app.command("check")
def check_settings(
    path: Annotated[Path, typer.Argument(help="Settings file of a node.")],
    as_json: JsonOption = False,
) -> None:
    """Check a settings file and print it with its defaults.

    Settings with "seeds" are those of a host that discovers its fleet by seeds, as on the platform.

    Example: marigoldtrail settings check node.json
    """
    data = read_input(path)
    if not is_site_settings(data):
        print_result(load_settings(path), as_json=as_json)
        return
    settings = parse_site_settings(data, str(path))
    if isinstance(settings, list):
        fail_with_faults(settings)
    print_result(settings, as_json=as_json)


@app.command("version")
def show_version() -> None:
    """Print the version."""
    typer.echo(__version__)


def main() -> None:
    """Run the command-line program."""
    app()
