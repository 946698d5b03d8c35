"""Find the route, account and service of a request."""

from __future__ import annotations

from marigoldtrail.policy.caller_retries import DeadlineEstimator
from marigoldtrail.registry import FleetState
from marigoldtrail.relay.caller_connection import CallerConnection, CallerRequest, Refusal
from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.relay.stop_admission import StopAdmission
from marigoldtrail.relay.types import RequestInfo
from marigoldtrail.routing import Route
from marigoldtrail.routing.table import choose_service

# An older fleet state may lack new routes, keys and data centres, and proves none unknown.
MAX_FLEET_STATE_AGE_S = 1.5
DEFAULT_DEADLINE_S = 30.0
# Time reserved for the response to reach the caller.
ANSWER_MARGIN_S = 0.01
# Another host can serve the request at once.
STOP_RETRY_AFTER_S = 0.05


class RequestRouter:
    """
    Finds the route, account and service of requests in the configuration.

    Parameters
    ----------
    fleet_state : FleetState
        Configuration of the fleet.
    stop : StopAdmission
        Tells which requests the host can still finish while it is being stopped.
    """

    __slots__ = ("_fleet_state", "_stop", "_deadline_estimators")

    def __init__(self, *, fleet_state: FleetState, stop: StopAdmission) -> None:
        self._fleet_state = fleet_state
        self._stop = stop
        self._deadline_estimators: dict[str, DeadlineEstimator] = {}

    def make_exchange(
        self, conn: CallerConnection, request: CallerRequest, info: RequestInfo, started: float
    ) -> Exchange | Refusal:
        """
        Return the state of a request, or why it is refused.

        Parameters
        ----------
        conn : CallerConnection
            Connection of the caller.
        request : CallerRequest
            The request.
        info : RequestInfo
            Metadata from its headers.
        started : float
            Monotonic time in seconds at which it was read.

        Returns
        -------
        Exchange or Refusal
            The state, or the refusal.
        """
        index = self._fleet_state.routes
        if index is None:
            return Refusal(status=503, detail="no configuration is known yet")
        if not info.request_id:
            return Refusal(status=400, detail="the request has no id")
        route = index.find_route(request.header(b"host"), request.path)
        if route is None:
            return self._refuse_unknown(404, "no route matches")
        account = index.find_account(info.key) if info.key else None
        if index.requires_keys and account is None and not route.is_public:
            return self._refuse_unknown(401, "the key is not known")
        left_s = info.deadline_s if info.deadline_s is not None else DEFAULT_DEADLINE_S
        deadline = started + min(left_s - ANSWER_MARGIN_S, route.timeout_s)
        if not self._stop.may_finish(route.name, deadline=deadline, now=started):
            return Refusal(
                status=503,
                detail="this host stops before the request would end",
                retry_after_s=STOP_RETRY_AFTER_S,
            )
        # A resumed stream continues at the service that its first attempt was given.
        service = index.services[choose_service(route, info.resumed_id or info.request_id)]
        return Exchange(
            conn=conn,
            request=request,
            info=info,
            route=route,
            service=service,
            account=account,
            removes_key=index.requires_keys,
            started=started,
            waited_s=self._estimate_waited_s(route, left_s),
            deadline=deadline,
        )

    def _estimate_waited_s(self, route: Route, left_s: float) -> float:
        """Estimate for how many seconds the caller waited in earlier attempts."""
        estimator = self._deadline_estimators.get(route.name)
        if estimator is None:
            estimator = self._deadline_estimators[route.name] = DeadlineEstimator()
        return estimator.estimate_waited_s(left_s)

    def _refuse_unknown(self, status: int, detail: str) -> Refusal:
        # A host that may have missed a configuration change cannot know that a route or key does
        # not exist.
        if self._fleet_state.age_s() > MAX_FLEET_STATE_AGE_S:
            return Refusal(status=503, detail=f"{detail}, as far as this host knows")
        return Refusal(status=status, detail=detail)

    def prune(self) -> None:
        """Forget what is known of routes that are gone."""
        routes = self._fleet_state.routes
        known = {route.name for route in routes.table.routes} if routes is not None else set()
        for name in [name for name in self._deadline_estimators if name not in known]:
            del self._deadline_estimators[name]
        self._stop.forget_except(known)
