"""Live feed of decisions over pynng PUB/SUB; optional and lossy, off the path of requests."""

from __future__ import annotations

import logging
from collections.abc import AsyncGenerator, Callable

import msgspec

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net import Address
from marigoldtrail.schema.generated.control import Decision
from marigoldtrail.telemetry.decisions import DecisionLog

# pynng starts about 30 threads when it is imported, so that only processes with a feed import it.

_log = logging.getLogger(__name__)


def start_feed(decisions: DecisionLog, address: str) -> Callable[[], None]:
    """
    Publish each new decision; an error of the socket costs the feed only.

    Parameters
    ----------
    decisions : DecisionLog
        Where decisions come from.
    address : str
        IP address and port to listen on; empty for no feed.

    Returns
    -------
    callable
        Closes the feed.
    """
    if not address:
        return lambda: None
    import pynng

    try:
        socket = pynng.Pub0(listen=f"tcp://{Address.parse(address)}")
    except (ValueError, pynng.NNGException) as exc:
        _log.error("no feed of decisions on %s: %s", address, exc)
        return lambda: None

    def publish(decision: Decision) -> None:
        try:
            socket.send(msgspec.json.encode(decision), block=False)
        except pynng.NNGException as exc:
            _log.debug("a decision is missing in the feed: %s", exc)

    decisions.subscribe(publish)
    return socket.close


async def follow_feed(address: Address) -> AsyncGenerator[Decision | Failure, None]:
    """
    Receive the decisions of one node as they are taken.

    Parameters
    ----------
    address : Address
        The node's ``events_address``.

    Yields
    ------
    Decision or Failure
        Decisions from now on; a failure, and nothing after it, if the node cannot be reached. A
        node that comes back is followed again.
    """
    import pynng

    try:
        socket = pynng.Sub0(dial=f"tcp://{address}", block_on_dial=True, topics=b"")
    except pynng.NNGException as exc:
        yield Failure(
            reason=Reason.UNREACHABLE,
            run_state=RunState.NOT_RUN,
            step="events.connect",
            peer=str(address),
            detail=str(exc),
        )
        return
    with socket:
        while True:
            data = await socket.arecv()
            try:
                yield msgspec.json.decode(data, type=Decision)
            except msgspec.DecodeError:
                _log.warning("a message of the feed is not a decision")
