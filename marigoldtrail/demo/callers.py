"""Simulated callers that look up entry addresses, cache them and send requests."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import trio

from marigoldtrail.api import ApiClient
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net import Address
from marigoldtrail.timers import Timers

ADDRESS_MAX_AGE_S = 5.0
MAX_TRIES = 4
RETRY_PAUSE_S = 0.2


class Outcome(msgspec.Struct, kw_only=True):
    """
    Outcome of one request of a caller.

    Parameters
    ----------
    pipeline, client_account, key : str
        Identify the request; the key is empty for requests that may be repeated freely.
    state : str
        ``"answered"``, ``"not_run"`` or ``"may_have_run"``.
    answer : dict or None
        The verified answer; None if there is none.
    failure : str
        Text of the failure; empty if the request was answered.
    tries : int
        Number of times that the request was sent, through different entries.
    duration_ms : int
        Time until the last reply in milliseconds, retries included.
    entry : str
        Address of the entry that the last try was sent to.
    """

    pipeline: str
    client_account: str
    key: str
    state: str
    answer: dict[str, Any] | None
    failure: str
    tries: int
    duration_ms: int
    entry: str


class Caller:
    """
    A simulated caller in one data centre.

    Parameters
    ----------
    entries : list of Address
        Addresses that the caller is configured with.
    data_centre : str
        Data centre of the caller.
    client_account : str
        Account of the caller.
    timers : Timers
        Clock.
    rng : random.Random
        Selects the order in which entries are queried for addresses.
    """

    __slots__ = (
        "client_account",
        "outcomes",
        "_entries",
        "_data_centre",
        "_timers",
        "_rng",
        "_clients",
        "_ranked_entries",
        "_ranked_at",
    )

    def __init__(
        self,
        *,
        entries: list[Address],
        data_centre: str,
        client_account: str,
        timers: Timers,
        rng: random.Random,
    ) -> None:
        self.client_account = client_account
        self.outcomes: list[Outcome] = []
        self._entries = entries
        self._data_centre = data_centre
        self._timers = timers
        self._rng = rng
        self._clients = {entry: ApiClient(address=entry) for entry in entries}
        self._ranked_entries: list[Address] = []
        self._ranked_at = float("-inf")

    async def aclose(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.aclose()

    async def get_ranked_entries(self) -> list[Address]:
        """
        Return the entry addresses, best first, from a lookup of at most `ADDRESS_MAX_AGE_S` ago.

        Returns
        -------
        list of Address
            Addresses from the lookup; the configured ones if no entry answers it.
        """
        if self._timers.now() - self._ranked_at < ADDRESS_MAX_AGE_S:
            return self._ranked_entries
        for entry in self._rng.sample(self._entries, len(self._entries)):
            answer = await self._clients[entry].list_addresses(self._data_centre)
            if not isinstance(answer, Failure) and answer:
                self._ranked_entries = [Address.parse(address) for address in answer]
                self._ranked_at = self._timers.now()
                return self._ranked_entries
        return self._entries

    async def send(
        self, pipeline: str, value: Any, *, key: str = "", stream: bool = False
    ) -> Outcome:
        """
        Send a request; retry through another entry if a repeat is safe.

        Parameters
        ----------
        pipeline : str
            Name of the pipeline.
        value : object
            JSON input.
        key : str
            Idempotency key; empty for none.
        stream : bool
            Whether to read the response as a stream.

        Returns
        -------
        Outcome
            Outcome of the request, which is also appended to `outcomes`.
        """
        started = self._timers.now()
        result: dict[str, Any] | Failure = Failure(
            reason=Reason.UNREACHABLE, run_state=RunState.NOT_RUN, step="caller"
        )
        tries = 0
        is_any_lost = False
        entry = self._entries[0]
        while tries < MAX_TRIES:
            entries = await self.get_ranked_entries()
            entry = entries[tries % len(entries)]
            tries += 1
            client = self._clients.setdefault(entry, ApiClient(address=entry))
            result = await self._send_once(client, pipeline, value, key, stream)
            if not isinstance(result, Failure):
                break
            # With an idempotency key a retry is safe, whether or not an earlier try has run.
            is_lost = result.reason in (Reason.UNREACHABLE, Reason.TIMEOUT) and bool(key)
            if result.run_state is not RunState.NOT_RUN:
                is_any_lost = True
                if not is_lost:
                    break
            self._ranked_at = float("-inf")
            await self._timers.sleep(max(RETRY_PAUSE_S, min(1.0, result.retry_after_s)))
        state = "answered"
        if isinstance(result, Failure):
            # The run state of a refusal covers its own try only; a lost earlier try may have run.
            state = (RunState.MAY_HAVE_RUN if is_any_lost else result.run_state).value
        outcome = Outcome(
            pipeline=pipeline,
            client_account=self.client_account,
            key=key,
            state=state,
            answer=None if isinstance(result, Failure) else result,
            failure=str(result) if isinstance(result, Failure) else "",
            tries=tries,
            duration_ms=int((self._timers.now() - started) * 1000),
            entry=str(entry),
        )
        self.outcomes.append(outcome)
        return outcome

    async def _send_once(
        self, client: ApiClient, pipeline: str, value: Any, key: str, stream: bool
    ) -> dict[str, Any] | Failure:
        if not stream:
            return await client.submit(pipeline, self.client_account, value, idempotency_key=key)
        async with client.stream(
            pipeline, self.client_account, value, idempotency_key=key
        ) as answer:
            if isinstance(answer, Failure):
                return answer
            async for _ in answer:
                await trio.lowlevel.checkpoint()
            if answer.failure is not None:
                return answer.failure
            return {"request_id": answer.request_id, "output": answer.text, "end": answer.end}
