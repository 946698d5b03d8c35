"""Subcommand that checks a configuration before it is sent."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from marigoldtrail.cli.context import ApiOption, JsonOption, call_api, read_input
from marigoldtrail.cli.exits import ExitCode
from marigoldtrail.control.config_check import (
    check_manifest_config,
    check_number,
    compare_manifests,
)
from marigoldtrail.control.validation import CheckedManifest
from marigoldtrail.platform.documents import parse_config
from marigoldtrail.routing import RouteTable
from marigoldtrail.routing.config_check import check_routing_config, check_version, compare_tables
from marigoldtrail.schema.findings import (
    Difference,
    Finding,
    Severity,
    find_malformed_json,
    make_error,
)

config_app = typer.Typer(no_args_is_help=True, help="Check configurations before they are sent.")


class Document(msgspec.Struct, kw_only=True):
    """
    A decoded configuration.

    Parameters
    ----------
    kind : str
        ``"manifest"``, or ``"routes"`` for a configuration document of the platform.
    content : CheckedManifest, RouteTable or None
        None if it cannot be decoded.
    findings : list of Finding
        Findings about it.
    """

    kind: str
    content: CheckedManifest | RouteTable | None
    findings: list[Finding]


class Report(msgspec.Struct, kw_only=True):
    """
    Result of a check, as printed with ``--json``.

    Parameters
    ----------
    file, kind : str
        The file and the kind of its document.
    version : int
        Number of the version; 0 if it cannot be read.
    valid : bool
        Whether there are no errors.
    findings : list of Finding
        Errors and warnings.
    differences : list of Difference or None
        Differences from the version in force; None if they were not asked for or cannot be told.
    """

    file: str
    kind: str
    version: int
    valid: bool
    findings: list[Finding]
    differences: list[Difference] | None = None


@config_app.command("check")
def check_config(
    path: Annotated[Path, typer.Argument(help="A manifest, or a document of the platform.")],
    against: Annotated[
        Path | None, typer.Option("--against", help="File with the version in force.")
    ] = None,
    in_force: Annotated[
        bool, typer.Option("--in-force", help="Compare with the manifest in force at --api.")
    ] = False,
    api: ApiOption = "",
    strict: Annotated[bool, typer.Option("--strict", help="Fail on warnings, too.")] = False,
    as_json: JsonOption = False,
) -> None:
    """Check a configuration without sending it, and compare it with the version in force.

    Example: marigoldtrail config check new.json --against current.json
    """
    if in_force and (against or not api):
        text = "excludes --against" if against else "needs --api"
        typer.echo(f"error: --in-force {text}", err=True)
        raise typer.Exit(ExitCode.INVALID_INPUT)
    document = decode_document(read_input(path))
    current = None
    if against:
        current = _read_in_force(read_input(against), str(against))
    elif in_force:
        reply = call_api(api, lambda client: client.show_manifest())
        current = _read_in_force(msgspec.json.encode(reply["manifest"]), api)
    report = build_report(str(path), document, current)
    _print_report(report, as_json=as_json)
    raise typer.Exit(find_report_code(report, strict=strict))


def decode_document(data: bytes) -> Document:
    """
    Decode and check a document of either kind.

    Parameters
    ----------
    data : bytes
        The document; one with a number or pipelines is a manifest.

    Returns
    -------
    Document
        The document and the findings about it.
    """
    if _is_manifest(data):
        content, findings = check_manifest_config(data)
        document = Document(kind="manifest", content=content, findings=findings)
    else:
        table = parse_config(data)
        if isinstance(table, str):
            findings = [make_error("refused", "document", table)]
            document = Document(kind="routes", content=None, findings=findings)
        else:
            document = Document(kind="routes", content=table, findings=check_routing_config(table))
    if document.content is None:
        malformed = find_malformed_json(data)
        if malformed is not None:
            document.findings = [malformed]
    return document


def _is_manifest(data: bytes) -> bool:
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        return False
    return isinstance(value, dict) and ("number" in value or "pipelines" in value)


def _read_in_force(data: bytes, source: str) -> Document:
    """Decode the version in force; print its errors and exit if it cannot be decoded."""
    document = decode_document(data)
    if document.content is None:
        for finding in document.findings:
            typer.echo(format_finding(source, finding), err=True)
        raise typer.Exit(ExitCode.INVALID_INPUT)
    return document


def build_report(file: str, document: Document, in_force: Document | None) -> Report:
    """
    Build the report about a document.

    Parameters
    ----------
    file : str
        Name of the file.
    document : Document
        The document.
    in_force : Document or None
        The version in force; None to compare with none.

    Returns
    -------
    Report
        The report.
    """
    findings, differences, version = list(document.findings), None, 0
    match document.content, in_force and in_force.content:
        case CheckedManifest() as new, CheckedManifest() as old:
            findings += check_number(old, new)
            differences = compare_manifests(old.manifest, new.manifest)
        case RouteTable() as new_table, RouteTable() as old_table:
            findings += check_version(old_table, new_table)
            differences = compare_tables(old_table, new_table)
        case (CheckedManifest(), RouteTable()) | (RouteTable(), CheckedManifest()):
            message = "the version in force is a document of another kind"
            findings.append(make_error("other-kind", "document", message))
    if isinstance(document.content, CheckedManifest):
        version = document.content.manifest.number
    elif document.content is not None:
        version = document.content.version
    return Report(
        file=file,
        kind=document.kind,
        version=version,
        valid=all(finding.severity is not Severity.ERROR for finding in findings),
        findings=findings,
        differences=differences,
    )


def find_report_code(report: Report, *, strict: bool) -> ExitCode:
    """
    Return the exit code for a report.

    Parameters
    ----------
    report : Report
        The report.
    strict : bool
        Whether warnings count as errors.

    Returns
    -------
    ExitCode
        ``CONFLICT`` if the only errors are about the version in force.
    """
    errors = [item for item in report.findings if strict or item.severity is Severity.ERROR]
    if not errors:
        return ExitCode.OK
    if all(item.code == "version-not-higher" for item in errors):
        return ExitCode.CONFLICT
    return ExitCode.INVALID_INPUT


def format_finding(file: str, finding: Finding) -> str:
    """
    Format a finding in the notation of compilers, with the position if it is known.

    Parameters
    ----------
    file : str
        Name of the file.
    finding : Finding
        The finding.

    Returns
    -------
    str
        One line.
    """
    position = f":{finding.line}:{finding.column}" if finding.line else ""
    return f"{file}{position}: {finding}"


def _print_report(report: Report, *, as_json: bool) -> None:
    if as_json:
        typer.echo(msgspec.json.encode(report).decode())
        return
    for finding in report.findings:
        is_error = finding.severity is Severity.ERROR
        typer.echo(format_finding(report.file, finding), err=is_error)
    for difference in report.differences or ():
        typer.echo(f"{report.file}: {difference}")
    if report.differences == []:
        typer.echo(f"{report.file}: no differences from the version in force")
    if report.valid:
        count = len(report.findings)
        warnings = f", {count} warning{'s' if count > 1 else ''}" if count else ""
        typer.echo(f"{report.file}: {report.kind} {report.version} is valid{warnings}")
