"""Decoding of the platform's configuration documents and list of upstreams."""

from __future__ import annotations

import msgspec

from marigoldtrail.platform.entry_checks import (
    MAX_NAME_CHARS,
    UNREADABLE,
    LeftOutEntry,
    ListedInstance,
    find_invalid_field,
)
from marigoldtrail.platform.json_elements import split_elements, split_fields
from marigoldtrail.routing import (
    ClientAccount,
    EngineSpec,
    Limits,
    PieceSpec,
    Route,
    RouteKind,
    RouteTable,
    Service,
    StageSpec,
    Target,
)
from marigoldtrail.schema.generated.registry import UpstreamEntry

BYTES_PER_MB = 1_000_000
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class _Stage(msgspec.Struct):
    service: str
    after: list[int] = []
    bytes: float = 0


class _Target(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    max_attempts: int = 1
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str | None = None
    split: list[_Target] | None = None
    stages: list[_Stage] = []
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0


class _Engine(msgspec.Struct):
    slots: int
    # Tokens of running requests plus cached prompts.
    kv_capacity: int


class _Pieces(msgspec.Struct):
    slots: int
    batch: int
    call_ms: float
    item_ms: float
    queue: int = 0
    # Memory for results, despite its general name.
    headroom_mb: float = 0.0
    # Time in seconds for which a result is kept.
    handle_s: float = 0.0


class _Service(msgspec.Struct):
    name: str
    max_connections: int = 64
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: _Engine | None = None
    pieces: _Pieces | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str]
    priority: int | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


_config_decoder = msgspec.json.Decoder(_Config)


def parse_config(document: bytes) -> RouteTable | str:
    """
    Decode a configuration document.

    Parameters
    ----------
    document : bytes
        JSON document.

    Returns
    -------
    RouteTable or str
        The table, not validated yet; an error message if the document cannot be decoded.
    """
    try:
        cfg = _config_decoder.decode(document)
    except DECODE_ERRORS as exc:
        return f"config: {exc}"
    accounts = None
    # With an empty list all keys have been taken away; without a list no keys are needed.
    if cfg.tenants is not None:
        accounts = tuple(
            ClientAccount(name=item.name, keys=tuple(item.api_keys), priority=item.priority)
            for item in cfg.tenants
        )
    return RouteTable(
        version=cfg.version,
        routes=tuple(_build_route(item) for item in cfg.routes),
        services=tuple(_build_service(item) for item in cfg.services),
        limits=_build_limits(cfg.limits),
        accounts=accounts,
    )


def _build_route(item: _Route) -> Route:
    if item.split:
        targets = tuple(Target(service=part.service, weight=part.weight) for part in item.split)
    elif item.service is not None:
        targets = (Target(service=item.service, weight=1.0),)
    else:
        targets = ()
    known = item.kind in RouteKind.__members__.values()
    return Route(
        name=item.name,
        hostname=item.host.lower(),
        prefix=item.path_prefix,
        # Requests of an unknown kind, from a newer platform, must not be repeated.
        kind=RouteKind(item.kind) if known else RouteKind.UNSAFE,
        timeout_s=item.timeout_ms / 1000,
        target_latency_s=item.target_latency_ms / 1000,
        priority=item.priority,
        targets=targets,
        max_attempts=max(1, item.max_attempts),
        stages=tuple(
            StageSpec(service=s.service, after=tuple(s.after), result_bytes=round(s.bytes))
            for s in item.stages
        ),
        is_public=item.public,
        is_resumable=item.resumable,
        max_gap_s=item.gap_aim_ms / 1000,
    )


def _build_service(item: _Service) -> Service:
    engine, pieces = None, None
    if item.engine is not None:
        engine = EngineSpec(slots=item.engine.slots, kv_cache_tokens=item.engine.kv_capacity)
    if item.pieces is not None:
        pieces = PieceSpec(
            slots=item.pieces.slots,
            queue=item.pieces.queue,
            batch=item.pieces.batch,
            call_overhead_s=item.pieces.call_ms / 1000,
            item_s=item.pieces.item_ms / 1000,
            result_capacity_bytes=item.pieces.headroom_mb * BYTES_PER_MB,
            result_retention_s=item.pieces.handle_s,
        )
    return Service(
        name=item.name,
        max_connections=item.max_connections,
        cold_start_s=item.cold_start_s,
        max_cold_requests_per_s=item.cold_per_s,
        engine=engine,
        pieces=pieces,
    )


