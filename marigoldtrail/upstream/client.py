"""Calls to model engines, pools and services."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import msgspec
import trio
from opentelemetry import trace

from marigoldtrail.errors import Failure, Reason
from marigoldtrail.net import Network
from marigoldtrail.schema.generated.manifest import Upstream
from marigoldtrail.schema.generated.slots import SlotGrant
from marigoldtrail.telemetry import Telemetry, mark_failure
from marigoldtrail.timers import Timers
from marigoldtrail.upstream.connections import (
    EXCHANGE_ERRORS,
    Connection,
    ConnectionPool,
    RawAnswer,
)
from marigoldtrail.upstream.connector import (
    DECODE_ERRORS,
    Connector,
    error_status_failure,
    may_have_run_failure,
)
from marigoldtrail.upstream.gate import (
    EvidenceHandler,
    Gate,
    StatusView,
    parse_answer_headers,
    resolve_slot,
)
from marigoldtrail.upstream.messages import (
    WireAnswer,
    encode_call,
    encode_completion,
    find_mismatch,
)
from marigoldtrail.upstream.queries import UpstreamQueries
from marigoldtrail.upstream.tokens import EngineStream
from marigoldtrail.upstream.types import StageAnswer, StageCall

_decode_answer = msgspec.json.Decoder(WireAnswer).decode


class UpstreamClient(UpstreamQueries):
    """
    Calls upstreams over connections that are bound to one instance each.

    The client never repeats a call. A `Failure` is ``NOT_RUN`` only if no byte of the call can have
    left this process.

    Parameters
    ----------
    network : Network
        Opens the connections.
    timers : Timers
        Clock.
    view : StatusView
        States of the upstreams, for example a `marigoldtrail.fleet.FleetView`.
    telemetry : Telemetry
        Spans, metrics and decisions.
    on_evidence : callable
        Called with upstream, instance, state and reason on evidence that an upstream is not warm;
        must not block.

    See Also
    --------
    marigoldtrail.standins : Stand-ins of upstreams, for tests and trials.
    """

    __slots__ = ("_timers", "_telemetry", "_gate")

    def __init__(
        self,
        *,
        network: Network,
        timers: Timers,
        view: StatusView,
        telemetry: Telemetry,
        on_evidence: EvidenceHandler,
    ) -> None:
        self._timers = timers
        self._telemetry = telemetry

        def record_evidence(upstream: str, instance: str, state: str, reason: str) -> None:
            telemetry.decisions.add("evidence", upstream, reason, instance=instance, state=state)
            on_evidence(upstream, instance, state, reason)

        gate = Gate(view=view, timers=timers, on_evidence=record_evidence)
        self._gate = gate
        super().__init__(connector=Connector(network=network, timers=timers, gate=gate))

    def needs_slot(self, upstream: Upstream) -> bool:
        """
        Tell whether a call needs a slot, by the view and by evidence of this node.

        Parameters
        ----------
        upstream : Upstream
            The upstream.

        Returns
        -------
        bool
            True if it is not known to be warm.
        """
        return self._gate.needs_slot(upstream, self._connector.pool_of(upstream))

    async def call(
        self,
        upstream: Upstream,
        request: StageCall,
        *,
        timeout_s: float,
        may_repeat: bool,
        slot: SlotGrant | None = None,
    ) -> StageAnswer | Failure:
        """
        Call a pool or a service once.

        Parameters
        ----------
        upstream : Upstream
            Upstream to call.
        request : StageCall
            The call.
        timeout_s : float
            Longest wait in seconds, connecting included.
        may_repeat : bool
            Whether the stage is idempotent. Only an attribute of the span: no call is repeated
            here, and every connection is checked right before its use.
        slot : SlotGrant or None
            Slot on an upstream that is not warm; valid for its instance only.

        Returns
        -------
        StageAnswer or Failure
            The answer, verified to belong to this call.
        """
        step = f"stage.{request.stage}.attempt"
        slot = resolve_slot(upstream, request, slot)
        with self._telemetry.span(
            "upstream.call",
            upstream=upstream.name,
            attempt_id=request.attempt_id,
            may_repeat=may_repeat,
        ) as span:
            pool = self._connector.pool_of(upstream)
            conn: Connection | None = None
            with trio.move_on_after(timeout_s):
                found = await self._connector.connect(upstream, pool, step, slot)
                if isinstance(found, Failure):
                    mark_failure(span, found)
                    return found
                conn = found
                body = encode_call(request)
                answer = await self._connector.exchange(
                    upstream,
                    pool,
                    conn,
                    "POST",
                    request.path,
                    body,
                    step,
                    build_trace_headers(span),
                )
                result = self._read_answer(upstream, pool, conn, request, answer, step, slot)
                if isinstance(result, Failure):
                    mark_failure(span, result)
                    await conn.aclose()
                else:
                    await pool.release(conn)
                return result
            failure = await self._connector.handle_timeout(upstream, pool, conn, step)
            mark_failure(span, failure)
            return failure

    def _read_answer(
        self,
        upstream: Upstream,
        pool: ConnectionPool,
        conn: Connection,
        request: StageCall,
        answer: RawAnswer | Failure,
        step: str,
        slot: SlotGrant | None,
    ) -> StageAnswer | Failure:
        if isinstance(answer, Failure):
            return answer
        instance, state, load = parse_answer_headers(answer)
        self._gate.check_answer(upstream, pool, conn, instance, state, slot)
        if answer.status != 200:
            return error_status_failure(upstream, step, answer)
        try:
            wire = _decode_answer(answer.body)
        except DECODE_ERRORS as exc:
            return may_have_run_failure(upstream, step, Reason.BAD_ANSWER, str(exc))
        mismatch = find_mismatch(request, wire)
        if mismatch or wire.stage not in ("", request.stage):
            detail = mismatch or f"stage is {wire.stage!r}; expected {request.stage!r}"
            return may_have_run_failure(upstream, step, Reason.BAD_ANSWER, detail)
        return StageAnswer(
            request_id=wire.request_id,
            attempt_id=wire.attempt_id,
            client_account=wire.client_account,
            output=wire.output,
            instance=instance or conn.instance,
            state=state,
            load=load,
            stage=wire.stage,
        )

    @asynccontextmanager
    async def stream(
        self,
        upstream: Upstream,
        request: StageCall,
        *,
        timeout_s: float,
        slot: SlotGrant | None = None,
    ) -> AsyncIterator[EngineStream | Failure]:
        """
        Open a generation at an engine; leaving the context early cancels it.

        Parameters
        ----------
        upstream : Upstream
            The engine.
        request : StageCall
            The call; `resume_from` tokens are skipped.
        timeout_s : float
            Longest duration of the whole stream in seconds, connecting included.
        slot : SlotGrant or None
            Slot on an engine that is not warm.

        Yields
        ------
        EngineStream or Failure
            The stream, or the failure to open it.
        """
        step = f"stage.{request.stage}.attempt"
        slot = resolve_slot(upstream, request, slot)
        deadline = self._timers.now() + timeout_s
        with self._telemetry.span(
            "upstream.stream",
            upstream=upstream.name,
            attempt_id=request.attempt_id,
            resume_from=request.resume_from,
        ) as span:
            opened = await self._open_stream(
                upstream, request, deadline, step, slot, build_trace_headers(span)
            )
            if isinstance(opened, Failure):
                mark_failure(span, opened)
                yield opened
                return
            try:
                yield opened
            finally:
                with trio.CancelScope(shield=True):
                    await opened.aclose()

    async def _open_stream(
        self,
        upstream: Upstream,
        request: StageCall,
        deadline: float,
        step: str,
        slot: SlotGrant | None,
        headers: list[tuple[bytes, bytes]],
    ) -> EngineStream | Failure:
        pool = self._connector.pool_of(upstream)
        conn: Connection | None = None
        with trio.move_on_at(deadline):
            found = await self._connector.connect(upstream, pool, step, slot)
            if isinstance(found, Failure):
                return found
            conn = found
            body = encode_completion(request)
            try:
                response = await conn.open("POST", "/v1/completions", body, headers)
            except EXCHANGE_ERRORS as exc:
                return self._connector.handle_broken_exchange(upstream, pool, conn, step, exc)
            return await self._start_stream(
                upstream, pool, conn, request, response, step, slot, deadline
            )
        return await self._connector.handle_timeout(upstream, pool, conn, step)

    async def _start_stream(
        self,
        upstream: Upstream,
        pool: ConnectionPool,
        conn: Connection,
        request: StageCall,
        response: Any,
        step: str,
        slot: SlotGrant | None,
        deadline: float,
    ) -> EngineStream | Failure:
        head = RawAnswer(
            response.status, {name.lower(): value for name, value in response.headers}, b""
        )
        instance, state, load = parse_answer_headers(head)
        self._gate.check_answer(upstream, pool, conn, instance, state, slot)
        if response.status != 200:
            await conn.aclose()
            return error_status_failure(upstream, step, head)

        async def release(is_complete: bool, may_still_run: bool) -> None:
            if is_complete:
                await pool.release(conn)
                return
            await conn.aclose()
            if may_still_run:
                await self.cancel(upstream, request.attempt_id)
            else:
                pool.has_abnormal_close = True

        stream = EngineStream(
            conn=conn,
            response=response,
            call=request,
            peer=upstream.name,
            step=step,
            deadline=deadline,
            release=release,
        )
        stream.instance = instance or conn.instance
        stream.state = state
        stream.load = load
        stream.start_deadline_watch()
        return stream

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self._connector.aclose()


def build_trace_headers(span: trace.Span) -> list[tuple[bytes, bytes]]:
    """
    Return the headers that carry a span's context to an upstream.

    Parameters
    ----------
    span : opentelemetry.trace.Span
        Span of the call.

    Returns
    -------
    list of tuple
        The ``traceparent`` header; empty without a recording tracer.
    """
    context = span.get_span_context()
    if not context.is_valid:
        return []
    value = f"00-{context.trace_id:032x}-{context.span_id:016x}-{int(context.trace_flags):02x}"
    return [(b"traceparent", value.encode())]
