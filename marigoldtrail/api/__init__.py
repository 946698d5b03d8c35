"""HTTP API for callers and operators, and its client."""

from marigoldtrail.api.addresses import AddressResponse, EntryAddress, rank_addresses
from marigoldtrail.api.app import build_app
from marigoldtrail.api.client import ApiClient
from marigoldtrail.api.context import ApiContext
from marigoldtrail.api.display import format_ms, format_record
from marigoldtrail.api.server import serve_api
from marigoldtrail.api.stream import ApiStream

__all__ = [
    "AddressResponse",
    "ApiClient",
    "ApiContext",
    "ApiStream",
    "EntryAddress",
    "build_app",
    "format_ms",
    "format_record",
    "rank_addresses",
    "serve_api",
]
