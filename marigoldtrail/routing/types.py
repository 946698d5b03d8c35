"""Types of a routing table and of the upstreams behind it."""

from __future__ import annotations

import enum

import msgspec


class RouteKind(enum.StrEnum):
    """What may be repeated of a route's requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class StageSpec(msgspec.Struct, kw_only=True, frozen=True):
    """
    Work that must be done before a request can run.

    Parameters
    ----------
    service : str
        Service that does the work.
    after : tuple of int
        Numbers of the stages whose results it reads.
    result_bytes : int
        Approximate size of one result.
    """

    service: str
    after: tuple[int, ...] = ()
    result_bytes: int = 0


class Target(msgspec.Struct, kw_only=True, frozen=True):
    """
    A service that gets a share of a route's requests.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Its share, relative to the weights of the other targets.
    """

    service: str
    weight: float


class Route(msgspec.Struct, kw_only=True, frozen=True):
    """
    What is done with requests for one path of one host name.

    Parameters
    ----------
    name : str
        Name of the route.
    hostname : str
        Host name of the requests, in lower case.
    prefix : str
        Begin of their paths.
    kind : RouteKind
        What may be repeated.
    timeout_s : float
        Longest time in seconds that a request is kept waiting.
    target_latency_s : float
        Time in seconds within which an answer is on time.
    priority : int
        Rank; 0 is the most urgent.
    targets : tuple of Target
        Services that run the requests.
    max_attempts : int
        Upstreams that may run one request.
    stages : tuple of StageSpec
        Work to be done first.
    is_public : bool
        Whether no key is needed.
    is_resumable : bool
        Whether a broken stream may be continued by another upstream.
    max_gap_s : float
        Longest pause in seconds between two events of a stream that is on time; 0 if none is set.
    """

    name: str
    hostname: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int
    stages: tuple[StageSpec, ...] = ()
    is_public: bool = False
    is_resumable: bool = False
    max_gap_s: float = 0.0

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAMING and self.is_resumable
        )


class EngineSpec(msgspec.Struct, kw_only=True, frozen=True):
    """
    Capacity of one upstream of a model engine service.

    Parameters
    ----------
    slots : int
        Requests that run at the same time.
    kv_tokens : int
        Tokens that fit into its memory.
    """

    slots: int
    kv_tokens: int


class PieceSpec(msgspec.Struct, kw_only=True, frozen=True):
    """
    Capacity of one upstream of a service that works on pieces.

    Parameters
    ----------
    slots : int
        Calls in progress at the same time.
    queue : int
        Calls that may wait there.
    batch : int
        Pieces in one call.
    call_s, item_s : float
        Duration in seconds of a call, and of each piece in it.
    room_bytes : float
        Room for results.
    keep_s : float
        Seconds for which a result is kept.
    """

    slots: int
    queue: int
    batch: int
    call_s: float
    item_s: float
    room_bytes: float
    keep_s: float


class Service(msgspec.Struct, kw_only=True, frozen=True):
    """
    A group of equal upstreams.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Connections that one upstream accepts from all hosts together.
    cold_start_s : float
        Seconds for which an upstream is cold after its start.
    cold_rate : float
        Requests a second that a cold upstream bears; 0 for no limit.
    engine : EngineSpec or None
        Set for model engines.
    pieces : PieceSpec or None
        Set for services that work on the pieces of stages.
    """

    name: str
    max_connections: int
    cold_start_s: float = 0.0
    cold_rate: float = 0.0
    engine: EngineSpec | None = None
    pieces: PieceSpec | None = None


class Limits(msgspec.Struct, kw_only=True, frozen=True):
    """
    What a caller may send and how long it may take.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Largest head and body of a request.
    header_timeout_s : float
        Seconds within which a head must be complete.
    idle_timeout_s : float
        Seconds after which an idle connection is closed.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ClientAccount(msgspec.Struct, kw_only=True, frozen=True):
    """
    A customer and its keys.

    Parameters
    ----------
    name : str
        Name of the account.
    keys : tuple of str
        Keys that its requests carry.
    priority : int or None
        Rank of its requests; None for that of the route.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class RouteTable(msgspec.Struct, kw_only=True, frozen=True):
    """
    A complete configuration.

    Parameters
    ----------
    version : int
        The highest version is in force.
    routes : tuple of Route
        All routes.
    services : tuple of Service
        All services.
    limits : Limits
        Limits of callers.
    accounts : tuple of ClientAccount or None
        None if requests carry no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = Limits()
    accounts: tuple[ClientAccount, ...] | None = None


class Upstream(msgspec.Struct, kw_only=True, frozen=True):
    """
    One process that runs requests, as the platform's list shows it.

    Parameters
    ----------
    name : str
        Identity of this start of the process.
    service : str
        Service that it belongs to.
    address : str
        IP address and port.
    data_centre : str
        Where it is.
    slots : int
        Requests that it runs at the same time.
    is_leaving : bool
        Whether it is about to stop.
    cold_until : float
        Monotonic time in seconds until which it is cold.
    born_ms : int
        Wall time of its start in milliseconds; 0 if unknown.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool = False
    cold_until: float = 0.0
    born_ms: int = 0
