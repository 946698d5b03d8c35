"""Bounds of the numbers and names in a routing table."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TypeVar

import msgspec

from marigoldtrail.routing.types import (
    ClientAccount,
    EngineSpec,
    Limits,
    PieceSpec,
    Route,
    RouteTable,
    Service,
    StageSpec,
    Target,
)

Part = TypeVar("Part", bound=msgspec.Struct)

# Larger documents are parsed in a thread, since parsing many routes would delay heartbeats.
MAX_INLINE_PARSE_BYTES = 65536
# Largest integer that all readers of JSON represent exactly; messages hold up to 2**63 - 1.
MAX_INTEGER = 2**53
MAX_COUNT = 2**31 - 1
MAX_RATE = 1e9
# A week.
MAX_TIME_S = 7 * 86_400.0
MIN_TIMEOUT_S = 0.001
MAX_NAME_CHARS = 256
MAX_STAGES = 256

# Lowest and highest value of each number.
BOUNDS: dict[type, dict[str, tuple[float, float]]] = {
    RouteTable: {"version": (1, MAX_INTEGER)},
    Route: {
        "timeout_s": (0, MAX_TIME_S),
        "target_latency_s": (0, MAX_TIME_S),
        "max_gap_s": (0, MAX_TIME_S),
        "priority": (-MAX_COUNT, MAX_COUNT),
        "max_attempts": (1, MAX_COUNT),
    },
    Target: {"weight": (0, MAX_RATE)},
    StageSpec: {"result_bytes": (0, MAX_INTEGER)},
    Service: {
        "max_connections": (1, MAX_COUNT),
        "cold_start_s": (0, MAX_TIME_S),
        "max_cold_requests_per_s": (0, MAX_RATE),
    },
    EngineSpec: {"slots": (1, MAX_COUNT), "kv_cache_tokens": (0, MAX_INTEGER)},
    PieceSpec: {
        "slots": (1, MAX_COUNT),
        "queue": (0, MAX_COUNT),
        "batch": (1, MAX_COUNT),
        "call_overhead_s": (0, MAX_TIME_S),
        "item_s": (0, MAX_TIME_S),
        "result_capacity_bytes": (0, MAX_INTEGER),
        "result_retention_s": (0, MAX_TIME_S),
    },
    Limits: {
        "max_header_bytes": (1, MAX_COUNT),
        "max_body_bytes": (0, MAX_INTEGER),
        "header_timeout_s": (MIN_TIMEOUT_S, MAX_TIME_S),
        "idle_timeout_s": (MIN_TIMEOUT_S, MAX_TIME_S),
    },
    ClientAccount: {"priority": (-MAX_COUNT, MAX_COUNT)},
}


def check_bounds(table: RouteTable) -> list[str]:
    """
    Return the faults of the numbers, names and sizes in a routing table.

    Parameters
    ----------
    table : RouteTable
        The table.

    Returns
    -------
    list of str
        One message for each fault.

    Examples
    --------
    >>> check_bounds(RouteTable(version=2**64, routes=(), services=()))
    ['version of the table is not from 1 to 9007199254740992']
    """
    faults = []
    for where, part in _list_parts(table):
        for field, (low, high) in BOUNDS[type(part)].items():
            value = getattr(part, field)
            if value is not None and not low <= value <= high:
                faults.append(f"{field} of {where} is not from {low} to {high}")
    named = [
        *(("route", route.name) for route in table.routes),
        *(("service", service.name) for service in table.services),
        *(("client account", account.name) for account in table.accounts or ()),
    ]
    faults += [
        f"the name {name!r} of a {kind} is empty, too long, or not printable"
        for kind, name in named
        if not _is_name(name)
    ]
    faults += [
        f"route {route.name!r} has more than {MAX_STAGES} stages, or a stage repeats another one"
        for route in table.routes
        if len(route.stages) > MAX_STAGES
        or any(len(set(stage.after)) < len(stage.after) for stage in route.stages)
    ]
    return faults


def _list_parts(table: RouteTable) -> Iterator[tuple[str, msgspec.Struct]]:
    yield "the table", table
    yield "the limits", table.limits
    for route in table.routes:
        yield f"route {route.name!r}", route
        for target in route.targets:
            yield f"service {target.service!r} in route {route.name!r}", target
        for number, stage in enumerate(route.stages):
            yield f"stage {number} of route {route.name!r}", stage
    for service in table.services:
        for spec in (service, service.engine, service.pieces):
            if spec is not None:
                yield f"service {service.name!r}", spec
    for account in table.accounts or ():
        yield f"client account {account.name!r}", account


def _is_name(text: str) -> bool:
    """Return whether a text can be a name in logs, metrics and the value of a header."""
    return 0 < len(text) <= MAX_NAME_CHARS and text.isprintable() and text == text.strip()


def clamp_table(table: RouteTable) -> RouteTable:
    """
    Return a table whose numbers are within their bounds, except its version.

    Parameters
    ----------
    table : RouteTable
        A table that a release without these bounds has accepted.

    Returns
    -------
    RouteTable
        The table with the nearest allowed numbers.
    """
    return msgspec.structs.replace(
        table,
        limits=_clamp(table.limits),
        routes=tuple(
            msgspec.structs.replace(
                _clamp(route),
                targets=tuple(map(_clamp, route.targets)),
                stages=tuple(map(_clamp, route.stages)),
            )
            for route in table.routes
        ),
        services=tuple(
            msgspec.structs.replace(
                _clamp(service),
                engine=service.engine and _clamp(service.engine),
                pieces=service.pieces and _clamp(service.pieces),
            )
            for service in table.services
        ),
        accounts=table.accounts and tuple(map(_clamp, table.accounts)),
    )


def _clamp(part: Part) -> Part:
    changes = {}
    for field, (low, high) in BOUNDS[type(part)].items():
        value = getattr(part, field)
        if value is not None and not low <= value <= high:
            changes[field] = low if value < low else high
    return msgspec.structs.replace(part, **changes) if changes else part
