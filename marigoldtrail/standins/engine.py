"""Simulated model engine with continuous batching and a prefix cache."""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict, deque
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio
import xxhash

from marigoldtrail.standins.http import HttpRequest, ResponseWriter
from marigoldtrail.standins.process import FaultSwitches, Process, RunningCall
from marigoldtrail.standins.runner import decode_body
from marigoldtrail.timers import Timers

WORDS_PER_BLOCK = 16
MAX_CACHE_EVENTS = 4096

_TEXT = (
    "a and at bark brick by clay cord cut dry edge fair fold for from full glass grain green hand "
    "hem in iron item joint keep lace lamp light line list long made mark mat mill nail new no oak "
    "of on one open pale pin plain plate red ring rod sand seam set silk slate stock straw ten tin "
    "to two warp wax weft white with wood wool yarn"
)
_WORDS = _TEXT.split()

_encode = msgspec.json.Encoder().encode


def count_tokens(prompt: str, model: str, max_tokens: int) -> int:
    """Return the number of tokens that an engine generates for a prompt."""
    return min(max_tokens, 16 + xxhash.xxh64_intdigest(f"{model}\0{prompt}".encode()) % 48)


def token_text(prompt: str, model: str, index: int) -> str:
    """
    Return one token of the text generated for a prompt.

    Parameters
    ----------
    prompt, model : str
        Prompt and model of the call.
    index : int
        Number of the token, from 0.

    Returns
    -------
    str
        Token text, the same on every engine.

    Examples
    --------
    >>> token_text("hello", "m", 0) == token_text("hello", "m", 0)
    True
    """
    return (
        _WORDS[xxhash.xxh64_intdigest(f"{model}\0{index}\0{prompt}".encode()) % len(_WORDS)] + " "
    )


def generate_text(prompt: str, model: str, max_tokens: int) -> str:
    """Return the complete text generated for a prompt."""
    count = count_tokens(prompt, model, max_tokens)
    return "".join(token_text(prompt, model, index) for index in range(count))


class Batch:
    """
    Places in a running batch, assigned by priority.

    Parameters
    ----------
    size : int
        Number of places.
    """

    __slots__ = ("_free", "_waiting", "_numbers")

    def __init__(self, *, size: int) -> None:
        self._free = size
        self._waiting: list[tuple[int, int, trio.Event]] = []
        self._numbers = itertools.count()

    async def acquire(self, priority: int) -> None:
        """Wait for a place; 0 is the most urgent priority."""
        if self._free > 0:
            self._free -= 1
            return
        entry = (priority, next(self._numbers), trio.Event())
        heapq.heappush(self._waiting, entry)
        try:
            await entry[2].wait()
        except trio.Cancelled:
            if entry[2].is_set():
                self.release()
            else:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise

    def release(self) -> None:
        """Release a place, or pass it to the most urgent waiting call."""
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self._free += 1


class PrefixCache:
    """
    Cache of prompt prefix blocks with a limited size, and the events about its changes.

    Parameters
    ----------
    timers : Timers
        Clock for the times of the events.
    max_blocks : int
        Maximum number of blocks.
    event_lag_s : float
        Age at which an event is published, in seconds.
    lose_every : int
        One event in this many is lost; 0: none.
    """

    __slots__ = (
        "hits",
        "lookups",
        "_timers",
        "_max_blocks",
        "_lag_s",
        "_lose_every",
        "_blocks",
        "_events",
    )

    def __init__(
        self, *, timers: Timers, max_blocks: int, event_lag_s: float, lose_every: int
    ) -> None:
        self.hits = 0
        self.lookups = 0
        self._timers = timers
        self._max_blocks = max_blocks
        self._lag_s = event_lag_s
        self._lose_every = lose_every
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[int, float, str, str]] = deque(maxlen=MAX_CACHE_EVENTS)

    def use(self, prompt: str, model: str) -> int:
        """Store the blocks of a prompt; return how many of them were not in the cache."""
        missing = 0
        for block in compute_block_ids(prompt, model):
            self.lookups += 1
            if block in self._blocks:
                self.hits += 1
                self._blocks.move_to_end(block)
                continue
            missing += 1
            self.store(block)
        return missing

    def store(self, block: str) -> None:
        """Store a block and evict the least recently used ones beyond the limit."""
        self._blocks[block] = None
        self._add_event("stored", block)
        while len(self._blocks) > self._max_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._add_event("evicted", evicted)

    def contains(self, block: str) -> bool:
        """Return whether a block is in the cache."""
        return block in self._blocks

    def clear(self) -> None:
        """Drop all blocks, as a process restart does."""
        self._blocks.clear()

    def _add_event(self, kind: str, block: str) -> None:
        number = self._events[-1][0] + 1 if self._events else 1
        self._events.append((number, self._timers.now(), kind, block))

    def get_events_since(self, number: int) -> dict[str, Any]:
        """Return the published events after an event number, without the lost ones."""
        limit = self._timers.now() - self._lag_s
        published = [event for event in self._events if event[0] > number and event[1] <= limit]
        events = [
            {"number": event[0], "kind": event[2], "block": event[3]}
            for event in published
            if not self._lose_every or event[0] % self._lose_every
        ]
        return {"next": published[-1][0] if published else number, "events": events}


