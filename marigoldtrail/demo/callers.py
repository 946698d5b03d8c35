"""Callers that ask for addresses, keep the answer for a while and send requests."""

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
    What one request of a caller got.

    Parameters
    ----------
    pipeline, client_account, key : str
        The request; an empty key for requests that may be repeated freely.
    state : str
        ``"answered"``, ``"not_run"`` or ``"may_have_run"``.
    answer : dict or None
        The verified answer.
    failure : str
        Why there is none.
    tries : int
        How often it was sent, through different entries.
    duration_ms : int
        Time until the last reply.
    entry : str
        Address that gave the last reply.
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
    A caller in one data centre.

    Parameters
    ----------
    entries : list of Address
        Addresses that it knows from the start.
    data_centre : str
        Where it is.
    client_account : str
        Its account.
    timers : Timers
        Clock.
    rng : random.Random
        Chooses the entry that is asked for addresses.
    """

    __slots__ = (
        "client_account",
        "outcomes",
        "_entries",
        "_data_centre",
        "_timers",
        "_rng",
        "_clients",
        "_ranked",
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
        self._ranked: list[Address] = []
        self._ranked_at = float("-inf")

    async def aclose(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.aclose()

    async def pick_entries(self) -> list[Address]:
        """
        Return the addresses to use, best first, from an answer that is not too old.

        Returns
        -------
        list of Address
            Those that the system named; those known from the start if no entry answers.
        """
        if self._timers.now() - self._ranked_at < ADDRESS_MAX_AGE_S:
            return self._ranked
        for entry in self._rng.sample(self._entries, len(self._entries)):
            answer = await self._clients[entry].addresses(self._data_centre)
            if not isinstance(answer, Failure) and answer:
                self._ranked = [Address.parse(address) for address in answer]
                self._ranked_at = self._timers.now()
                return self._ranked
        return self._entries

    async def send(
        self, pipeline: str, value: Any, *, key: str = "", stream: bool = False
    ) -> Outcome:
        """
        Send a request; on a refusal that says not run, try another entry.

        Parameters
        ----------
        pipeline : str
            Name of the pipeline.
        value : object
            JSON input.
        key : str
            Idempotency key; empty for none.
        stream : bool
            Whether to read the answer as a stream.

        Returns
        -------
        Outcome
            What came of it; also kept in `outcomes`.
        """
        started = self._timers.now()
        result: dict[str, Any] | Failure = Failure(
            reason=Reason.UNREACHABLE, run_state=RunState.NOT_RUN, step="caller"
        )
        tries = 0
        any_lost = False
        entry = self._entries[0]
        while tries < MAX_TRIES:
            entries = await self.pick_entries()
            entry = entries[tries % len(entries)]
            tries += 1
            client = self._clients.setdefault(entry, ApiClient(address=entry))
            result = await self._send_once(client, pipeline, value, key, stream)
            if not isinstance(result, Failure):
                break
            # With a key a repeat is safe whatever happened to the first try.
            lost = result.reason in (Reason.UNREACHABLE, Reason.TIMEOUT) and bool(key)
            if result.run_state is not RunState.NOT_RUN:
                any_lost = True
                if not lost:
                    break
            self._ranked_at = float("-inf")
            await self._timers.sleep(max(RETRY_PAUSE_S, min(1.0, result.retry_after_s)))
        state = "answered"
        if isinstance(result, Failure):
            # A refusal speaks of its own try; an earlier one that was lost may have run.
            state = (RunState.MAY_HAVE_RUN if any_lost else result.run_state).value
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
