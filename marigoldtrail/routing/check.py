"""Validate a routing table before it is accepted."""

from __future__ import annotations

from collections import Counter

from marigoldtrail.routing.bounds import check_bounds
from marigoldtrail.routing.types import Route, RouteTable


def check_table(table: RouteTable) -> list[str]:
    """
    Return the faults of a routing table.

    Parameters
    ----------
    table : RouteTable
        The table.

    Returns
    -------
    list of str
        One message for each fault; empty if the table is valid.

    Examples
    --------
    >>> check_table(RouteTable(version=1, routes=(), services=()))
    []
    """
    services = {service.name for service in table.services}
    faults = check_bounds(table)
    if faults:
        return faults
    for route in table.routes:
        faults += check_route(route, services)
    rules = Counter((route.hostname, route.prefix) for route in table.routes)
    faults += [
        f"{count} routes have the host name {hostname!r} and the prefix {prefix!r}"
        for (hostname, prefix), count in rules.items()
        if count > 1
    ]
    keys = Counter(key for account in table.accounts or () for key in set(account.keys))
    shared = sum(count > 1 for count in keys.values())
    if shared:
        # The keys are secrets and must not appear in messages or logs.
        faults.append(f"{shared} keys belong to more than one client account")
    return faults


def check_route(route: Route, services: set[str]) -> list[str]:
    """
    Return the faults of a route.

    Parameters
    ----------
    route : Route
        The route.
    services : set of str
        Names of all services.

    Returns
    -------
    list of str
        One message for each fault; empty if the route is valid.
    """
    faults = []
    named = {target.service for target in route.targets} | {s.service for s in route.stages}
    for service in sorted(named - services):
        faults.append(f"route {route.name!r} names the unknown service {service!r}")
    if sum(target.weight for target in route.targets) <= 0:
        faults.append(f"the weights of route {route.name!r} add up to 0")
    if any(target.weight < 0 for target in route.targets):
        faults.append(f"route {route.name!r} has a negative weight")
    if route.timeout_s <= 0:
        faults.append(f"the timeout of route {route.name!r} is not positive")
    count = len(route.stages)
    for number, stage in enumerate(route.stages):
        if any(not 0 <= other < count for other in stage.after):
            faults.append(f"stage {number} of route {route.name!r} follows an unknown stage")
    if not faults and has_cycle([stage.after for stage in route.stages]):
        faults.append(f"the stages of route {route.name!r} wait for each other")
    return faults


def has_cycle(after: list[tuple[int, ...]]) -> bool:
    """
    Return whether the dependencies between stages contain a cycle.

    Parameters
    ----------
    after : list of tuple of int
        For each stage the numbers of the stages that it depends on.

    Returns
    -------
    bool
        True if the stages cannot be ordered.

    Examples
    --------
    >>> has_cycle([(), (0,)]), has_cycle([(1,), (0,)])
    (False, True)
    """
    done: set[int] = set()
    while len(done) < len(after):
        ready = {n for n, others in enumerate(after) if n not in done and done.issuperset(others)}
        if not ready:
            return True
        done |= ready
    return False
