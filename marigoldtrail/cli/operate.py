"""Subcommands for operators: manifest, services, status and claims."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any

import typer

from marigoldtrail.api import ApiClient, format_ms
from marigoldtrail.cli.context import (
    ApiOption,
    JsonOption,
    OperatorOption,
    call_api,
    get_default_operator,
    read_input,
)
from marigoldtrail.cli.exits import ExitCode, fail_with_faults, print_result
from marigoldtrail.control import check_manifest
from marigoldtrail.errors import Failure

DEFAULT_OPERATOR = get_default_operator()

manifest_app = typer.Typer(no_args_is_help=True, help="Submit, show and validate manifests.")
claims_app = typer.Typer(no_args_is_help=True, help="List and settle claims.")

NumberOption = Annotated[
    int, typer.Option("--number", min=0, help="Number of the change; 0 for the next number.")
]
NameArgument = Annotated[str, typer.Argument(help="Name of the target.")]


@manifest_app.command("validate")
def validate_manifest(
    path: Annotated[Path, typer.Argument(help="The manifest.")], as_json: JsonOption = False
) -> None:
    """Check a manifest without submitting it.

    Example: marigoldtrail manifest validate manifest.json
    """
    checked = check_manifest(read_input(path))
    if isinstance(checked, list):
        fail_with_faults(checked)
    print_result(
        {"number": checked.manifest.number, "digest": checked.digest, "valid": True},
        as_json=as_json,
        text=f"{path}: manifest {checked.manifest.number} is valid",
    )


@manifest_app.command("submit")
def submit_manifest(
    path: Annotated[Path, typer.Argument(help="The manifest.")],
    api: ApiOption,
    operator: OperatorOption = DEFAULT_OPERATOR,
    as_json: JsonOption = False,
) -> None:
    """Submit a manifest; safe to repeat.

    Example: marigoldtrail manifest submit manifest.json --api 10.0.0.1:8000
    """
    document = read_input(path)
    reply = call_api(api, lambda client: client.submit_manifest(document, operator))
    text = f"manifest {reply['number']}: {reply['outcome']} ({reply['digest'][:12]})"
    print_result(reply, as_json=as_json, text=text)


@manifest_app.command("show")
def show_manifest(api: ApiOption, as_json: JsonOption = False) -> None:
    """Print the manifest in force.

    Example: marigoldtrail manifest show --api 10.0.0.1:8000
    """
    print_result(call_api(api, lambda client: client.show_manifest()), as_json=as_json)


def set_service(
    kind: str, name: str, state: str, api: str, operator: str, number: int, as_json: bool
) -> None:
    """
    Take a target out of service or back in, and print the outcome.

    Parameters
    ----------
    kind, name, state : str
        Kind and name of the target, and its new state.
    api, operator : str
        API address of the entry; name of the operator.
    number : int
        Number of the change; 0 for one more than the last number.
    as_json : bool
        Whether to print JSON.
    """

    async def submit(client: ApiClient) -> dict[str, Any] | Failure:
        change_number = number or await find_next_number(client, kind, name)
        if isinstance(change_number, Failure):
            return change_number
        return await client.set_service(kind, name, state, change_number, operator)

    reply = call_api(api, submit)
    print_result(
        reply,
        as_json=as_json,
        text=f"{kind} {name}: {state}, change {reply['number']}: {reply['outcome']}",
    )


async def find_next_number(client: ApiClient, kind: str, name: str) -> int | Failure:
    """
    Return the number for the next change of a target.

    Parameters
    ----------
    client : ApiClient
        Client of an entry.
    kind, name : str
        Kind and name of the target.

    Returns
    -------
    int or Failure
        One more than the number of the last change; 1 if there was none.
    """
    status = await client.get_status()
    if isinstance(status, Failure):
        return status
    numbers = [
        service["number"]
        for service in status["services"]
        if (service["kind"], service["name"]) == (kind, name)
    ]
    return max(numbers, default=0) + 1


def build_service_app(kind: str, title: str) -> typer.Typer:
    """
    Build the subcommands that take targets of one kind out of service and back in.

    Parameters
    ----------
    kind : str
        ``"data_centre"``, ``"host"`` or ``"upstream"``.
    title : str
        Human-readable name of the kind.

    Returns
    -------
    typer.Typer
        With the commands ``out`` and ``in``.
    """
    app = typer.Typer(no_args_is_help=True, help=f"Take a {title} out of service or back in.")

    @app.command("out", help=f"Take a {title} out of service; within seconds it gets no new work.")
    def take_out(
        name: NameArgument,
        api: ApiOption,
        operator: OperatorOption = DEFAULT_OPERATOR,
        number: NumberOption = 0,
        as_json: JsonOption = False,
    ) -> None:
        set_service(kind, name, "out", api, operator, number, as_json)

    @app.command("in", help=f"Take a {title} back into service.")
    def take_in(
        name: NameArgument,
        api: ApiOption,
        operator: OperatorOption = DEFAULT_OPERATOR,
        number: NumberOption = 0,
        as_json: JsonOption = False,
    ) -> None:
        set_service(kind, name, "in", api, operator, number, as_json)

    return app


def show_status(api: ApiOption, as_json: JsonOption = False) -> None:
    """Print the state of the fleet.

    Example: marigoldtrail status --api 10.0.0.1:8000
    """
    status = call_api(api, lambda client: client.get_status())
    print_result(status, as_json=as_json, text=format_status(status))


def format_status(status: dict[str, Any]) -> str:
    """
    Format the state of the fleet as human-readable text.

    Parameters
    ----------
    status : dict
        Decoded response of ``GET /v1/status``.

    Returns
    -------
    str
        A summary line, then one line for each node, service, upstream, group and order.
    """
    lines = [
        f"leader {status['leader']}, term {status['term']}, manifest {status['manifest_number']}"
    ]
    lines += [
        f"  node {node['host']:<16} {node['data_centre']:<8} {node['state']:<9} "
        f"{node['api_address']}"
        for node in status["nodes"]
    ]
    lines += [
        f"  {item['kind']} {item['name']}: {item['state']}, "
        f"change {item['number']} by {item['operator']}"
        for item in status["services"]
    ]
    lines += [
        f"  upstream {item['upstream']:<20} {item['state']:<8} {item['reason']}"
        for item in status["upstreams"]
    ]
    lines += [
        f"  group {item['group']}: leader {item['leader']}, applied {item['applied_index']} of "
        f"{item['commit_index']}, members {', '.join(item['members'])}"
        + (f", learners {', '.join(item['learners'])}" if item["learners"] else "")
        for item in status["groups"]
    ]
    lines += [
        f"  order {item['fencing']}: {item['action']} {item['model']} at {item['upstream']}: "
        f"{item['state']} {item['detail']}"
        for item in status["orders"]
    ]
    return "\n".join(lines)


@claims_app.command("list")
def list_claims(
    api: ApiOption,
    state: Annotated[
        str, typer.Option(help="State of the claims: pending, done or may_have_run.")
    ] = "may_have_run",
    client_account: Annotated[str, typer.Option(help="Only claims of this client account.")] = "",
    limit: Annotated[int, typer.Option(min=1, max=1000)] = 100,
    as_json: JsonOption = False,
) -> None:
    """List claims; those that may have run must be settled by an operator.

    Example: marigoldtrail claims list --api 10.0.0.1:8000
    """
    reply = call_api(
        api,
        lambda client: client.list_claims(state=state, client_account=client_account, limit=limit),
    )
    lines = [
        f"{claim['client_account']} {claim['idempotency_key']} {claim['stage']}: {claim['state']}, "
        f"attempt {claim['attempt_id']} at {claim['upstream']}, "
        f"opened {format_ms(claim['opened_ms'])}"
        for claim in reply["claims"]
    ]
    print_result(reply, as_json=as_json, text="\n".join(lines) or "no claims")


@claims_app.command("settle")
def settle_claim(
    client_account: Annotated[str, typer.Argument()],
    key: Annotated[str, typer.Argument(help="Idempotency key.")],
    api: ApiOption,
    stage: Annotated[str, typer.Option(help="Stage of the claim.")],
    attempt_id: Annotated[str, typer.Option(help="Id of the attempt that holds the claim.")],
    state: Annotated[str, typer.Option(help="New state: done, or not_run to allow another run.")],
    answer: Annotated[str, typer.Option(help="JSON answer to record for state done.")] = "null",
    operator: OperatorOption = DEFAULT_OPERATOR,
    as_json: JsonOption = False,
) -> None:
    """Settle a claim that may have run, after clarifying its outcome with the upstream's owner.

    Example: marigoldtrail claims settle yard-7 key-1 --stage book --attempt-id 00ab --state not_run
    --api 10.0.0.1:8000
    """
    settlement: dict[str, Any] = {
        "stage": stage,
        "attempt_id": attempt_id,
        "state": state,
        "operator": operator,
    }
    if state == "done":
        try:
            settlement["answer"] = json.loads(answer)
        except ValueError as exc:
            typer.echo(f"error: --answer: {exc}", err=True)
            raise typer.Exit(ExitCode.INVALID_INPUT) from exc
    reply = call_api(api, lambda client: client.settle_claim(client_account, key, settlement))
    print_result(reply, as_json=as_json, text=f"{client_account} {key}: {reply['state']}")
