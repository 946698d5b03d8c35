"""Simulated pools (encoder, retriever, reranker) and services with side effects."""

from __future__ import annotations

from collections import Counter
from typing import Any

import trio
import xxhash

from marigoldtrail.standins.http import HttpRequest, ResponseWriter
from marigoldtrail.standins.process import FaultSwitches, Process
from marigoldtrail.standins.runner import decode_body, send_answer
from marigoldtrail.timers import Timers

VECTOR_SIZE = 8
DOCUMENTS_PER_QUERY = 5


def encode_text(text: str) -> list[float]:
    """Return a deterministic vector for a text."""
    return [
        (xxhash.xxh32_intdigest(f"{index}\0{text}".encode()) % 2000) / 1000 - 1
        for index in range(VECTOR_SIZE)
    ]


def retrieve_documents(query: str) -> list[dict[str, Any]]:
    """Return deterministic documents for a query."""
    start = xxhash.xxh32_intdigest(query.encode()) % 10_000
    return [
        {"id": f"doc-{start + index}", "text": f"document {start + index} about {query[:40]}"}
        for index in range(DOCUMENTS_PER_QUERY)
    ]


def rerank_documents(documents: list[Any]) -> list[Any]:
    """Return documents in a deterministic order."""
    return sorted(documents, key=lambda document: xxhash.xxh32_intdigest(str(document).encode()))


def compute_pool_output(kind: str, value: Any) -> Any:
    """
    Compute the output of a pool.

    Parameters
    ----------
    kind : str
        ``"encoder"``, ``"retriever"`` or ``"reranker"``.
    value : object
        Input of the call.

    Returns
    -------
    object
        Output; it keeps the text of the input as ``query`` for later stages.
    """
    value = extract_request_input(value)
    fields = value if isinstance(value, dict) else {"query": value}
    query = str(fields.get("query", ""))
    if kind == "encoder":
        return {**fields, "query": query, "vector": encode_text(query)}
    if kind == "retriever":
        return {"query": query, "documents": retrieve_documents(query)}
    return {**fields, "query": query, "documents": rerank_documents(fields.get("documents", []))}


