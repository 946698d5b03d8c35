"""Records requests, runs and configurations of a soak test and checks the promises."""

from __future__ import annotations

import zlib
from collections import defaultdict

import msgspec

from marigoldtrail.platform.standin import read_seal

# Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Run(msgspec.Struct, kw_only=True):
    """
    One run of a request at an upstream.

    Parameters
    ----------
    request_id, path, account : str
        Id and path of the request, and the client account it ran for.
    body : bytes
        Body of the request.
    """

    request_id: str
    path: str
    account: str
    body: bytes


class Attempt(msgspec.Struct, kw_only=True):
    """
    One attempt of a caller to send a request.

    Parameters
    ----------
    request_id, path : str
        Id and path of the request.
    body : bytes
        Body of the request.
    may_repeat : bool
        Whether upstreams may run it more than once.
    entry : tuple of (str, int)
        Entry that it was sent to, and the number of starts of its process at that time.
    status : int
        Status of the response; 0 if there was none.
    deadline_s : float
        Time from the request to its deadline, in seconds.
    is_direct : bool
        Whether it was sent without the proxy.
    sent_at, ended_at : float
        Monotonic times at which its last byte was sent and at which it ended; infinite until then.
    failure : str
        How it ended without a complete response; empty if it did not.
    unread_bytes : int or None
        Bytes of the connection that the process had not read some time after the request was sent;
        None if the request had ended.
    """

    request_id: str
    path: str
    body: bytes
    may_repeat: bool
    entry: tuple[str, int]
    status: int = 0
    deadline_s: float = float("inf")
    is_direct: bool = False
    sent_at: float = float("inf")
    ended_at: float = float("inf")
    failure: str = ""
    unread_bytes: int | None = None


class Ledger:
    """
    Observations of a soak test.

    Parameters
    ----------
    account, key : str
        The client account of all callers and its key.

    Attributes
    ----------
    violations : list of str
        Broken promises.
    attempts : dict of str to Attempt
        Requests of callers by id.
    runs : dict of str to list of Run
        Runs of each request.
    accepted, sent : dict of int to bytes
        Documents by version: acknowledged configurations, and all that were sent.
    touched : dict of str to set of str
        Names of the upstreams that have worked on each request or a piece of it.
    """

    __slots__ = (
        "violations",
        "attempts",
        "runs",
        "accepted",
        "sent",
        "touched",
        "_account",
        "_key",
        "_served_versions",
    )

    def __init__(self, *, account: str, key: str) -> None:
        self._account = account
        self._key = key
        self.violations: list[str] = []
        self.attempts: dict[str, Attempt] = {}
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self.accepted: dict[int, bytes] = {}
        self.sent: dict[int, bytes] = {}
        self.touched: dict[str, set[str]] = defaultdict(set)
        self._served_versions: dict[tuple[str, int], int] = {}

    def report_violation(self, text: str) -> None:
        """Record a broken promise."""
        self.violations.append(text)

    def record_attempt(self, attempt: Attempt) -> None:
        """Record a request before it is sent."""
        self.attempts[attempt.request_id] = attempt

    def record_run(self, run: Run, headers: dict[str, str]) -> None:
        """Record that an upstream starts to run a request, and check that it may."""
        runs = self.runs[run.request_id]
        runs.append(run)
        attempt = self.attempts.get(run.request_id)
        if attempt is None:
            self.report_violation(f"{run.request_id}: ran, but no caller sent it")
            return
        if (run.path, run.body) != (attempt.path, attempt.body):
            self.report_violation(f"{run.request_id}: ran with another path or body")
        if run.account != self._account:
            self.report_violation(f"{run.request_id}: ran for account {run.account!r}")
        if any(self._key in value for value in headers.values()):
            self.report_violation(f"{run.request_id}: the upstream received the key")
        if len(runs) > 1 and not attempt.may_repeat:
            self.report_violation(f"{run.request_id}: runs {len(runs)} times")
        if attempt.status in NOT_RUN_STATUSES and not attempt.may_repeat:
            self.report_violation(f"{run.request_id}: ran after status {attempt.status}")

    def check_status(self, attempt: Attempt, status: int) -> None:
        """Record the status of a response when its head arrives, and check it."""
        attempt.status = status
        if status in NOT_RUN_STATUSES and self.runs[attempt.request_id] and not attempt.may_repeat:
            self.report_violation(
                f"{attempt.request_id}: refused with status {status} after it had run"
            )
        if status in (400, 401, 403, 404):
            self.report_violation(f"{attempt.request_id}: refused with status {status}")

    def check_answer(self, attempt: Attempt, headers: dict[str, str], body: bytes) -> None:
        """Check the seal of a complete successful response."""
        if read_seal(headers) != compute_seal(attempt.request_id, body):
            self.report_violation(f"{attempt.request_id}: wrong seal of response {body[:80]!r}")

    def check_stream(self, attempt: Attempt, numbers: list[int], length: int) -> None:
        """Check the event numbers of a stream that ended as complete."""
        if numbers != list(range(length)):
            self.report_violation(
                f"{attempt.request_id}: got events {numbers} instead of {length} in order"
            )

    def check_served_version(self, entry: tuple[str, int], version: int, before: int) -> None:
        """
        Check that an entry has not reverted to an older configuration.

        Parameters
        ----------
        entry : tuple of (str, int)
            The entry and the number of starts of its process.
        version : int
            Version of the configuration whose route it served.
        before : int
            Newest version that it had served when the request was sent.
        """
        if version < before:
            self.report_violation(f"{entry}: served version {version} after version {before}")
        self._served_versions[entry] = max(version, self.newest_served_version(entry))

    def newest_served_version(self, entry: tuple[str, int]) -> int:
        """Return the newest version of a configuration that an entry has served; 0 if none."""
        return self._served_versions.get(entry, 0)

    def check_configuration(self, version: int, document: bytes) -> None:
        """Check a configuration that is read back after the run."""
        newest = max(self.accepted, default=0)
        if version < newest:
            self.report_violation(
                f"configuration {version} was read back although {newest} was accepted"
            )
        elif document != self.sent.get(version):
            self.report_violation(
                f"configuration {version} differs from the document that was sent"
            )


def compute_seal(request_id: str, body: bytes) -> str:
    """
    Compute the seal that an upstream adds to a response.

    Examples
    --------
    >>> compute_seal("a", b"x") == compute_seal("b", b"x")
    False
    """
    return f"{zlib.crc32(request_id.encode() + b'/' + body):08x}"
