"""Interface of a platform adapter."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from marigoldtrail.pieces import PieceCall
from marigoldtrail.registry.fleet_state import ParseDocument
from marigoldtrail.relay import ConnectionPool, HeaderCodec
from marigoldtrail.relay.endpoints import Handler
from marigoldtrail.site.lookup import FindEntries

if TYPE_CHECKING:
    # Entries do not load what only control hosts run.
    from marigoldtrail.registry.service import ReadUpstreams
    from marigoldtrail.site.operations import Operations


class Adapter(msgspec.Struct, kw_only=True, frozen=True):
    """
    Functions that translate between marigoldtrail and a platform.

    Parameters
    ----------
    header_codec : HeaderCodec
        Translates the headers of requests and answers.
    parse_document : callable
        Decodes a configuration document.
    make_list_reader : callable
        Returns a function that reads the list of upstreams at an address; it calls the given one
        with the reason for each entry that is left out.
    make_piece_call : callable
        Returns the calls that run pieces and free their results.
    make_operator_handler, make_lookup_handler, make_ready_handler : callable
        Return the handlers of the endpoints for operators, address look-ups and readiness checks.
    """

    header_codec: HeaderCodec
    parse_document: ParseDocument
    make_list_reader: Callable[[ConnectionPool, str, Callable[[str], None]], ReadUpstreams]
    make_piece_call: Callable[[ConnectionPool], PieceCall]
    make_operator_handler: Callable[[Operations], Handler]
    make_lookup_handler: Callable[[FindEntries], Handler]
    make_ready_handler: Callable[[Callable[[], bool]], Handler]