class PoolService:
    """
    A simulated encoder, retriever or reranker.

    Parameters
    ----------
    process : Process
        Its process.
    timers : Timers
        Clock.
    kind : str
        ``"encoder"``, ``"retriever"`` or ``"reranker"``.
    work_s : float
        Duration of a call in seconds.
    """

    __slots__ = (
        "process",
        "fault_switches",
        "cancel_on_disconnect",
        "runs",
        "_timers",
        "_kind",
        "_work_s",
    )

    def __init__(
        self, *, process: Process, timers: Timers, kind: str, work_s: float = 0.005
    ) -> None:
        self.process = process
        self.fault_switches = FaultSwitches()
        self.cancel_on_disconnect = False
        self.runs: Counter[str] = Counter()
        self._timers = timers
        self._kind = kind
        self._work_s = work_s

    async def handle(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Handle one HTTP request."""
        if request.path == "/load":
            report = self.process.report(self.fault_switches.load_lag_s)
            await reply.send_json(200, report, self.process.headers())
            return
        call = decode_call(request)
        self.runs[call["attempt_id"]] += 1
        self.process.notify("call", call)
        running = self.process.begin_call()
        if running is None or self.fault_switches.stalled:
            await trio.sleep_forever()
            return
        try:
            if delay_s := self._work_s + self.fault_switches.delay_s:
                await self._timers.sleep(delay_s)
            self.process.finish_call(running, succeeded=True)
            output = compute_pool_output(self._kind, call["input"])
            self.process.notify("output", call, output)
            answer = build_answer(call, output)
            await send_answer(self, reply, answer)
        finally:
            self.process.finish_call(running, succeeded=False)


class EffectService:
    """
    A simulated service whose calls have side effects that must not be repeated.

    The effect takes place at the end of the work, even if the caller has disconnected. The
    idempotency key is the field ``idempotency_key`` of the input, or else the request id.

    Parameters
    ----------
    process : Process
        Its process.
    timers : Timers
        Clock.
    work_s : float
        Duration of a call in seconds.
    reports_load : bool
        Whether the service answers ``GET /load``.
    reports_outcomes : bool
        Whether the service answers ``GET /outcome``.
    effect_free_paths : tuple of str
        Paths whose calls have no effect and are counted by attempt only.
    """

    __slots__ = (
        "process",
        "fault_switches",
        "cancel_on_disconnect",
        "runs_by_attempt",
        "runs_by_key",
        "effects_by_key",
        "outputs",
        "_timers",
        "_work_s",
        "_reports_load",
        "_reports_outcomes",
        "_effect_free_paths",
    )

    def __init__(
        self,
        *,
        process: Process,
        timers: Timers,
        work_s: float = 0.01,
        reports_load: bool = True,
        reports_outcomes: bool = True,
        effect_free_paths: tuple[str, ...] = ("/query",),
    ) -> None:
        self.process = process
        self.fault_switches = FaultSwitches()
        self.cancel_on_disconnect = False
        self.runs_by_attempt: Counter[str] = Counter()
        self.runs_by_key: Counter[str] = Counter()
        self.effects_by_key: Counter[str] = Counter()
        self.outputs: dict[str, Any] = {}
        self._timers = timers
        self._work_s = work_s
        self._reports_load = reports_load
        self._reports_outcomes = reports_outcomes
        self._effect_free_paths = effect_free_paths

    async def handle(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Handle one HTTP request."""
        if request.method == "GET":
            await self._handle_get(request, reply)
            return
        call = decode_call(request)
        has_effect = request.path not in self._effect_free_paths
        self.runs_by_attempt[call["attempt_id"]] += 1
        self.process.notify("call", call)
        if has_effect:
            self.runs_by_key[make_effect_key(call)] += 1
        running = self.process.begin_call()
        if running is None or self.fault_switches.stalled:
            await trio.sleep_forever()
            return
        try:
            if delay_s := self._work_s + self.fault_switches.delay_s:
                await self._timers.sleep(delay_s)
            output = self._apply_effect(call) if has_effect else {"found": call["input"]}
            self.process.notify("output", call, output)
            self.process.finish_call(running, succeeded=True)
            await send_answer(self, reply, build_answer(call, output))
        finally:
            self.process.finish_call(running, succeeded=False)

    def _apply_effect(self, call: dict[str, Any]) -> dict[str, Any]:
        self.effects_by_key[make_effect_key(call)] += 1
        output = {"receipt": f"{self.process.name}-{sum(self.effects_by_key.values())}"}
        self.outputs[call["attempt_id"]] = output
        return output

    async def _handle_get(self, request: HttpRequest, reply: ResponseWriter) -> None:
        headers = self.process.headers()
        if request.path == "/load" and self._reports_load:
            await reply.send_json(200, self.process.report(self.fault_switches.load_lag_s), headers)
        elif request.path == "/outcome" and self._reports_outcomes:
            output = self.outputs.get(request.query.get("attempt_id", ""))
            state = "not_found" if output is None else "done"
            await reply.send_json(200, {"state": state, "output": output}, headers)
        else:
            await reply.send_json(404, {"detail": "no such path"}, headers)


def decode_call(request: HttpRequest) -> dict[str, Any]:
    """
    Decode the call in a request.

    Parameters
    ----------
    request : HttpRequest
        The request.

    Returns
    -------
    dict
        Fields of the call.

    Raises
    ------
    KeyError
        If a field is missing; the call has not been counted yet.
    """
    call = decode_body(request)
    for name in ("request_id", "attempt_id", "client_account", "stage", "deadline_ms", "input"):
        call[name]
    return call


def make_effect_key(call: dict[str, Any]) -> str:
    """Return the key under which the effect of a call is counted."""
    fields = extract_request_input(call["input"])
    key = fields.get("idempotency_key") if isinstance(fields, dict) else None
    return f"{call['client_account']}/{key or call['request_id']}"


def extract_request_input(stage_input: Any) -> Any:
    """Extract the caller's input from a stage input, which may include outputs of stages."""
    if isinstance(stage_input, dict) and stage_input.keys() == {"input", "stages"}:
        return stage_input["input"]
    return stage_input


def build_answer(call: dict[str, Any], output: Any) -> dict[str, Any]:
    """Build the body of the response to a call."""
    return {
        "request_id": call["request_id"],
        "attempt_id": call["attempt_id"],
        "client_account": call["client_account"],
        "output": output,
    }