def _build_limits(item: _Limits) -> Limits:
    return Limits(
        max_header_bytes=item.max_header_bytes,
        max_body_bytes=item.max_body_bytes,
        header_timeout_s=item.header_timeout_ms / 1000,
        idle_timeout_s=item.idle_timeout_ms / 1000,
    )


class _Page(msgspec.Struct):
    instances: list[msgspec.Raw]
    next: str | None = None


_page_decoder = msgspec.json.Decoder(_Page)
_token_decoder = msgspec.json.Decoder(str | None)
_instance_decoder = msgspec.json.Decoder(ListedInstance)


def parse_page(
    body: bytes, left_out: list[LeftOutEntry] | None = None
) -> tuple[list[UpstreamEntry], str | None] | str:
    """
    Decode a page of the list of upstreams.

    Parameters
    ----------
    body : bytes
        JSON document.
    left_out : list of LeftOutEntry or None
        Takes what is left out of the page.

    Returns
    -------
    tuple or str
        The usable entries and the token of the next page, None on the last one; an error message
        if the page itself cannot be decoded. An entry that cannot be decoded, or has missing or
        invalid fields, is left out.
    """
    page = _split_page(body)
    if isinstance(page, str):
        return page
    instances, token = page
    entries = []
    for raw in instances:
        entry = parse_entry(raw)
        if isinstance(entry, UpstreamEntry):
            entries.append(entry)
        elif left_out is not None:
            left_out.append(entry)
    return entries, token


def _split_page(body: bytes) -> tuple[list[msgspec.Raw] | list[bytes], str | None] | str:
    """Return the entries of a page, not decoded, and the token of the next one."""
    try:
        page = _page_decoder.decode(body)
    except DECODE_ERRORS as exc:
        # One entry that is malformed or nested too deeply fails the decoder for the whole page.
        return _split_malformed_page(body) or f"list of upstreams: {exc}"
    return page.instances, page.next


def _split_malformed_page(body: bytes) -> tuple[list[bytes], str | None] | None:
    fields = split_fields(body)
    if fields is None:
        return None
    instances = split_elements(fields.get("instances", b""))
    if instances is None:
        return None
    try:
        return instances, _token_decoder.decode(fields.get("next", b"null"))
    except DECODE_ERRORS:
        return None


def parse_instance(raw: bytes | msgspec.Raw) -> UpstreamEntry | None:
    """
    Decode one entry of the list.

    Parameters
    ----------
    raw : bytes
        JSON object.

    Returns
    -------
    UpstreamEntry or None
        None for an entry without a usable upstream.
    """
    entry = parse_entry(raw)
    return entry if isinstance(entry, UpstreamEntry) else None


def parse_entry(raw: bytes | msgspec.Raw) -> UpstreamEntry | LeftOutEntry:
    """
    Decode one entry of the list, or tell why it cannot be used.

    Parameters
    ----------
    raw : bytes
        JSON object.

    Returns
    -------
    UpstreamEntry or LeftOutEntry
        The entry, or the reason for which it is left out.
    """
    try:
        # The decoder does not check the encoding of fields that it skips.
        item = _instance_decoder.decode(str(memoryview(raw), "utf-8"))
    except DECODE_ERRORS:
        return LeftOutEntry(reason=UNREADABLE)
    field = find_invalid_field(item)
    if field is not None:
        return LeftOutEntry(reason=field, subject=item.id[:MAX_NAME_CHARS])
    return UpstreamEntry(
        upstream=item.id,
        service=item.service,
        address=item.address,
        data_centre=item.zone,
        slots=item.slots,
        state="ready" if item.state == "ready" else "draining",
        cold_ms=max(0, round(item.cold_remaining_ms)),
        born_ms=item.born,
        version=item.version,
    )
