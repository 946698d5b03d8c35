"""Jobs, which are the stages of requests divided into pieces, and the results of pieces."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from marigoldtrail.pieces.graph import LARGE_RESULT_BYTES

# A request under whose pieces so many upstreams crashed gets no further call for itself: when it
# comes again, all hosts hold it off.
MAX_CRASHES = 3
# A trial of a quarantined request ends with the first crash.
MAX_TRIAL_CRASHES = 1
# Failure of a job whose pieces have crashed upstreams.
CRASHES_UPSTREAMS = "the request has crashed upstreams"
# Failure of a waiting job that can no longer be done in time.
OUT_OF_TIME = "the stages can no longer be done in time"


class PieceJob:
    """
    One stage of one request.

    Parameters
    ----------
    request_id : str
        The request.
    stage : int
        Number of the stage.
    key : str
        Key of the input; empty for a stage that reads results.
    inputs : list of str
        Handles of the results that the stage reads.
    count : int
        Number of pieces.
    expires_at, start_by : float
        Monotonic times in seconds: when the results become useless, and the latest start of the
        work for the request to be on time.
    may_yield : bool
        Whether the job yields to more urgent ones, and to all others once the request is certain
        to be late. False for a job that reads large results.
    is_deferred : bool
        Whether the request is certain to be late and runs after those that can be on time.
    yield_s : float
        Seconds added to `start_by` in the queue order, so that more urgent requests run first.
    data_centre : str
        Where the results are read, or where the inputs are kept; empty if that does not matter.
    result_bytes : int
        Size of a result.
    moved_bytes : int
        Bytes that cross data centres if the job does not run in `data_centre`.
    queued_at : float
        Monotonic time in seconds at which it was queued.
    crash_part : str
        Part of the request to which crashes of upstreams by its pieces are put down; empty if they
        can't be.
    is_trial : bool
        Whether it runs although its request is quarantined.
    on_end : callable or None
        Called with the job when it is done or has failed.

    Attributes
    ----------
    open_calls, calls_begun : int
        Number of calls in progress that contain its pieces, and of all that did.
    retry_after_s : float
        Seconds until the work ahead of a job that was refused while it waited is done.
    is_apart : bool
        Whether its pieces take calls of their own: another crash then shows who is at fault.
    is_large : bool
        Whether a short wait for a worker in its data centre is worthwhile.
    is_open : bool
        Whether it is neither done nor failed.
    """

    __slots__ = (
        "request_id",
        "stage",
        "key",
        "inputs",
        "expires_at",
        "start_by",
        "may_yield",
        "is_deferred",
        "yield_s",
        "data_centre",
        "result_bytes",
        "moved_bytes",
        "handles",
        "is_started",
        "missing",
        "failure",
        "retry_after_s",
        "queued_at",
        "crash_part",
        "is_trial",
        "open_calls",
        "calls_begun",
        "_crashed_upstreams",
        "_calls_at_crash",
        "is_apart",
        "is_large",
        "is_open",
        "waiting",
        "_on_end",
    )

    def __init__(
        self,
        *,
        request_id: str,
        stage: int,
        key: str,
        inputs: list[str],
        count: int,
        expires_at: float,
        start_by: float,
        may_yield: bool,
        is_deferred: bool,
        yield_s: float,
        data_centre: str,
        result_bytes: int,
        moved_bytes: int,
        queued_at: float,
        crash_part: str = "",
        is_trial: bool = False,
        on_end: Callable[[PieceJob], None] | None = None,
    ) -> None:
        self.request_id = request_id
        self.stage = stage
        self.key = key
        self.inputs = inputs
        self.expires_at = expires_at
        self.start_by = start_by
        self.may_yield = may_yield
        self.is_deferred = is_deferred
        self.yield_s = yield_s
        self.data_centre = data_centre
        self.result_bytes = result_bytes
        self.moved_bytes = moved_bytes
        self.queued_at = queued_at
        self.crash_part = crash_part
        self.is_trial = is_trial
        self.open_calls = 0
        self.calls_begun = 0
        self._crashed_upstreams: set[str] = set()
        self._calls_at_crash = 0
        self.is_apart = False
        self.is_large = moved_bytes >= LARGE_RESULT_BYTES
        self.is_open = True
        self.handles: list[str] = [""] * count
        self.is_started = False
        self.missing = count
        self.failure = ""
        self.retry_after_s = 0.0
        # Pieces that wait for a call.
        self.waiting: list[Piece] = []
        self._on_end = on_end

    def sort_key(self, now: float) -> tuple[bool, bool, float]:
        """
        Return the sort key in the queue; the smallest is first.

        Started jobs come first, because their results take room until the rest is done. Requests
        that are certain to be late come last: if a burst were served by `start_by` alone, every
        request would be slightly late. A job that reads large results never yields, since these
        results take the room that other jobs wait for.
        """
        if not self.may_yield:
            return not self.is_started, False, self.start_by
        is_late = self.is_deferred or now > self.start_by
        return not self.is_started, is_late, self.start_by + self.yield_s

    def finish_piece(self, piece: Piece, handle: str) -> bool:
        """
        Record the result of a piece.

        Parameters
        ----------
        piece : Piece
            The piece; it is removed from `waiting`.
        handle : str
            Handle of the result.

        Returns
        -------
        bool
            False if the result is not needed any more.
        """
        if not self.is_open or self.handles[piece.index]:
            return False
        self.handles[piece.index] = handle
        self.missing -= 1
        if piece in self.waiting:
            self.waiting.remove(piece)
        if self.missing == 0:
            self._end()
        return True

    def record_crash(self, upstream: str) -> bool:
        """
        Record an upstream that crashed under a call with pieces of the job.

        Parameters
        ----------
        upstream : str
            The upstream.

        Returns
        -------
        bool
            False if the call had begun before the last crash: one cut may end several calls.
        """
        self.is_apart = True
        if self._calls_at_crash == self.calls_begun:
            return False
        self._calls_at_crash = self.calls_begun
        self._crashed_upstreams.add(upstream)
        max_crashes = MAX_TRIAL_CRASHES if self.is_trial else MAX_CRASHES
        if len(self._crashed_upstreams) >= max_crashes:
            self.fail(CRASHES_UPSTREAMS)
        return True

    def fail(self, reason: str) -> None:
        """End the job with an error unless it has ended."""
        if self.is_open:
            self.failure = reason
            self._end()

    def refuse(self, retry_after_s: float) -> None:
        """End the job because it can no longer be done in time."""
        self.retry_after_s = retry_after_s
        self.fail(OUT_OF_TIME)

    def withdraw(self) -> None:
        """End the job because its request is quarantined."""
        self.fail(CRASHES_UPSTREAMS)

    def _end(self) -> None:
        self.is_open = False
        if self._on_end is not None:
            self._on_end(self)


class Piece(msgspec.Struct, kw_only=True, eq=False):
    """
    One piece of a job.

    Parameters
    ----------
    job : PieceJob
        The job.
    index : int
        Number of the piece.
    tries : int
        Number of times it was sent.
    calls : int
        Calls in progress that contain it.
    is_repeated : bool
        Whether it was queued for a second worker while its first call was in progress.
    """

    job: PieceJob
    index: int
    tries: int = 0
    calls: int = 0
    is_repeated: bool = False

    @property
    def identity(self) -> tuple[str, int, int]:
        """Request, stage and number of the piece."""
        return self.job.request_id, self.job.stage, self.index


class PieceResult(msgspec.Struct, kw_only=True, frozen=True):
    """
    Outcome of one piece of a call.

    Parameters
    ----------
    handle : str
        Handle of the result; empty if there is none.
    reason : str
        Why there is none: ``"late"`` (deadline passed), ``"gone"`` (an input is lost), ``"room"``
        (no room for the result) or ``"error"``.
    """

    handle: str = ""
    reason: str = ""
