"""State of one caller's request while its stages and upstreams process it."""

from __future__ import annotations

import trio

from marigoldtrail.pieces.client import StageRun
from marigoldtrail.quarantine import list_parts, make_fingerprint, make_stage_part
from marigoldtrail.relay.buffering import HeldResponses
from marigoldtrail.relay.caller_connection import CallerConnection, CallerRequest
from marigoldtrail.relay.events import EventSplitter
from marigoldtrail.relay.owed_response import OwedResponse
from marigoldtrail.relay.stream_versions import Recording, make_stream_keys
from marigoldtrail.relay.types import RequestInfo
from marigoldtrail.routing import ClientAccount, Route, RouteKind, Service, Upstream

# Callers abandon a stream that pauses for longer than the largest of these: a time in seconds, a
# multiple of the target latency of its route, and a multiple of the route's longest permitted gap.
MIN_ABANDON_PAUSE_S = 2.0
ABANDON_PAUSE_TARGETS = 4.0
ABANDON_PAUSE_GAPS = 8.0

# A resumable stream moves to another upstream after a pause of the larger of these: a time in
# seconds and a multiple of the longest permitted gap.
MIN_STALL_TIMEOUT_S = 0.8
STALL_TIMEOUT_GAPS = 4.0
FIRST_EVENT_STALL_TIMEOUT_S = 1.5

ROUTE_RANK_COUNT = 3
# By rank of the route. Estimated waits omit more urgent requests that arrive later.
WAIT_SHARES = (0.7, 0.7, 0.5)
# By rank of the route. The first two differ little; the last one yields to all requests that can
# still meet their target latency.
YIELD_TIMES_S = (0.0, 0.2, 1.3)
ACCOUNT_YIELD_S = 1.5


