"""Look-ups in a routing table."""

from __future__ import annotations

import xxhash

from marigoldtrail.routing.types import ClientAccount, Route, RouteTable, Service


class RouteIndex:
    """
    Index of a routing table; created by `build_index`.

    Parameters
    ----------
    table : RouteTable
        The table.
    by_hostname : dict
        Routes of each host name, longest prefix first.
    services : dict
        Services by name.
    accounts : dict or None
        Client account by API key; None if requests carry no keys.
    """

    __slots__ = ("table", "services", "_by_hostname", "_accounts")

    def __init__(
        self,
        *,
        table: RouteTable,
        by_hostname: dict[str, list[Route]],
        services: dict[str, Service],
        accounts: dict[str, ClientAccount] | None,
    ) -> None:
        self.table = table
        self.services = services
        self._by_hostname = by_hostname
        self._accounts = accounts

    @property
    def requires_keys(self) -> bool:
        """Whether routes that are not public require the API key of a client account."""
        return self._accounts is not None

    def find_route(self, hostname: str, path: str) -> Route | None:
        """
        Return the route of a request.

        Parameters
        ----------
        hostname : str
            Host name as sent by the caller; a port is ignored.
        path : str
            Path without the query.

        Returns
        -------
        Route or None
            Route with the longest matching prefix; None if no route matches.
        """
        for route in self._by_hostname.get(normalise_hostname(hostname), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_account(self, key: str) -> ClientAccount | None:
        """
        Return the client account to which an API key belongs.

        Parameters
        ----------
        key : str
            The key.

        Returns
        -------
        ClientAccount or None
            None if the key is unknown.
        """
        return None if self._accounts is None else self._accounts.get(key)


def build_index(table: RouteTable) -> RouteIndex:
    """
    Build the index of a routing table.

    Parameters
    ----------
    table : RouteTable
        A valid table.

    Returns
    -------
    RouteIndex
        The index.
    """
    by_hostname: dict[str, list[Route]] = {}
    for route in table.routes:
        by_hostname.setdefault(route.hostname, []).append(route)
    for routes in by_hostname.values():
        routes.sort(key=lambda route: len(route.prefix), reverse=True)
    accounts = None
    if table.accounts is not None:
        accounts = {key: account for account in table.accounts for key in account.keys}
    return RouteIndex(
        table=table,
        by_hostname=by_hostname,
        services={service.name: service for service in table.services},
        accounts=accounts,
    )


def normalise_hostname(hostname: str) -> str:
    """
    Return a host name without its port, in lower case.

    Parameters
    ----------
    hostname : str
        Value of the Host header of a request.

    Returns
    -------
    str
        The name.

    Examples
    --------
    >>> normalise_hostname("Shop.Example:8080")
    'shop.example'
    """
    name, separator, port = hostname.strip().rpartition(":")
    if separator and port.isdecimal():
        return name.lower()
    return hostname.strip().lower()


def choose_service(route: Route, request_id: str) -> str:
    """
    Choose the service of a request according to the weights of the route's targets.

    Parameters
    ----------
    route : Route
        The route.
    request_id : str
        Id of the request; the same id always yields the same service.

    Returns
    -------
    str
        Name of the service.
    """
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    position = xxhash.xxh64_intdigest(request_id.encode()) / 2**64 * total
    for target in route.targets:
        position -= target.weight
        if position < 0:
            return target.service
    return next(target.service for target in reversed(route.targets) if target.weight > 0)
