"""Check a routing table before it is sent: likely mistakes, and differences between versions.

Errors are those of `check_table`, for which control hosts refuse a table. Warnings are about tables
that control hosts accept.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from marigoldtrail.routing.check import check_table
from marigoldtrail.routing.table import normalise_hostname
from marigoldtrail.routing.types import ClientAccount, Route, RouteTable, Service, StageSpec
from marigoldtrail.schema.findings import (
    Difference,
    Finding,
    compare_entries,
    compare_fields,
    make_error,
    make_warning,
)

TABLE = "table"


def check_routing_config(table: RouteTable) -> list[Finding]:
    """
    Return the findings about a routing table.

    Parameters
    ----------
    table : RouteTable
        The table.

    Returns
    -------
    list of Finding
        The errors; the warnings if there are no errors.

    Examples
    --------
    >>> check_routing_config(RouteTable(version=1, routes=(), services=()))
    []
    """
    errors = [make_error("refused", _find_entry(table, text), text) for text in check_table(table)]
    if errors:
        return errors
    services = {service.name: service for service in table.services}
    found = _find_repeated("route", (route.name for route in table.routes))
    found += _find_repeated("service", (service.name for service in table.services))
    accounts = table.accounts or ()
    found += _find_repeated("client account", (account.name for account in accounts))
    for route in table.routes:
        found += _check_reach(route, table)
        found += _check_stages(route, services)
        found += _check_times(route, services)
    found += _find_unused_services(table)
    found += _check_accounts(table)
    return found


def _find_entry(table: RouteTable, message: str) -> str:
    """Return the label of the entry that a message of `check_table` names."""
    labels = [
        *(f"route {route.name!r}" for route in table.routes),
        *(f"service {service.name!r}" for service in table.services),
        *(f"client account {account.name!r}" for account in table.accounts or ()),
    ]
    return next((label for label in labels if label in message), TABLE)


def _find_repeated(kind: str, names: Iterable[str]) -> list[Finding]:
    return [
        make_warning("repeated-name", f"{kind} {name!r}", f"the name is given {count} times")
        for name, count in Counter(names).items()
        if count > 1
    ]


def _check_reach(route: Route, table: RouteTable) -> list[Finding]:
    """Find reasons for which no request can match a route."""
    entry = f"route {route.name!r}"
    found = []
    if normalise_hostname(route.hostname) != route.hostname:
        message = f"no request matches: the host name {route.hostname!r} has a port or white space"
        found.append(make_warning("never-matches", entry, message))
    if "?" in route.prefix or "#" in route.prefix:
        message = f"no request matches: a path has neither query nor fragment, {route.prefix!r} has"
        found.append(make_warning("never-matches", entry, message))
    elif route.prefix and not route.prefix.startswith("/"):
        message = f"no request matches: the prefix {route.prefix!r} does not begin with '/'"
        found.append(make_warning("never-matches", entry, message))
    elif not route.prefix:
        found += [
            make_warning("shadowed", entry, f"route {other.name!r} with prefix '/' takes all paths")
            for other in table.routes
            if other.hostname == route.hostname and other.prefix == "/"
        ]
    return found


def _check_stages(route: Route, services: dict[str, Service]) -> list[Finding]:
    """Find stages whose pieces no upstream can run."""
    return [
        make_warning(
            "stage-without-pieces",
            f"route {route.name!r}",
            f"stage {number} has service {stage.service!r}, which does not process pieces",
        )
        for number, stage in enumerate(route.stages)
        if services[stage.service].pieces is None
    ]


def _check_times(route: Route, services: dict[str, Service]) -> list[Finding]:
    """Find times of a route that contradict each other."""
    entry = f"route {route.name!r}"
    found = []
    if route.target_latency_s > route.timeout_s:
        message = f"the target of {route.target_latency_s:g} s is above the timeout"
        found.append(make_warning("target-above-timeout", entry, message))
    if route.max_gap_s > route.timeout_s:
        message = f"the permitted gap of {route.max_gap_s:g} s is above the timeout"
        found.append(make_warning("gap-above-timeout", entry, message))
    least_s = estimate_stages_s(route.stages, services)
    if least_s >= route.timeout_s:
        message = f"one piece a stage takes {least_s:g} s, the timeout is {route.timeout_s:g} s"
        found.append(make_warning("stages-above-timeout", entry, message))
    elif 0 < route.target_latency_s <= least_s:
        message = (
            f"one piece a stage takes {least_s:g} s, the target is {route.target_latency_s:g} s"
        )
        found.append(make_warning("stages-above-target", entry, message))
    return found


def estimate_stages_s(stages: tuple[StageSpec, ...], services: dict[str, Service]) -> float:
    """
    Return the least time that the stages take for a request with a piece in each of them.

    Parameters
    ----------
    stages : tuple of StageSpec
        The stages, without cycles.
    services : dict
        Services by name.

    Returns
    -------
    float
        Seconds along the longest chain of stages, each with one call of one piece and no wait.

    Examples
    --------
    >>> estimate_stages_s((), {})
    0.0
    """
    ends: dict[int, float] = {}
    while len(ends) < len(stages):
        for number, stage in enumerate(stages):
            if number not in ends and all(other in ends for other in stage.after):
                start = max((ends[other] for other in stage.after), default=0.0)
                spec = services[stage.service].pieces
                ends[number] = start + (spec.call_overhead_s + spec.item_s if spec else 0.0)
    return max(ends.values(), default=0.0)


def _find_unused_services(table: RouteTable) -> list[Finding]:
    used = {target.service for r in table.routes for target in r.targets if target.weight > 0}
    used |= {stage.service for route in table.routes for stage in route.stages}
    return [
        make_warning("unused-service", f"service {service.name!r}", "no route sends requests to it")
        for service in table.services
        if service.name not in used
    ]


def _check_accounts(table: RouteTable) -> list[Finding]:
    if table.accounts is None:
        return []
    found = [
        make_warning("no-keys", f"client account {account.name!r}", "it has no keys")
        for account in table.accounts
        if not account.keys
    ]
    closed = [route for route in table.routes if not route.is_public]
    longest = max((len(k.encode()) for a in table.accounts for k in a.keys), default=0)
    if closed and not longest:
        message = f"{len(closed)} routes need a key, and no client account has one"
        return [*found, make_warning("no-keys", TABLE, message)]
    for route in closed:
        # The size of a head counts its target and its fields, of which these are always there.
        size = longest + len(route.hostname.encode()) + len(route.prefix.encode())
        if size > table.limits.max_header_bytes:
            message = (
                f"a head with the longest key has over {size} bytes; "
                f"{table.limits.max_header_bytes} are allowed"
            )
            found.append(make_warning("head-too-small", f"route {route.name!r}", message))
    return found


def check_version(in_force: RouteTable, table: RouteTable) -> list[Finding]:
    """
    Check that a table takes the place of the one in force.

    Parameters
    ----------
    in_force, table : RouteTable
        The table in force and the one to be sent.

    Returns
    -------
    list of Finding
        An error if control hosts would ignore the table; none if the two are equal.
    """
    if table.version > in_force.version or table == in_force:
        return []
    message = f"version {table.version} has no effect while {in_force.version} is in force"
    return [make_error("version-not-higher", TABLE, message)]


def compare_tables(in_force: RouteTable, table: RouteTable) -> list[Difference]:
    """
    Return the differences between two tables; keys of client accounts are only counted.

    Parameters
    ----------
    in_force, table : RouteTable
        The table in force and the one to be sent.

    Returns
    -------
    list of Difference
        In the order of limits, routes, services and client accounts.
    """
    found = compare_fields("limits", in_force.limits, table.limits)
    for kind, before, after in (
        ("route", in_force.routes, table.routes),
        ("service", in_force.services, table.services),
    ):
        found += compare_entries(
            kind, {item.name: item for item in before}, {item.name: item for item in after}
        )
    return found + _compare_accounts(in_force, table)


def _compare_accounts(in_force: RouteTable, table: RouteTable) -> list[Difference]:
    found = []
    if (in_force.accounts is None) != (table.accounts is None):
        before, after = ("false" if t.accounts is None else "true" for t in (in_force, table))
        found.append(
            Difference(
                entry=TABLE, change="changed", field="requires_keys", before=before, after=after
            )
        )
    old, new = ({account.name: account for account in t.accounts or ()} for t in (in_force, table))
    for item in compare_entries("client account", old, new):
        if item.field != "keys":
            found.append(item)
    for name in old:
        if name in new and set(old[name].keys) != set(new[name].keys):
            found.append(_compare_keys(old[name], new[name]))
    return found


def _compare_keys(before: ClientAccount, after: ClientAccount) -> Difference:
    # The keys are secrets and must not appear in messages or logs.
    removed = len(set(before.keys) - set(after.keys))
    added = len(set(after.keys) - set(before.keys))
    return Difference(
        entry=f"client account {before.name!r}",
        change="changed",
        field="keys",
        before=f"{len(set(before.keys))} keys",
        after=f"{len(set(after.keys))} keys, {added} added and {removed} removed",
    )
