"""Data types of the routing table and the upstreams."""

from __future__ import annotations

import enum

import msgspec


class RouteKind(enum.StrEnum):
    """Kind of a route's requests, which decides whether they may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class StageSpec(msgspec.Struct, kw_only=True, frozen=True):
    """
    Stage that must be completed before a request can run.

    Parameters
    ----------
    service : str
        Service that runs the stage.
    after : tuple of int
        Numbers of the stages whose results this stage reads.
    result_bytes : int
        Approximate size of one result in bytes.
    """

    service: str
    after: tuple[int, ...] = ()
    result_bytes: int = 0


class Target(msgspec.Struct, kw_only=True, frozen=True):
    """
    Service that receives a share of a route's requests.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Share of the requests, relative to the weights of the other targets.
    """

    service: str
    weight: float


class Route(msgspec.Struct, kw_only=True, frozen=True):
    """
    Rule for requests with one host name and path prefix.

    Parameters
    ----------
    name : str
        Name of the route.
    hostname : str
        Host name of the requests, in lower case.
    prefix : str
        Prefix of the request paths.
    kind : RouteKind
        Kind of the requests.
    timeout_s : float
        Maximum duration of a request in seconds.
    target_latency_s : float
        Target in seconds for the response, or for the first event of a stream.
    priority : int
        Rank of the requests; 0 is the most urgent.
    targets : tuple of Target
        Services that run the requests.
    max_attempts : int
        Maximum number of upstreams that may run one request.
    stages : tuple of StageSpec
        Stages that run before the request.
    is_public : bool
        Whether requests need no API key.
    is_resumable : bool
        Whether another upstream may continue an interrupted stream.
    max_gap_s : float
        Longest permitted gap in seconds between two events of a stream; 0 if none is set.
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
        Number of requests that run concurrently.
    kv_cache_tokens : int
        Capacity of the KV cache in tokens.
    """

    slots: int
    kv_cache_tokens: int


class PieceSpec(msgspec.Struct, kw_only=True, frozen=True):
    """
    Capacity of one upstream of a service that processes pieces.

    Parameters
    ----------
    slots : int
        Number of calls that run concurrently.
    queue : int
        Number of calls that may wait in the queue.
    batch : int
        Maximum number of pieces in one call.
    call_overhead_s, item_s : float
        Fixed duration of a call and additional duration of each piece, in seconds.
    result_capacity_bytes : float
        Capacity for stored results in bytes.
    result_retention_s : float
        Retention time of a result in seconds.
    """

    slots: int
    queue: int
    batch: int
    call_overhead_s: float
    item_s: float
    result_capacity_bytes: float
    result_retention_s: float


class Service(msgspec.Struct, kw_only=True, frozen=True):
    """
    Group of equivalent upstreams.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Maximum number of connections to one upstream from all hosts together.
    cold_start_s : float
        Duration of the cold phase after the start of an upstream, in seconds.
    max_cold_requests_per_s : float
        Maximum requests per second for a cold upstream; 0 for no limit.
    engine : EngineSpec or None
        Set for model engines.
    pieces : PieceSpec or None
        Set for services that process the pieces of stages.
    """

    name: str
    max_connections: int
    cold_start_s: float = 0.0
    max_cold_requests_per_s: float = 0.0
    engine: EngineSpec | None = None
    pieces: PieceSpec | None = None


class Limits(msgspec.Struct, kw_only=True, frozen=True):
    """
    Limits on the size and duration of callers' input.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum size in bytes of the head and the body of a request.
    header_timeout_s : float
        Seconds within which a head must be received completely.
    idle_timeout_s : float
        Seconds after which an idle connection is closed.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ClientAccount(msgspec.Struct, kw_only=True, frozen=True):
    """
    Client account and its API keys.

    Parameters
    ----------
    name : str
        Name of the account.
    keys : tuple of str
        API keys of the account.
    priority : int or None
        Rank of its requests; None to use the rank of the route.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class RouteTable(msgspec.Struct, kw_only=True, frozen=True):
    """
    Complete routing configuration.

    Parameters
    ----------
    version : int
        Version number; the highest version is in force.
    routes : tuple of Route
        All routes.
    services : tuple of Service
        All services.
    limits : Limits
        Limits for callers.
    accounts : tuple of ClientAccount or None
        Client accounts; None if requests carry no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = Limits()
    accounts: tuple[ClientAccount, ...] | None = None


class Upstream(msgspec.Struct, kw_only=True, frozen=True):
    """
    Process that runs requests, as given by the platform's list of upstreams.

    Parameters
    ----------
    name : str
        Identity of one start of the process.
    service : str
        Service that it belongs to.
    address : str
        IP address and port.
    data_centre : str
        Data centre of the process.
    slots : int
        Number of requests that it runs concurrently.
    is_leaving : bool
        Whether it will stop soon.
    cold_until : float
        Monotonic time in seconds at which its cold phase ends.
    born_ms : int
        Wall-clock time of its start in milliseconds; 0 if unknown.
    version : str
        Version of its software; empty if unknown.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool = False
    cold_until: float = 0.0
    born_ms: int = 0
    version: str = ""
