"""Human-readable text for responses of the HTTP API."""

from __future__ import annotations

from datetime import datetime
from typing import Any


def format_ms(wall_ms: int) -> str:
    """
    Format a wall-clock time.

    Parameters
    ----------
    wall_ms : int
        Milliseconds since the epoch.

    Returns
    -------
    str
        Local time in ISO 8601 format to the second.
    """
    return datetime.fromtimestamp(wall_ms / 1000).isoformat(sep=" ", timespec="seconds")


def format_record(record: dict[str, Any]) -> str:
    """
    Format a result record as human-readable text.

    Parameters
    ----------
    record : dict
        The record as decoded from a response.

    Returns
    -------
    str
        Several lines for the request and one for each stage.
    """
    lines = [
        f"request {record['request_id']} of {record['client_account']}: {record['outcome']}",
        f"  pipeline {record['pipeline']}, manifest {record['manifest_number']}, "
        f"entry {record['entry']} in {record['data_centre']}",
        f"  started {format_ms(record['started_ms'])}, "
        f"took {record['finished_ms'] - record['started_ms']} ms",
        f"  request digest {record['request_digest']}",
        f"  result digest  {record['result_digest']}",
    ]
    for stage in record["stages"]:
        model = f", {stage['model']} {stage['version']}".rstrip() if stage["model"] else ""
        lines.append(
            f"  stage {stage['stage']}: {stage['upstream']} ({stage['instance']}){model}, "
            f"attempt {stage['attempt_id']}, {stage['attempts']} tried, "
            f"{stage['duration_ms']} ms, result {stage['result_digest'][:12]}"
        )
    return "\n".join(lines)
