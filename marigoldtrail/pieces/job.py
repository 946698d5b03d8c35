"""Stages of requests as jobs of pieces, and what becomes of the pieces."""

from __future__ import annotations

import msgspec
import trio

from marigoldtrail.pieces.graph import LARGE_RESULT_BYTES


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
        Handles of the results that it reads.
    count : int
        Number of pieces.
    expires_at, start_by : float
        Monotonic times in seconds: when the results are of no more use, and when the work must
        begin so that the request is not late.
    may_wait : bool
        Whether the job yields to more urgent ones, and to all others once the request will be late
        anyway. Results that it would read and that take much room speak against it.
    is_deferred : bool
        Whether the request will be late in any case and comes after those that need not be.
    yield_s : float
        Seconds by which the request yields to more urgent ones.
    data_centre : str
        Where the results are read, or where those that it reads lie; empty if that does not matter.
    result_bytes : int
        Size of a result.
    moved_bytes : int
        Bytes that cross data centres if the job is not worked on in `data_centre`.
    queued_at : float
        Monotonic time in seconds at which it was queued.
    """

    __slots__ = (
        "request_id",
        "stage",
        "key",
        "inputs",
        "expires_at",
        "start_by",
        "may_wait",
        "is_deferred",
        "yield_s",
        "data_centre",
        "result_bytes",
        "moved_bytes",
        "handles",
        "is_begun",
        "missing",
        "failure",
        "done",
        "queued_at",
        "waiting",
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
        may_wait: bool,
        is_deferred: bool,
        yield_s: float,
        data_centre: str,
        result_bytes: int,
        moved_bytes: int,
        queued_at: float,
    ) -> None:
        self.request_id = request_id
        self.stage = stage
        self.key = key
        self.inputs = inputs
        self.expires_at = expires_at
        self.start_by = start_by
        self.may_wait = may_wait
        self.is_deferred = is_deferred
        self.yield_s = yield_s
        self.data_centre = data_centre
        self.result_bytes = result_bytes
        self.moved_bytes = moved_bytes
        self.queued_at = queued_at
        self.handles: list[str] = [""] * count
        self.is_begun = False
        self.missing = count
        self.failure = ""
        self.done = trio.Event()
        # Pieces that no call was made for.
        self.waiting: list[Piece] = []

    def order(self, now: float) -> tuple[bool, bool, float]:
        """
        Return the place in the queue; the least is first.

        The results of a job that was divided take room until the rest is done, so that it comes
        first. Requests that will be late anyway come last: served in the order of their times
        alone, all of them would be a little late in a burst. A job that reads large results does
        not yield to any other, since they take the room that the others wait for.
        """
        if not self.may_wait:
            return not self.is_begun, False, self.start_by
        is_late = self.is_deferred or now > self.start_by
        return not self.is_begun, is_late, self.start_by + self.yield_s

    @property
    def is_large(self) -> bool:
        """Whether it should be worked on in its data centre, even after a short wait."""
        return self.moved_bytes >= LARGE_RESULT_BYTES

    @property
    def is_open(self) -> bool:
        """Whether results are still wanted."""
        return not self.done.is_set()

    def finish_piece(self, piece: Piece, handle: str) -> bool:
        """
        Take a result.

        Parameters
        ----------
        piece : Piece
            The piece; it no longer waits.
        handle : str
            Names the result.

        Returns
        -------
        bool
            False if nobody wants it any more.
        """
        if not self.is_open or self.handles[piece.index]:
            return False
        self.handles[piece.index] = handle
        self.missing -= 1
        if piece in self.waiting:
            self.waiting.remove(piece)
        if self.missing == 0:
            self.done.set()
        return True

    def fail(self, reason: str) -> None:
        """Give the job up."""
        if self.is_open:
            self.failure = reason
            self.done.set()


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
        How often it was sent.
    calls : int
        Calls in progress that may bring its result.
    is_repeated : bool
        Whether another worker was asked for it while a call was still going on.
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
    What became of one piece of a call.

    Parameters
    ----------
    handle : str
        Names the result; empty if there is none.
    reason : str
        Why there is none: ``"late"``, ``"gone"``, ``"room"`` or ``"error"``.
    """

    handle: str = ""
    reason: str = ""
