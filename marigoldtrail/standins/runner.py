"""Run a stand-in in a trio task."""

from __future__ import annotations

from typing import Any, Protocol

import msgspec
import trio

from marigoldtrail.net import Address, Network
from marigoldtrail.standins.http import HttpRequest, ResponseWriter, serve_http
from marigoldtrail.standins.process import FaultSwitches, Process


class Standin(Protocol):
    """Protocol of the stand-ins that `run_standin` runs."""

    process: Process
    fault_switches: FaultSwitches
    cancel_on_disconnect: bool

    async def handle(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Handle one HTTP request."""
        ...


async def run_standin(
    standin: Standin,
    *,
    network: Network,
    address: Address,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """
    Run a stand-in until cancelled; several can run in one process.

    Parameters
    ----------
    standin : Standin
        For example an `Engine`.
    network : Network
        Network to listen on: loopback TCP or an in-memory network.
    address : Address
        Address to listen on; port 0 selects a free port, which is kept across restarts.
    task_status : trio.TaskStatus
        Started with the bound address.
    """
    started = False
    while True:
        scope = await standin.process.wait_until_alive()
        with scope:
            async with trio.open_nursery() as nursery:
                address = await nursery.start(_serve, standin, network, address)
                if not started:
                    task_status.started(address)
                    started = True


async def _serve(
    standin: Standin,
    network: Network,
    address: Address,
    *,
    task_status: trio.TaskStatus[Address],
) -> None:
    await serve_http(
        network,
        address,
        standin.handle,
        cancel_on_disconnect=standin.cancel_on_disconnect,
        task_status=task_status,
    )


async def send_answer(
    standin: Standin, reply: ResponseWriter, value: dict[str, Any], *, status: int = 200
) -> None:
    """
    Send the response to a call, with the faults set in the switches.

    Parameters
    ----------
    standin : Standin
        Stand-in whose process provides the headers and whose switches select the faults.
    reply : ResponseWriter
        Sends the response.
    value : dict
        Body of the response.
    status : int
        HTTP status.
    """
    fault_switches = standin.fault_switches
    if fault_switches.use_once("lose_answers"):
        await reply.stream.aclose()
        return
    if fault_switches.use_once("swap_answers"):
        value = {**value, "request_id": "00other", "attempt_id": "other"}
    copies = 2 if fault_switches.use_once("double_answers") else 1
    data = await reply.send_json(status, value, standin.process.headers(), copies=copies)
    if fault_switches.use_once("repeat_answers"):
        await reply.stream.send_all(data)
    if fault_switches.close_idle:
        await reply.stream.aclose()
    elif fault_switches.half_close_idle and isinstance(reply.stream, trio.abc.HalfCloseableStream):
        await reply.stream.send_eof()


def decode_body(request: HttpRequest) -> dict[str, Any]:
    """Decode the body of a request, a JSON object."""
    value: dict[str, Any] = msgspec.json.decode(request.body, type=dict[str, Any])
    return value
