"""Explanation of the back end that an entry would choose now for a request."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from primroselever_core.dispatch.choose import Refused, RequestNeeds, choose_backend
from primroselever_core.dispatch.placement import (
    REFUSAL_REASONS,
    Placement,
    combine_regions,
)
from primroselever_node import clock
from primroselever_node.exceptions import ExplainError

from .memory import describe_memory
from .start_watch import describe_start
from .weight_bounds import min_version, newer_bounds

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroselever_core.catalogue.model import EngineFigures, Route, Workspace
    from primroselever_core.direct_board import DirectBoard
    from primroselever_core.dispatch.backend import Backend

    from .flow import DirectFlow

ASSUMED_DEADLINE_S = 6.0  # for the explanation only; it limits no request


class DispatchExplainer:
    """Answers /explain from the blackboard without changing or sending anything."""

    def __init__(self, board: DirectBoard, flow: DirectFlow) -> None:
        self.board = board
        self.flow = flow

    def explain(self, query: dict[str, str]) -> dict[str, Any]:
        """
        Return the back end that would be chosen and the state of all candidates.

        The query may name a ``route`` and a ``workspace``, whose homes then apply.
        Raise ``ExplainError`` for an unknown name or without a configuration.
        """
        routes = self.board.catalogue.routes
        if self.board.catalogue.configuration is None:
            raise ExplainError("no configuration is in force yet")
        service_name = query.get("service", "")
        service = routes.services.get(service_name)
        if service is None:
            service_names = ", ".join(sorted(routes.services))
            raise ExplainError(
                f"there is no service {service_name!r}; name one of: {service_names}"
            )
        now = clock.now()
        model = service.models[0] if service.models else ""
        engine_figures = service.engine
        needs = RequestNeeds(
            model,
            min_version(self.flow, model, now),
            engine_figures.usual_prompt_tokens if engine_figures else 0.0,
            engine_figures.usual_answer_tokens if engine_figures else 0.0,
            routes.objectives.get(service_name, ASSUMED_DEADLINE_S),
            ASSUMED_DEADLINE_S,
            newer_bounds=newer_bounds(self.flow, model, now),
        )
        backends = self.board.backends.serving(service_name)
        placement = self.placement(query)
        choice = choose_backend(
            placement.usable(backends),
            needs,
            engine_figures,
            self.board.identity.failure_domain,
            (),
            now,
            Random(),
        )
        chosen_server_id = (
            None if isinstance(choice, Refused) else choice.backend.listed.server_id
        )
        reason = (
            choice.reason if isinstance(choice, Refused) else "first event due first"
        )
        refusal = placement.refusal({each.listed.failure_domain for each in backends})
        if refusal is not None:
            reason = REFUSAL_REASONS[refusal]
        return {
            "service": service_name,
            "choice": chosen_server_id,
            "reason": reason,
            "candidates": choice.candidates,
            "homes": None if placement.homes is None else sorted(placement.homes),
            "evacuated": sorted(placement.evacuated),
            "servers": {
                backend.listed.server_id: self.describe_backend(
                    backend, model, engine_figures, now
                )
                | describe_place(backend, placement)
                for backend in backends
            },
        }

    def placement(self, query: dict[str, str]) -> Placement:
        """Return where requests of the named route and workspace may be sent."""
        catalogue = self.board.catalogue
        configuration = catalogue.configuration
        assert configuration is not None
        return Placement(
            combine_regions(
                named_regions("route", query, configuration.routes),
                named_regions("workspace", query, configuration.workspaces or ()),
            ),
            self.flow.limits.regions,
            catalogue.evacuations.in_force,
        )

    def describe_backend(
        self, backend: Backend, model: str, figures: EngineFigures | None, now: float
    ) -> dict[str, Any]:
        """Return the known state of a back end."""
        report = backend.report
        return {
            "failure_domain": backend.listed.failure_domain,
            "version": backend.loaded_version(model, now),
            "switching": backend.switching(now),
            "load": backend.load(now),
            "in_flight": backend.in_flight,
            "report_age_s": round(now - report.received_at, 3) if report else None,
            "ejected_for_s": round(max(0.0, backend.ejected_until - now), 3),
            "failure_share": backend.failure_share(),
            "leaving": backend.announced.is_leaving,
            "closed_for_s": closed_for_s(backend, now),
            "limit": backend.announced.limit.rate,
            "pace": rounded(backend.measured.value(now)),
            "pace_age_s": rounded(backend.measured.age_s(now)),
            "start": describe_start(backend, now),
            "memory": describe_memory(backend, figures, now),
        }


def rounded(value: float | None) -> float | None:
    """Return a value with three digits after the point, None if it is unknown."""
    return None if value is None else round(value, 3)


def closed_for_s(backend: Backend, now: float) -> float:
    """Return for how long a back end that asked for a pause gets no requests."""
    return round(max(0.0, backend.announced.returns_at - now), 3)


def named_regions(
    kind: str, query: dict[str, str], items: Iterable[Route | Workspace]
) -> tuple[str, ...]:
    """Return the regions of the item that a query names, none if it names no item."""
    name = query.get(kind)
    if not name:
        return ()
    for item in items:
        if item.name == name:
            return item.regions
    raise ExplainError(f"there is no {kind} {name!r} in the configuration in force")


def describe_place(backend: Backend, placement: Placement) -> dict[str, Any]:
    """Return the region of a back end, and whether requests may be sent there."""
    domain = backend.listed.failure_domain
    return {
        "region": placement.regions.get(domain),
        "is_home": placement.is_home(domain),
        "evacuated": domain in placement.evacuated,
    }
