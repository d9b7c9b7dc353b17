"""What an entry would decide now for a direct request, without sending anything."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from primroselever_core.dispatch.choose import Refused, Wanted, choose_backend
from primroselever_node import clock
from primroselever_node.exceptions import ExplainError

if TYPE_CHECKING:
    from primroselever_core.direct_board import DirectBoard
    from primroselever_core.dispatch.backend import Backend

    from .flow import DirectFlow

USUAL_DEADLINE_S = 6.0  # of the question only; it bounds nothing


class DispatchExplainer:
    """Answers /explain; reads the blackboard and changes nothing."""

    def __init__(self, board: DirectBoard, flow: DirectFlow) -> None:
        self.board = board
        self.flow = flow

    def explain(self, query: dict[str, str]) -> dict[str, Any]:
        """Return the back end that would be chosen, and what is known of each."""
        routes = self.board.catalogue.routes
        if self.board.catalogue.configuration is None:
            raise ExplainError("no configuration is in force yet")
        name = query.get("service", "")
        service = routes.services.get(name)
        if service is None:
            names = ", ".join(sorted(routes.services))
            raise ExplainError(f"there is no service {name!r}; name one of: {names}")
        now = clock.now()
        model = service.models[0] if service.models else ""
        figures = service.engine
        wanted = Wanted(
            model,
            self.flow.min_version(model, now),
            figures.usual_prompt_tokens if figures else 0.0,
            figures.usual_answer_tokens if figures else 0.0,
            routes.objectives.get(name, USUAL_DEADLINE_S),
            USUAL_DEADLINE_S,
        )
        backends = self.board.backends.serving(name)
        choice = choose_backend(
            backends,
            wanted,
            figures,
            self.board.identity.failure_domain,
            (),
            now,
            Random(),
        )
        chosen = (
            None if isinstance(choice, Refused) else choice.backend.listed.server_id
        )
        reason = (
            choice.reason if isinstance(choice, Refused) else "first event due first"
        )
        return {
            "service": name,
            "choice": chosen,
            "reason": reason,
            "candidates": choice.candidates,
            "servers": {
                backend.listed.server_id: self.shown(backend, model, now)
                for backend in backends
            },
        }

    def shown(self, backend: Backend, model: str, now: float) -> dict[str, Any]:
        """Return what is known of a back end."""
        report = backend.report
        return {
            "failure_domain": backend.listed.failure_domain,
            "version": backend.holds(model, now),
            "switching": backend.switching(now),
            "load": backend.load(now),
            "in_flight": backend.in_flight,
            "report_age_s": round(now - report.heard_at, 3) if report else None,
            "ejected_for_s": round(max(0.0, backend.ejected_until - now), 3),
            "failure_share": backend.failure_share(),
        }
