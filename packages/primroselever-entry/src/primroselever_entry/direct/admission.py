"""The terms on which an entry admits requests, from the demand of its own callers."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from primroselever_core.catalogue.model import RouteKind
from primroselever_core.catalogue.routes import effective_priority
from primroselever_core.dispatch.demand import ServiceDemand
from primroselever_core.dispatch.shedding import (
    URGENCY_LATE,
    late_urgency,
    on_time_urgency,
)
from primroselever_core.dispatch.urgent_work import DEFAULT_URGENCY

if TYPE_CHECKING:
    from primroselever_core.catalogue.model import Route, Workspace
    from primroselever_core.direct_board import DirectBoard
    from primroselever_core.dispatch.choose import Refused, RequestNeeds

    from .instruments import FlowInstruments
    from .request_state import RequestState

# A caller leaves a stream without a first event after the longer of the two.
CALLER_LONGEST_GAP_S = 2.0
CALLER_GAP_OBJECTIVES = 4.0
ENTRY_SILENT_S = 2.0  # after which another entry is assumed to receive no requests


class AdmissionPolicy:
    """
    Judges requests by priority and by the shares of workspaces, service by service.

    It has no effect on a service whose requests all have one priority while no
    workspaces are published.
    """

    def __init__(self, board: DirectBoard, instruments: FlowInstruments) -> None:
        self.board = board
        self.instruments = instruments
        self.demands: dict[str, ServiceDemand] = {}

    def applies(self, service: str) -> bool:
        """Return whether priorities differ or workspaces are published."""
        routes = self.board.catalogue.routes
        return self.differs(service) or routes.workspaces is not None

    def differs(self, service: str) -> bool:
        """Return whether requests of a service differ in priority."""
        return len(self.board.catalogue.routes.priorities.get(service, ())) > 1

    def objective_s(self, service: str, route: Route, priority: int) -> float:
        """
        Return the objective of a request, in seconds.

        With equal priorities, all routes of a service share one objective. With one for
        each route, the queue would grow up to the longest objective, and only requests
        of the route with the shortest objective would be refused.
        """
        routes = self.board.catalogue.routes
        if self.differs(service):
            return routes.class_objectives.get((service, priority), route.objective_s)
        return routes.objectives.get(service, route.objective_s)

    def record_arrival(
        self, state: RequestState, workspace: Workspace | None, now: float
    ) -> None:
        """Count a caller's request, and set its priority and urgency."""
        state.priority = effective_priority(state.route, workspace)
        state.urgency = URGENCY_LATE if state.late else DEFAULT_URGENCY
        if self.applies(state.service) and not state.late:
            demand = self.demands.setdefault(state.service, ServiceDemand())
            demand.record_arrival(state.priority, state.workspace, now)

    def add_terms(
        self, state: RequestState, needs: RequestNeeds, now: float
    ) -> RequestNeeds:
        """Return the needs of a request with its urgency and terms."""
        if not self.applies(state.service):
            return replace(needs, urgency=state.urgency)
        demand = self.demands.setdefault(state.service, ServiceDemand())
        if not self.differs(state.service) and not demand.limits_workspaces(now):
            # With equal priorities and no workspace short of its share, all requests
            # are judged alike.
            state.terms = None
            return replace(needs, urgency=state.urgency)
        patience_s = state.deadline - now
        if state.route.kind is RouteKind.STREAMING:
            gap_s = CALLER_GAP_OBJECTIVES * state.route.objective_s
            patience_s = min(patience_s, max(CALLER_LONGEST_GAP_S, gap_s))
        state.terms = demand.terms(
            state.priority,
            state.workspace,
            self.board.catalogue.routes.priorities.get(
                state.service, (state.priority,)
            ),
            patience_s,
            self.board.peers.count_heard_since(now - ENTRY_SILENT_S) + 1,
            now,
        )
        if self.differs(state.service):
            judged = demand.judged_priority(state.priority, now)
            late = state.late or needs.is_late
            state.urgency = late_urgency(judged) if late else on_time_urgency(judged)
        return replace(needs, urgency=state.urgency, terms=state.terms)

    def record_choice(
        self, state: RequestState, refused: Refused | None, now: float
    ) -> None:
        """Count the first choice for a request, a refusal only if load caused it."""
        demand = self.demands.get(state.service)
        if refused is not None and refused.cause is not None:
            self.instruments.count_refusal(state.urgency, refused.cause)
            if demand is not None and not state.late:
                demand.record_refusal(now)
        elif refused is None and demand is not None and not state.attempts:
            demand.record_admission(state.priority, state.workspace, now)
