"""HTTP reader of the platform's host list."""

from __future__ import annotations

import httpcore

from marigoldtrail.api.client import read_body
from marigoldtrail.control import HostList, ReadHosts, parse_host_list
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.schema import Fault

STEP = "platform.hosts"


def make_host_reader(url: str) -> ReadHosts | None:
    """
    Return a function that reads the platform's host list.

    Parameters
    ----------
    url : str
        URL of the list; empty if there is none.

    Returns
    -------
    callable or None
        Asynchronous function that returns a `HostList` or a `Failure`; None without a URL.
    """
    if not url:
        return None
    pool = httpcore.AsyncConnectionPool(retries=0)

    async def read_hosts() -> HostList | Failure:
        try:
            async with pool.stream("GET", url) as response:
                data = await read_body(response)
                status = response.status
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as exc:
            return refuse(Reason.UNREACHABLE, str(exc) or type(exc).__name__)
        if status != 200:
            return refuse(Reason.UPSTREAM_ERROR, f"HTTP status {status}")
        hosts = parse_host_list(data)
        return refuse(Reason.BAD_ANSWER, str(hosts)) if isinstance(hosts, Fault) else hosts

    def refuse(reason: Reason, detail: str) -> Failure:
        return Failure(
            reason=reason, run_state=RunState.NOT_RUN, step=STEP, peer=url, detail=detail
        )

    return read_hosts
