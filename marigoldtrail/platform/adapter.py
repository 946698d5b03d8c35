"""The adapter of the platform."""

from __future__ import annotations

from marigoldtrail.platform.calls import make_list_reader, make_piece_call
from marigoldtrail.platform.documents import parse_config
from marigoldtrail.platform.endpoints import (
    make_lookup_handler,
    make_operator_handler,
    make_ready_handler,
)
from marigoldtrail.platform.headers import HEADER_CODEC
from marigoldtrail.site import Adapter


def build_adapter() -> Adapter:
    """Return the adapter of the platform."""
    return Adapter(
        header_codec=HEADER_CODEC,
        parse_document=parse_config,
        make_list_reader=make_list_reader,
        make_piece_call=make_piece_call,
        make_operator_handler=make_operator_handler,
        make_lookup_handler=make_lookup_handler,
        make_ready_handler=make_ready_handler,
    )
