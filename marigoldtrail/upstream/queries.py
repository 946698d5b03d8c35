"""Queries and orders to upstreams, which need neither a warm upstream nor a slot."""

from __future__ import annotations

from typing import TypeVar
from urllib.parse import quote

import msgspec
import trio

from marigoldtrail.errors import Failure, Reason
from marigoldtrail.schema.generated.manifest import Upstream
from marigoldtrail.upstream.connections import Connection, RawAnswer
from marigoldtrail.upstream.connector import (
    DECODE_ERRORS,
    LOAD_TIMEOUT_S,
    Connector,
    error_status_failure,
    may_have_run_failure,
)
from marigoldtrail.upstream.messages import (
    CacheEvents,
    EngineOrder,
    LoadReport,
    OrderReply,
    OutcomeReply,
)

OUTCOME_TIMEOUT_S = 3.0
ORDER_TIMEOUT_S = 5.0
KV_TIMEOUT_S = 5.0
# A cancellation is best effort: closing the connection also ends the attempt.
CANCEL_TIMEOUT_S = 0.25

REFUSED_STATUS = 409

Reply = TypeVar("Reply")


class UpstreamQueries:
    """
    Queries and orders to upstreams.

    Parameters
    ----------
    connector : Connector
        Connection pools.
    """

    __slots__ = ("_connector",)

    def __init__(self, *, connector: Connector) -> None:
        self._connector = connector

    async def cancel(self, upstream: Upstream, attempt_id: str) -> None:
        """
        Ask an engine to end an attempt; failures are ignored.

        Parameters
        ----------
        upstream : Upstream
            The engine. Pools and services have no cancel call, so nothing is sent to them.
        attempt_id : str
            The attempt.
        """
        if upstream.kind != "engine":
            return
        body = msgspec.json.encode({"attempt_id": attempt_id})
        await self._send_query(
            upstream, "POST", "/cancel", body, CANCEL_TIMEOUT_S, "upstream.cancel", may_share=True
        )

    async def read_load(
        self, upstream: Upstream, *, timeout_s: float = LOAD_TIMEOUT_S
    ) -> LoadReport | Failure:
        """
        Read the load report of an upstream.

        Parameters
        ----------
        upstream : Upstream
            The upstream.
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        LoadReport or Failure
            The report. The failure's detail is ``"refused"`` if no process listens.
        """
        step = "upstream.load"
        answer = await self._send_query(
            upstream, "GET", "/load", b"", timeout_s, step, may_share=True
        )
        return self._decode(upstream, answer, LoadReport, step)

    async def query_outcome(
        self,
        upstream: Upstream,
        outcome_path: str,
        attempt_id: str,
        *,
        timeout_s: float = OUTCOME_TIMEOUT_S,
    ) -> OutcomeReply | Failure:
        """
        Ask for the outcome of an earlier call.

        Parameters
        ----------
        upstream : Upstream
            Upstream that the call was sent to.
        outcome_path : str
            Path from the manifest.
        attempt_id : str
            Attempt of the call.
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        OutcomeReply or Failure
            Whether the call is known there, and its output.
        """
        step = "upstream.outcome"
        target = f"{outcome_path}?attempt_id={quote(attempt_id, safe='')}"
        answer = await self._send_query(upstream, "GET", target, b"", timeout_s, step)
        return self._decode(upstream, answer, OutcomeReply, step)

    async def send_order(
        self, upstream: Upstream, order: EngineOrder, *, timeout_s: float = ORDER_TIMEOUT_S
    ) -> OrderReply | Failure:
        """
        Send an order to an engine.

        Parameters
        ----------
        upstream : Upstream
            The engine.
        order : EngineOrder
            The order with its fencing number.
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        OrderReply or Failure
            Whether the engine carried it out or refused it.
        """
        step = "upstream.order"
        body = msgspec.json.encode(order)
        answer = await self._send_query(upstream, "POST", "/orders", body, timeout_s, step)
        if not isinstance(answer, Failure) and answer.status == REFUSED_STATUS:
            answer = answer._replace(status=200)
        return self._decode(upstream, answer, OrderReply, step)

    async def read_cache_events(self, upstream: Upstream, since: int) -> CacheEvents | Failure:
        """
        Read the changes of an engine's prefix cache.

        Parameters
        ----------
        upstream : Upstream
            The engine.
        since : int
            Number of the last event seen.

        Returns
        -------
        CacheEvents or Failure
            Later events; they come late and with gaps.
        """
        step = "upstream.cache_events"
        target = f"/cache-events?since={since}"
        answer = await self._send_query(
            upstream, "GET", target, b"", LOAD_TIMEOUT_S, step, may_share=True
        )
        return self._decode(upstream, answer, CacheEvents, step)

    async def export_kv(self, upstream: Upstream, prompt: str, model: str) -> bytes | Failure:
        """
        Export the KV cache of a prompt.

        Parameters
        ----------
        upstream : Upstream
            The engine that holds the cache.
        prompt, model : str
            Prompt and model of the cache.

        Returns
        -------
        bytes or Failure
            Opaque data for `import_kv`.
        """
        step = "upstream.kv_export"
        body = msgspec.json.encode({"prompt": prompt, "model": model})
        answer = await self._send_query(upstream, "POST", "/kv/export", body, KV_TIMEOUT_S, step)
        if isinstance(answer, Failure):
            return answer
        return answer.body if answer.status == 200 else error_status_failure(upstream, step, answer)

    async def import_kv(self, upstream: Upstream, data: bytes) -> None | Failure:
        """
        Import an exported KV cache.

        Parameters
        ----------
        upstream : Upstream
            The engine that receives the cache.
        data : bytes
            Data from `export_kv`.

        Returns
        -------
        None or Failure
            None once it is imported.
        """
        step = "upstream.kv_import"
        answer = await self._send_query(upstream, "POST", "/kv/import", data, KV_TIMEOUT_S, step)
        if isinstance(answer, Failure):
            return answer
        return None if answer.status == 200 else error_status_failure(upstream, step, answer)

    async def _send_query(
        self,
        upstream: Upstream,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
        step: str,
        *,
        may_share: bool = False,
    ) -> RawAnswer | Failure:
        """
        Send a query or an order and read the answer.

        These are not work: they need neither a warm upstream nor a slot. Their answers bear no
        ids, so that on a connection in use an extra answer could be taken for theirs. Only queries
        for which that does no harm may share one.
        """
        pool = self._connector.pool_of(upstream)
        conn: Connection | None = None
        with trio.move_on_after(timeout_s):
            if may_share:
                conn = await pool.acquire_idle("")
            is_bound = conn is not None
            if conn is None:
                dialled = await self._connector.dial(upstream, pool, step)
                if isinstance(dialled, Failure):
                    return dialled
                conn = dialled
            answer = await self._connector.exchange(
                upstream, pool, conn, method, target, body, step, []
            )
            if isinstance(answer, Failure) or not is_bound:
                # A new connection must not carry work before it is bound to an instance.
                await conn.aclose()
            else:
                await pool.release(conn)
            return answer
        return await self._connector.handle_timeout(upstream, pool, conn, step)

    def _decode(
        self, upstream: Upstream, answer: RawAnswer | Failure, reply_type: type[Reply], step: str
    ) -> Reply | Failure:
        if isinstance(answer, Failure):
            return answer
        if answer.status != 200:
            return error_status_failure(upstream, step, answer)
        try:
            return msgspec.json.decode(answer.body, type=reply_type)
        except DECODE_ERRORS as exc:
            return may_have_run_failure(upstream, step, Reason.BAD_ANSWER, str(exc))
