"""What callers, operators and upstreams have seen, and the promises that it must keep."""

from __future__ import annotations

import zlib
from collections import defaultdict

import msgspec

from marigoldtrail.platform.standin import seal_in

# These statuses promise that a request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})


class Run(msgspec.Struct, kw_only=True):
    """
    One run of a request at an upstream.

    Parameters
    ----------
    request_id, path, account : str
        What ran, for whom.
    body : bytes
        Body of the request.
    """

    request_id: str
    path: str
    account: str
    body: bytes


class Attempt(msgspec.Struct, kw_only=True):
    """
    One attempt of a caller.

    Parameters
    ----------
    request_id, path : str
        The request.
    body : bytes
        Its body.
    may_repeat : bool
        Whether upstreams may run it more than once.
    entry : tuple of (str, int)
        Entry that it was sent to, and how often its process had been started then.
    status : int
        Status of the answer; 0 for none.
    """

    request_id: str
    path: str
    body: bytes
    may_repeat: bool
    entry: tuple[str, int]
    status: int = 0


class Ledger:
    """
    Records of a soak.

    Parameters
    ----------
    account, key : str
        The client account of all callers and its key.

    Attributes
    ----------
    faults : list of str
        Broken promises.
    attempts : dict of str to Attempt
        Requests of callers by id.
    runs : dict of str to list of Run
        Runs of each request.
    accepted, sent : dict of int to bytes
        Configurations by version: those that were acknowledged, and all.
    """

    __slots__ = (
        "faults",
        "attempts",
        "runs",
        "accepted",
        "sent",
        "_account",
        "_key",
        "_versions_seen",
    )

    def __init__(self, *, account: str, key: str) -> None:
        self._account = account
        self._key = key
        self.faults: list[str] = []
        self.attempts: dict[str, Attempt] = {}
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self.accepted: dict[int, bytes] = {}
        self.sent: dict[int, bytes] = {}
        self._versions_seen: dict[tuple[str, int], int] = {}

    def fail(self, text: str) -> None:
        """Note a broken promise."""
        self.faults.append(text)

    def note_attempt(self, attempt: Attempt) -> None:
        """Note a request before it is sent."""
        self.attempts[attempt.request_id] = attempt

    def note_run(self, run: Run, headers: dict[str, str]) -> None:
        """Note that an upstream begins to work on a request."""
        runs = self.runs[run.request_id]
        runs.append(run)
        attempt = self.attempts.get(run.request_id)
        if attempt is None:
            self.fail(f"{run.request_id}: runs, but no caller has sent it")
            return
        if (run.path, run.body) != (attempt.path, attempt.body):
            self.fail(f"{run.request_id}: runs with another path or body")
        if run.account != self._account:
            self.fail(f"{run.request_id}: runs for account {run.account!r}")
        if any(self._key in value for value in headers.values()):
            self.fail(f"{run.request_id}: the upstream was shown the key")
        if len(runs) > 1 and not attempt.may_repeat:
            self.fail(f"{run.request_id}: runs {len(runs)} times")
        if attempt.status in PROMISES and not attempt.may_repeat:
            self.fail(f"{run.request_id}: runs after status {attempt.status}")

    def note_status(self, attempt: Attempt, status: int) -> None:
        """Note the status of an answer when its head has arrived."""
        attempt.status = status
        if status in PROMISES and self.runs[attempt.request_id] and not attempt.may_repeat:
            self.fail(f"{attempt.request_id}: status {status}, but it has run")
        if status in (400, 401, 403, 404):
            self.fail(f"{attempt.request_id}: refused with status {status}")

    def note_answer(self, attempt: Attempt, headers: dict[str, str], body: bytes) -> None:
        """Check a complete success."""
        if seal_in(headers) != seal_of(attempt.request_id, body):
            self.fail(f"{attempt.request_id}: the answer is not the upstream's: {body[:80]!r}")

    def note_stream(self, attempt: Attempt, numbers: list[int], length: int) -> None:
        """Check a stream that has ended as complete."""
        if numbers != list(range(length)):
            self.fail(f"{attempt.request_id}: events {numbers} of {length}")

    def note_version_served(self, entry: tuple[str, int], version: int, before: int) -> None:
        """
        Check that an entry has not gone back to an older configuration.

        Parameters
        ----------
        entry : tuple of (str, int)
            The entry and how often its process had been started.
        version : int
            Configuration whose route it has served.
        before : int
            Newest configuration that it had served when the request was sent.
        """
        if version < before:
            self.fail(f"{entry}: serves version {version} after version {before}")
        self._versions_seen[entry] = max(version, self.version_served(entry))

    def version_served(self, entry: tuple[str, int]) -> int:
        """Return the newest configuration that an entry has served."""
        return self._versions_seen.get(entry, 0)

    def check_configuration(self, version: int, document: bytes) -> None:
        """Check the configuration that is read back at the end."""
        newest = max(self.accepted, default=0)
        if version < newest:
            self.fail(f"configuration {version} is read back, {newest} was accepted")
        elif document != self.sent.get(version):
            self.fail(f"configuration {version} is not what was sent")


def seal_of(request_id: str, body: bytes) -> str:
    """
    Return the seal that an upstream adds to an answer.

    Examples
    --------
    >>> seal_of("a", b"x") == seal_of("b", b"x")
    False
    """
    return f"{zlib.crc32(request_id.encode() + b'/' + body):08x}"
