"""Routing of callers' requests to services and their upstreams."""

from marigoldtrail.routing.check import check_table
from marigoldtrail.routing.table import RouteIndex, build_index
from marigoldtrail.routing.types import (
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
    Upstream,
)

__all__ = [
    "ClientAccount",
    "EngineSpec",
    "Limits",
    "PieceSpec",
    "Route",
    "RouteIndex",
    "RouteKind",
    "RouteTable",
    "Service",
    "StageSpec",
    "Target",
    "Upstream",
    "build_index",
    "check_table",
]
