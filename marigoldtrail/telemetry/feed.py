"""Live feed of decision events over pynng PUB/SUB."""

from __future__ import annotations

import logging
from collections.abc import AsyncIterator

import msgspec
import trio

from marigoldtrail.net import Address
from marigoldtrail.schema.generated.control import Decision
from marigoldtrail.telemetry.decisions import DecisionLog

# Further decisions are dropped, so that a slow subscriber cannot exhaust memory of the node.
MAX_QUEUED = 1000

_log = logging.getLogger(__name__)


async def publish_decisions(
    decisions: DecisionLog,
    address: str,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """
    Publish each new decision until cancelled; a failure stops the feed but not the node.

    Parameters
    ----------
    decisions : DecisionLog
        Log whose new decisions are published.
    address : str
        IP address and port to listen on.
    task_status : trio.TaskStatus
        Started once the feed listens or has failed to listen.
    """
    # Opening a socket starts 30 threads, which a node without a feed does not need.
    import pynng

    try:
        publisher = pynng.Pub0(listen=_url(address))
    except (ValueError, pynng.NNGException) as exc:
        _log.error("decision feed cannot listen on %s: %s", address, exc)
        task_status.started()
        return
    send, receive = trio.open_memory_channel[Decision](MAX_QUEUED)

    def queue(decision: Decision) -> None:
        try:
            send.send_nowait(decision)
        except trio.WouldBlock:
            return

    decisions.subscribe(queue)
    with publisher:
        task_status.started()
        async for decision in receive:
            try:
                await publisher.asend(msgspec.json.encode(decision))
            except pynng.NNGException as exc:
                _log.warning("decision about %s not published: %s", decision.subject, exc)


async def follow_decisions(address: str) -> AsyncIterator[Decision]:
    """
    Yield the decisions that a node publishes, waiting for the node if it is not running yet.

    Parameters
    ----------
    address : str
        IP address and port of the feed.

    Yields
    ------
    Decision
        Decisions published after the connection; the feed is lossy and may omit some.
    """
    import pynng

    with pynng.Sub0(topics=[b""], recv_timeout=-1) as subscriber:
        subscriber.dial(_url(address), block=False)
        while True:
            yield msgspec.json.decode(await subscriber.arecv(), type=Decision)


def _url(address: str) -> str:
    return f"tcp://{Address.parse(address)}"
