"""One request of a caller on its way through stages and upstreams."""

from __future__ import annotations

import trio

from marigoldtrail.pieces.client import StageWork
from marigoldtrail.relay.caller import CallerConnection, CallerRequest
from marigoldtrail.relay.events import EventCutter
from marigoldtrail.relay.types import RequestFacts
from marigoldtrail.routing import ClientAccount, Route, RouteKind, Service

# Callers leave a stream that pauses for longer than the largest of these: seconds, target latencies
# of its route, and longest pauses of an answer that is on time.
LEAST_PATIENCE_S = 2.0
PATIENCE_TARGETS = 4.0
PATIENCE_GAPS = 8.0

# A stream that may be resumed goes on elsewhere after a silence of the largest of these.
STALL_S = 0.8
STALL_GAPS = 4.0
FIRST_EVENT_STALL_S = 1.5

ROUTE_RANKS = 3
# By the rank of the route: estimates of waiting leave out what arrives later and is more urgent.
WAIT_SHARES = (0.7, 0.7, 0.5)
# Neighbouring ranks differ little; the last one yields to all requests that can be on time.
YIELDS_S = (0.0, 0.2, 1.3)
ACCOUNT_YIELD_S = 1.5


class Exchange:
    """
    State of one request.

    Parameters
    ----------
    conn : CallerConnection
        Where the answer goes.
    request : CallerRequest
        The request.
    facts : RequestFacts
        What its head says.
    route : Route
        Its route.
    service : Service
        Service that runs it.
    account : ClientAccount or None
        Whose request it is.
    hides_key : bool
        Whether the key is not passed on.
    started : float
        Monotonic time in seconds at which it was read.
    waited_s : float
        Seconds for which the caller has waited before, since it first asked.
    deadline : float
        Monotonic time in seconds at which it ends.

    Attributes
    ----------
    may_have_run : bool
        Whether an upstream may have begun to work on it.
    runs : int
        Upstreams that may have begun to work on it.
    sends : int
        Upstreams that it was sent to.
    tried : set of str
        Upstreams that failed or refused it.
    cutter : EventCutter
        Events of a stream that were passed on.
    work : StageWork or None
        Its stages.
    scope : trio.CancelScope
        Ends the request when its time is up.
    has_grant : bool
        Whether the budget has granted the next send already.
    """

    __slots__ = (
        "conn",
        "request",
        "facts",
        "route",
        "service",
        "account",
        "hides_key",
        "started",
        "waited_s",
        "deadline",
        "may_have_run",
        "runs",
        "sends",
        "tried",
        "cutter",
        "work",
        "last_upstream",
        "first_event_at",
        "stages_done_at",
        "scope",
        "has_grant",
    )

    def __init__(
        self,
        *,
        conn: CallerConnection,
        request: CallerRequest,
        facts: RequestFacts,
        route: Route,
        service: Service,
        account: ClientAccount | None,
        hides_key: bool,
        started: float,
        waited_s: float,
        deadline: float,
    ) -> None:
        self.conn = conn
        self.request = request
        self.facts = facts
        self.route = route
        self.service = service
        self.account = account
        self.hides_key = hides_key
        self.started = started
        self.waited_s = waited_s
        self.deadline = deadline
        self.may_have_run = False
        self.runs = 0
        self.sends = 0
        self.tried: set[str] = set()
        self.cutter = EventCutter()
        self.work: StageWork | None = None
        self.last_upstream = ""
        self.first_event_at: float | None = None
        self.stages_done_at: float | None = None
        self.has_grant = False
        self.scope = trio.CancelScope(deadline=self.begin_by)

    @property
    def begin_by(self) -> float:
        """
        Monotonic time in seconds until which a caller waits for the answer to begin.

        It is the deadline for what is no stream, and for a stream that has begun.
        """
        if not self.is_stream or self.first_event_at is not None:
            return self.deadline
        return min(self.deadline, self.started + self.patience_s)

    @property
    def patience_s(self) -> float:
        """Seconds after which callers leave a stream that pauses."""
        return max(
            LEAST_PATIENCE_S,
            PATIENCE_TARGETS * self.route.target_latency_s,
            PATIENCE_GAPS * self.route.max_gap_s,
        )

    @property
    def stall_s(self) -> float:
        """Seconds without an event after which a stream goes on elsewhere if it may."""
        if self.first_event_at is None:
            return max(FIRST_EVENT_STALL_S, self.route.target_latency_s)
        return max(STALL_S, STALL_GAPS * self.route.max_gap_s)

    def note_first_event(self, now: float) -> None:
        """Note that the stream has begun; from now on only its deadline ends it."""
        self.first_event_at = now
        self.scope.deadline = self.deadline

    @property
    def due_at(self) -> float:
        """Monotonic time in seconds at which the answer begins to be late."""
        return self.started - self.waited_s + self.route.target_latency_s

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.route.kind is RouteKind.STREAMING

    @property
    def route_rank(self) -> int:
        """Rank of the route, bounded so that the rank of an account goes before it."""
        return min(max(0, self.route.priority), ROUTE_RANKS - 1)

    @property
    def priority(self) -> int:
        """
        Rank of the request; 0 is the most urgent.

        The rank of the client account takes precedence; among equals that of the route decides.
        """
        if self.account is None or self.account.priority is None:
            return self.route_rank
        return max(0, self.account.priority) * ROUTE_RANKS + self.route_rank

    @property
    def backlog_rank(self) -> int:
        """
        Rank by which the work of other requests counts as done before.

        The first two ranks of routes differ little and wait for each other.
        """
        return self.priority + (1 if self.route_rank == 0 else 0)

    @property
    def yield_s(self) -> float:
        """Seconds by which the stages of the request yield to those of more urgent ones."""
        return YIELDS_S[self.route_rank] + ACCOUNT_YIELD_S * (self.priority // ROUTE_RANKS)

    @property
    def wait_share(self) -> float:
        """Share of its time that the request may spend waiting for its stages."""
        return WAIT_SHARES[self.route_rank]

    @property
    def account_name(self) -> str:
        """Name of the client account; empty if there is none."""
        return self.account.name if self.account is not None else ""

    def shared_prefix(self) -> tuple[str, int]:
        """
        Return identity and length of the part of the prompt that other requests share.

        The last part belongs to the request or its session and is left out.
        """
        shared = self.facts.prefix[:-1]
        return "/".join(part for part, _ in shared), sum(tokens for _, tokens in shared)

    def may_run_again(self) -> bool:
        """Tell whether another upstream may run the request after one may have run it."""
        return self.route.is_idempotent and self.runs < self.route.max_attempts
