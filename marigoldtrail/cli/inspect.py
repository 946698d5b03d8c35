"""Subcommands that send requests and inspect them: request, addresses, trace, explain, events."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any

import msgspec
import trio
import typer

from marigoldtrail.api import ApiClient, ApiStream, format_ms, format_record
from marigoldtrail.cli.context import ApiOption, JsonOption, call_api, read_input
from marigoldtrail.cli.exits import ExitCode, print_result
from marigoldtrail.errors import Failure
from marigoldtrail.net import Address
from marigoldtrail.telemetry import follow_decisions
from marigoldtrail.telemetry.history import LogEvent, explain_request, parse_lines

DIGEST_CHARS = 64


def submit_request(
    pipeline: Annotated[str, typer.Argument(help="Name of the pipeline.")],
    api: ApiOption,
    client_account: Annotated[str, typer.Option(help="Client account that sends the request.")],
    value: Annotated[str, typer.Option("--input", help="JSON input.")] = "null",
    input_file: Annotated[Path | None, typer.Option(help="File with the JSON input.")] = None,
    key: Annotated[
        str, typer.Option(help="Idempotency key under which the request runs at most once.")
    ] = "",
    deadline_ms: Annotated[
        int, typer.Option(min=0, help="Deadline in ms; 0 for the pipeline's default.")
    ] = 0,
    stream: Annotated[bool, typer.Option(help="Print tokens as they arrive.")] = False,
    as_json: JsonOption = False,
) -> None:
    """Send a request to a pipeline.

    Example: marigoldtrail request stock_question --client-account resellers
    --input '{"item": "star"}' --api 10.0.0.1:8000
    """
    text = read_input(input_file).decode(errors="replace") if input_file else value
    try:
        decoded = json.loads(text)
    except ValueError as exc:
        typer.echo(f"error: --input: {exc}", err=True)
        raise typer.Exit(ExitCode.INVALID_INPUT) from exc

    async def run(client: ApiClient) -> dict[str, Any] | Failure:
        if not stream:
            return await client.submit(
                pipeline, client_account, decoded, idempotency_key=key, deadline_ms=deadline_ms
            )
        async with client.stream(
            pipeline, client_account, decoded, idempotency_key=key, deadline_ms=deadline_ms
        ) as answer:
            return answer if isinstance(answer, Failure) else await print_tokens(answer, as_json)

    print_result(call_api(api, run), as_json=as_json)


async def print_tokens(answer: ApiStream, as_json: bool) -> dict[str, Any] | Failure:
    """
    Print the tokens of a streamed response as they arrive.

    Parameters
    ----------
    answer : ApiStream
        The streamed response.
    as_json : bool
        Whether to omit the tokens, because the result is printed as JSON.

    Returns
    -------
    dict or Failure
        Request id, text and verified end marker; the failure if the stream is incomplete.
    """
    async for _, text in answer:
        if not as_json:
            typer.echo(text, nl=False)
    if not as_json:
        typer.echo()
    if answer.failure is not None:
        return answer.failure
    return {"request_id": answer.request_id, "output": answer.text, "end": answer.end}


def list_addresses(
    api: ApiOption,
    data_centre: Annotated[str, typer.Option(help="Data centre of the caller.")] = "",
    as_json: JsonOption = False,
) -> None:
    """Print the addresses of eligible entries, best first.

    Example: marigoldtrail addresses --data-centre nbo-1 --api 10.0.0.1:8000
    """
    addresses = call_api(api, lambda client: client.list_addresses(data_centre))
    print_result(addresses, as_json=as_json, text="\n".join(addresses))


def trace_result(
    subject: Annotated[str, typer.Argument(help="Request id or digest of a result.")],
    api: ApiOption,
    as_json: JsonOption = False,
) -> None:
    """Print the records of a request, or of the requests that produced a result.

    Example: marigoldtrail trace 00f3a1... --api 10.0.0.1:8000
    """

    async def find(client: ApiClient) -> list[dict[str, Any]] | Failure:
        if len(subject) == DIGEST_CHARS:
            found = await client.get_result_records(subject)
            return found if isinstance(found, Failure) else found["records"]
        record = await client.get_request_record(subject)
        return record if isinstance(record, Failure) else [record]

    records = call_api(api, find)
    text = "\n\n".join(format_record(record) for record in records)
    print_result(records, as_json=as_json, text=text)


def explain(
    api: ApiOption = "",
    request_id: Annotated[str, typer.Option(help="Only decisions about this request.")] = "",
    upstream: Annotated[str, typer.Option(help="Only decisions about this upstream or host.")] = "",
    limit: Annotated[int, typer.Option(min=1, max=1000)] = 100,
    log_files: Annotated[
        list[Path] | None,
        typer.Option("--lines", help="Log file of a host to search instead of calling --api."),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Print automatic decisions with their reasons and inputs.

    Example: marigoldtrail explain --upstream engines-1 --api 10.0.0.1:8000
    """
    if log_files:
        explain_from_lines(log_files, request_id, as_json=as_json)
        return
    reply = call_api(
        api,
        lambda client: client.list_decisions(request_id=request_id, upstream=upstream, limit=limit),
    )
    lines = [
        f"{format_ms(item['wall_ms'])} {item['host']}: {item['kind']} {item['subject']}: "
        f"{item['reason']} {json.dumps(item['inputs'])}"
        for item in reply["decisions"]
    ]
    print_result(reply, as_json=as_json, text="\n".join(lines) or "no decisions")


def explain_from_lines(paths: list[Path], request_id: str, *, as_json: bool) -> None:
    """Print the log lines that explain the outcome of a request."""
    if not request_id:
        typer.echo("error: --lines: needs --request-id", err=True)
        raise typer.Exit(ExitCode.INVALID_INPUT)
    events: list[LogEvent] = []
    for path in paths:
        found, unreadable = parse_lines(read_input(path))
        events += found
        if unreadable:
            typer.echo(f"{path}: {unreadable} lines can't be read", err=True)
    selected = explain_request(events, request_id)
    text = "\n".join(
        f"{event.at:%H:%M:%S.%f} {event.host}: {event.message} {json.dumps(event.fields)}"
        for event in selected
    )
    values = [msgspec.to_builtins(event) for event in selected]
    print_result(values, as_json=as_json, text=text or "no line names the request")


def follow_events(
    address: Annotated[
        str, typer.Option("--address", metavar="IP:PORT", help="Setting events_address of a node.")
    ],
    limit: Annotated[
        int, typer.Option(min=0, help="Exit after this many events; 0 for no limit.")
    ] = 0,
) -> None:
    """Print the decisions of a node as they are made, one JSON object per line.

    The feed may drop events; use explain where none may be missed.

    Example: marigoldtrail events --address 10.0.0.1:9000
    """

    async def follow() -> None:
        count = 0
        async for decision in follow_decisions(address):
            print_result(decision, as_json=True)
            count += 1
            if count == limit:
                return

    try:
        Address.parse(address)
    except ValueError as exc:
        typer.echo(f"error: --address: {exc}", err=True)
        raise typer.Exit(ExitCode.INVALID_INPUT) from exc
    trio.run(follow)