class Exchange:
    """
    State of one request and its response.

    Parameters
    ----------
    conn : CallerConnection
        Connection that receives the response.
    request : CallerRequest
        The request.
    info : RequestInfo
        Metadata from its headers.
    route : Route
        Its route.
    service : Service
        Service that runs the request.
    account : ClientAccount or None
        Client account of the request.
    removes_key : bool
        Whether the API key is removed from the forwarded request.
    started : float
        Monotonic time in seconds at which the request was read.
    waited_s : float
        Seconds from the caller's first attempt to this one.
    deadline : float
        Monotonic time in seconds at which the request ends.

    Attributes
    ----------
    runs : int
        Number of upstreams that may have started to run the request.
    sends : int
        Number of times that the request was sent to an upstream.
    reads : int
        Number of upstreams and entries whose response was, or is, read.
    tried : set of str
        Upstreams that failed or refused the request, or that it left.
    left : list of str
        Upstreams that it left only because they were silent; it may go back to each of them once.
    splitter : EventSplitter
        Splitter for the events of a stream.
    stage_run : StageRun or None
        Stages of the request.
    are_inputs_freed : bool
        Whether the results of the stages were freed because an engine has read them.
    scope : trio.CancelScope
        Cancels the request at its deadline, or earlier if a stream was not sent in time.
    stream_version : str or None
        Software version whose events the stream holds; None before its first event. Only upstreams
        of this version may continue it.
    recording : Recording or None
        Record of the version that begins the stream; it is durable before the first event is
        forwarded.
    source : Upstream or None
        Upstream that wrote the latest events of the stream, as it was listed when it got the
        request.
    relisted_at : float or None
        Monotonic time in seconds at which that upstream, listed at another version since, first
        sent something.
    has_trial_grant : bool
        Whether the next send is a trial of a quarantined prompt.
    holds_retry : bool
        Whether it holds a retry for the way back to a silent upstream.
    held : HeldResponses
        Complete responses that wait to be sent.
    owed : OwedResponse
        Decides whether this host may end the request for a cause of its own.
    """

    __slots__ = (
        "conn",
        "request",
        "info",
        "route",
        "service",
        "account",
        "removes_key",
        "started",
        "waited_s",
        "deadline",
        "_fingerprint",
        "_parts",
        "_may_have_run",
        "runs",
        "sends",
        "reads",
        "tried",
        "left",
        "splitter",
        "stage_run",
        "are_inputs_freed",
        "last_upstream",
        "sent_at",
        "first_event_at",
        "stages_done_at",
        "scope",
        "stream_version",
        "recording",
        "source",
        "relisted_at",
        "has_trial_grant",
        "holds_retry",
        "held",
        "owed",
    )

    def __init__(
        self,
        *,
        conn: CallerConnection,
        request: CallerRequest,
        info: RequestInfo,
        route: Route,
        service: Service,
        account: ClientAccount | None,
        removes_key: bool,
        started: float,
        waited_s: float,
        deadline: float,
    ) -> None:
        self.conn = conn
        self.request = request
        self.info = info
        self.route = route
        self.service = service
        self.account = account
        self.removes_key = removes_key
        self.started = started
        self.waited_s = waited_s
        self.deadline = deadline
        self._fingerprint = ""
        self._parts: frozenset[str] = frozenset()
        self._may_have_run = False
        self.runs = 0
        self.sends = 0
        self.reads = 0
        self.tried: set[str] = set()
        self.left: list[str] = []
        self.splitter = EventSplitter()
        self.stage_run: StageRun | None = None
        self.are_inputs_freed = False
        self.last_upstream = ""
        self.sent_at = started
        self.first_event_at: float | None = None
        self.stages_done_at: float | None = None
        self.stream_version: str | None = None
        self.recording: Recording | None = None
        self.source: Upstream | None = None
        self.relisted_at: float | None = None
        self.has_trial_grant = False
        self.holds_retry = False
        self.held = HeldResponses()
        self.owed = OwedResponse(conn=conn)
        self.scope = trio.CancelScope(deadline=self.start_deadline)

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have started to run the request."""
        return self._may_have_run

    @may_have_run.setter
    def may_have_run(self, may_have_run: bool) -> None:
        self._may_have_run = may_have_run
        self.scope.deadline = self.start_deadline

    @property
    def start_deadline(self) -> float:
        """
        Monotonic time in seconds by which the response must start.

        Equals the deadline unless the request is for a stream that no upstream may have begun:
        such a request is refused once its caller is expected to leave, and never run for nobody.
        One that was sent is answered as long as its caller stays, whatever the target is.
        """
        if not self.is_stream or self._may_have_run or self.first_event_at is not None:
            return self.deadline
        return min(self.deadline, self.started + self.abandon_pause_s)

    @property
    def abandon_pause_s(self) -> float:
        """Length in seconds of a pause after which callers of the route abandon a stream."""
        return max(
            MIN_ABANDON_PAUSE_S,
            ABANDON_PAUSE_TARGETS * self.route.target_latency_s,
            ABANDON_PAUSE_GAPS * self.route.max_gap_s,
        )

    @property
    def stall_timeout_s(self) -> float:
        """Seconds without an event after which a resumable stream moves to another upstream."""
        if self.first_event_at is None:
            return max(FIRST_EVENT_STALL_TIMEOUT_S, self.route.target_latency_s)
        return max(MIN_STALL_TIMEOUT_S, STALL_TIMEOUT_GAPS * self.route.max_gap_s)

    def start_response_of(self, peer: str) -> None:
        """
        Prepare to read the response of an upstream or of another entry to the request.

        Parameters
        ----------
        peer : str
            Name of the upstream, or address of the entry.
        """
        self.last_upstream = peer
        self.reads += 1
        # The version of the earlier events was settled when this peer was chosen.
        self.source, self.relisted_at = None, None
        self.owed.given_up_for = None
        # A cancelled attempt may have left a part of an event, which belongs to its run only.
        self.splitter.discard_partial()

    def record_first_event(self, now: float) -> None:
        """Record the start of the stream; from now on only the deadline cancels the request."""
        self.first_event_at = now
        self.scope.deadline = self.start_deadline

    @property
    def due_at(self) -> float:
        """Monotonic time in seconds after which the response misses its target latency."""
        # The first event of a resumed stream has arrived, so its earlier attempt is no delay.
        waited_s = 0.0 if self.is_resumed else self.waited_s
        return self.started - waited_s + self.route.target_latency_s

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self.route.kind is RouteKind.STREAMING

    @property
    def is_resumed(self) -> bool:
        """
        Whether the caller resumes a stream that an earlier attempt began.

        Also if the route is no longer one for streams, and the caller names both.
        """
        info = self.info
        if not self.is_stream:
            return bool(info.resumed_id and info.resume_after)
        return bool(info.resumed_id or info.resume_after)

    @property
    def stream_keys(self) -> tuple[bytes, ...]:
        """Keys of the stream by the attempt that began it; none if that is not named."""
        if not (self.is_stream or self.is_resumed):
            return ()
        return make_stream_keys(self.account_name, self.first_attempt)

    @property
    def first_attempt(self) -> str:
        """Id of the attempt that began the request; empty if a resumed stream does not name it."""
        return self.info.resumed_id if self.is_resumed else self.info.request_id

    @property
    def needs_durable_version(self) -> bool:
        """
        Whether no event of the stream may be forwarded before its version is found by other hosts.

        The version is recorded without waiting if streams of the route are not resumed: a later
        configuration may permit it while the stream is in progress.
        """
        return self.is_stream and self.route.is_resumable and bool(self.stream_keys)

    @property
    def route_rank(self) -> int:
        """Rank of the route, limited so that the rank of an account takes precedence."""
        return min(max(0, self.route.priority), ROUTE_RANK_COUNT - 1)

    @property
    def priority(self) -> int:
        """
        Rank of the request; 0 is the most urgent.

        Ordered by the rank of the client account, then by the rank of the route.
        """
        if self.account is None or self.account.priority is None:
            return self.route_rank
        return max(0, self.account.priority) * ROUTE_RANK_COUNT + self.route_rank

    @property
    def backlog_rank(self) -> int:
        """
        Rank that decides which queued requests count as being served earlier.

        The first two ranks of routes share one value, so that they wait for each other.
        """
        return self.priority + (1 if self.route_rank == 0 else 0)

    @property
    def yield_s(self) -> float:
        """Seconds by which the stages of the request yield to those of more urgent requests."""
        return YIELD_TIMES_S[self.route_rank] + ACCOUNT_YIELD_S * (
            self.priority // ROUTE_RANK_COUNT
        )

    @property
    def wait_share(self) -> float:
        """Share of its time that the request may spend waiting for its stages."""
        return WAIT_SHARES[self.route_rank]

    @property
    def account_name(self) -> str:
        """Name of the client account; empty if there is none."""
        return self.account.name if self.account is not None else ""

    @property
    def fingerprint(self) -> str:
        """Digest of the content, which tells whether a request comes again."""
        if not self._fingerprint:
            request = self.request
            self._fingerprint = make_fingerprint(
                request.method, request.target, self.account_name, request.body
            )
        return self._fingerprint

    @property
    def parts(self) -> frozenset[str]:
        """What other requests may have in common with it: parts of the prompt, or all of it."""
        if not self._parts:
            self._parts = list_parts(self.info.prefix, self.fingerprint)
        return self._parts

    @property
    def has_pieces(self) -> bool:
        """Whether a stage of its route has work to do for it."""
        return bool(self.route.stages) and any(self.info.piece_counts)

    @property
    def stage_parts(self) -> frozenset[str]:
        """What may be at fault when upstreams of its stages crash: one part for each stage."""
        counts = zip(self.route.stages, self.info.piece_counts, strict=False)
        return frozenset(
            make_stage_part(self.fingerprint, number)
            for number, (_, count) in enumerate(counts)
            if count
        )

    @property
    def identity(self) -> str:
        """Identity of the request, the same when it is sent again."""
        prefix = self.info.prefix
        # A single part may be the same in many requests.
        return prefix[-1][0] if len(prefix) > 1 else self.fingerprint

    def get_shared_prefix(self) -> tuple[str, int]:
        """
        Return the identity and the token count of the prompt prefix shared with other requests.

        The last part is specific to the request or its session and is left out.
        """
        shared = self.info.prefix[:-1]
        return "/".join(part for part, _ in shared), sum(tokens for _, tokens in shared)

    def count_prefill_tokens(self) -> int:
        """Return the prompt tokens that an engine which has the shared ones must prefill."""
        if self.service.engine is None:
            return 0
        _, shared = self.get_shared_prefix()
        return max(0, self.info.prompt_tokens - shared)

    def may_run_again(self) -> bool:
        """Return whether another upstream may run the request although one may have run it."""
        return self.route.is_idempotent and self.runs < self.route.max_attempts

    def may_run_elsewhere(self) -> bool:
        """Return whether another entry may serve the request from its start."""
        if self.info.is_forwarded or self.conn.has_started:
            return False
        return not self.may_have_run or self.may_run_again()