def compute_block_ids(prompt: str, model: str) -> list[str]:
    """
    Return the ids of the cacheable blocks of a prompt.

    Parameters
    ----------
    prompt, model : str
        Prompt and model of the call.

    Returns
    -------
    list of str
        One id for each full block of `WORDS_PER_BLOCK` words; each id depends on the block and on
        all words before it.
    """
    words = prompt.split()
    digest = xxhash.xxh64(model.encode())
    blocks = []
    for end in range(WORDS_PER_BLOCK, len(words) + 1, WORDS_PER_BLOCK):
        digest.update(" ".join(words[end - WORDS_PER_BLOCK : end]).encode())
        blocks.append(digest.hexdigest())
    return blocks


class Engine:
    """
    A simulated model engine.

    Parameters
    ----------
    process : Process
        Its process.
    timers : Timers
        Clock.
    token_s, prefill_s : float
        Seconds per generated token, and per prompt block that is not in the cache.
    checks_fencing : bool
        Whether orders with an outdated fencing number are refused.
    load_weights : callable or None
        Asynchronous function of a model name, awaited once for each fencing number of an order
        that loads weights; returns False if the load was refused.
    cache_blocks : int
        Size of the prefix cache in blocks.
    event_lag_s : float
        Age at which cache events are published, in seconds.
    lose_every : int
        One cache event in this many is lost; 0: none.
    """

    __slots__ = (
        "process",
        "fault_switches",
        "cancel_on_disconnect",
        "cache",
        "orders",
        "stale_orders",
        "runs",
        "cancelled",
        "_timers",
        "_token_s",
        "_prefill_s",
        "_checks_fencing",
        "_load_weights",
        "_fencing",
        "_batch",
        "_batch_instance",
        "_attempts",
    )

    def __init__(
        self,
        *,
        process: Process,
        timers: Timers,
        token_s: float = 0.01,
        prefill_s: float = 0.005,
        checks_fencing: bool = False,
        load_weights: Callable[[str], Awaitable[bool]] | None = None,
        cache_blocks: int = 1024,
        event_lag_s: float = 0.5,
        lose_every: int = 0,
    ) -> None:
        self.process = process
        self.fault_switches = FaultSwitches()
        self.cancel_on_disconnect = True
        self.cache = PrefixCache(
            timers=timers, max_blocks=cache_blocks, event_lag_s=event_lag_s, lose_every=lose_every
        )
        self.orders: list[dict[str, Any]] = []
        self.stale_orders = 0
        self.runs: dict[str, int] = {}
        self.cancelled: list[str] = []
        self._timers = timers
        self._token_s = token_s
        self._prefill_s = prefill_s
        self._checks_fencing = checks_fencing
        self._load_weights = load_weights
        self._fencing = 0
        self._attempts: dict[str, trio.CancelScope] = {}
        self._reset()

    def _reset(self) -> None:
        self._batch = Batch(size=self.process.capacity)
        self._batch_instance = self.process.instance
        self.cache.clear()

    async def handle(self, request: HttpRequest, reply: ResponseWriter) -> None:
        """Handle one HTTP request."""
        if self._batch_instance != self.process.instance:
            self._reset()
        routes = {
            ("POST", "/v1/completions"): self._complete,
            ("GET", "/load"): self._report_load,
            ("POST", "/orders"): self._handle_order,
            ("POST", "/cancel"): self._cancel,
            ("POST", "/kv/export"): self._export_kv,
            ("POST", "/kv/import"): self._import_kv,
            ("GET", "/cache-events"): self._send_cache_events,
        }
        handler = routes.get((request.method, request.path))
        if handler is None:
            await reply.send_json(404, {"detail": "no such path"}, self.process.headers())
        else:
            await handler(request, reply)

    async def _report_load(self, request: HttpRequest, reply: ResponseWriter) -> None:
        report = self.process.report(self.fault_switches.load_lag_s)
        await reply.send_json(200, report, self.process.headers())

    async def _cancel(self, request: HttpRequest, reply: ResponseWriter) -> None:
        attempt_id = str(decode_body(request)["attempt_id"])
        scope = self._attempts.get(attempt_id)
        if scope is not None:
            scope.cancel()
            self.cancelled.append(attempt_id)
        await reply.send_json(200, {"cancelled": scope is not None}, self.process.headers())

    async def _complete(self, request: HttpRequest, reply: ResponseWriter) -> None:
        call = decode_body(request)
        attempt_id = str(call["attempt_id"])
        self.runs[attempt_id] = self.runs.get(attempt_id, 0) + 1
        self.process.notify("call", call)
        running = self.process.begin_call()
        if running is None or self.fault_switches.stalled:
            await trio.sleep_forever()
            return
        scope = trio.CancelScope()
        self._attempts[attempt_id] = scope
        try:
            with scope:
                await self._generate(call, reply, running)
            if scope.cancelled_caught:
                await reply.stream.aclose()
        finally:
            self._attempts.pop(attempt_id, None)
            self.process.finish_call(running, succeeded=False)

    async def _generate(
        self, call: dict[str, Any], reply: ResponseWriter, running: RunningCall
    ) -> None:
        prompt = call["prompt"] if isinstance(call["prompt"], str) else str(call["prompt"])
        model = str(call.get("model", ""))
        count = self._count_tokens(prompt, model, int(call.get("max_tokens", 512)))
        first = int(call.get("resume_from", 0))
        batch = self._batch
        await batch.acquire(int(call.get("priority", 5)))
        try:
            missing = self.cache.use(prompt, model)
            await self._timers.sleep(self.fault_switches.delay_s + self._prefill_s * missing)
            await reply.start_stream(self.process.headers())
            for index in range(first, count):
                await self._timers.sleep(self._token_s)
                if self.fault_switches.break_after_tokens == index - first + 1:
                    await reply.stream.aclose()
                    return
                await reply.send_event(
                    self._encode_chunk(call, index, token_text(prompt, model, index))
                )
            await self._send_end(reply, running)
        finally:
            batch.release()

    def _count_tokens(self, prompt: str, model: str, max_tokens: int) -> int:
        return count_tokens(prompt, model, max_tokens)

    async def _send_end(self, reply: ResponseWriter, running: RunningCall) -> None:
        await reply.send_event(b"[DONE]")
        await reply.end_stream()
        self.process.finish_call(running, succeeded=True)

    def _encode_chunk(self, call: dict[str, Any], index: int, text: str) -> bytes:
        chunk = {
            "request_id": call["request_id"],
            "attempt_id": call["attempt_id"],
            "client_account": call["client_account"],
            "n": index,
            "text": text,
        }
        if self.fault_switches.use_once("swap_answers"):
            chunk["attempt_id"] = "other"
        return _encode(chunk)

    async def _handle_order(self, request: HttpRequest, reply: ResponseWriter) -> None:
        order = decode_body(request)
        fencing = int(order["fencing"])
        if fencing < self._fencing:
            if self._checks_fencing:
                answer = {"state": "refused", "detail": f"fencing number {self._fencing} was seen"}
                await reply.send_json(409, answer, self.process.headers())
                return
            self.stale_orders += 1
        self._fencing = max(self._fencing, fencing)
        if fencing not in (done["fencing"] for done in self.orders):
            detail = await self._execute_order(order)
            if detail:
                answer = {"state": "refused", "detail": detail}
                await reply.send_json(409, answer, self.process.headers())
                return
        await reply.send_json(200, {"state": "done", "detail": ""}, self.process.headers())

    async def _execute_order(self, order: dict[str, Any]) -> str:
        model = str(order["model"])
        load = self._load_weights if order["action"] != "change_role" else None
        if load is not None and not await load(model):
            return "the weight store refused the load"
        self.orders.append(order)
        if order["action"] == "load_model" and model not in self.process.models:
            self.process.models.append(model)
        return ""

    async def _export_kv(self, request: HttpRequest, reply: ResponseWriter) -> None:
        call = decode_body(request)
        blocks = compute_block_ids(str(call["prompt"]), str(call.get("model", "")))
        data = msgspec.msgpack.encode([block for block in blocks if self.cache.contains(block)])
        await reply.send_bytes(200, data, self.process.headers(), "application/octet-stream")

    async def _import_kv(self, request: HttpRequest, reply: ResponseWriter) -> None:
        blocks = msgspec.msgpack.decode(request.body, type=list[str])
        for block in blocks:
            self.cache.store(block)
        await reply.send_json(200, {"imported": len(blocks)}, self.process.headers())

    async def _send_cache_events(self, request: HttpRequest, reply: ResponseWriter) -> None:
        answer = self.cache.get_events_since(int(request.query.get("since", "0")))
        await reply.send_json(200, answer, self.process.headers())
