"""Where a request may be sent by the configuration and evacuations now in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.dispatch.choose import (
    NO_SERVER_RETRY_S,
    Refused,
    spread_retry_s,
)
from primroselever_core.dispatch.placement import (
    REFUSAL_REASONS,
    Placement,
    combine_regions,
    find_home_problems,
)
from primroselever_node import clock
from primroselever_node.logs import log_decision

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from primroselever_core.catalogue.catalogue import Catalogue
    from primroselever_core.catalogue.model import Route
    from primroselever_core.dispatch.backend import Backend
    from primroselever_core.findings import Finding

    from .flow import DirectFlow
    from .request_state import RequestState

MAX_LOGGED_PROBLEMS = 8  # keeps the line short; all of them have one of two causes


def current_placement(flow: DirectFlow, state: RequestState) -> Placement:
    """
    Return where a request may be sent now.

    The route that now matches the request and the workspace of its key decide, and
    those that it was admitted with if there are none any more.
    """
    catalogue, request = flow.board.catalogue, state.request
    route_regions = state.route.regions
    workspace_regions = state.workspace_regions
    # The search for a route takes 36 us with 400 routes of one host.
    if catalogue.routes is not state.admitted_by:
        route = catalogue.routes.match(request.host, request.path)
        if route is not None:
            route_regions = route.regions
        workspace = (catalogue.routes.workspaces or {}).get(request.api_key or "")
        if workspace is not None:
            workspace_regions = workspace.regions
    return Placement(
        combine_regions(route_regions, workspace_regions),
        flow.limits.regions,
        catalogue.evacuations.in_force,
    )


def refuse_placement(
    flow: DirectFlow, state: RequestState, placement: Placement, listed: list[Backend]
) -> Refused:
    """Log and count that homes and evacuations leave no back end; return a refusal."""
    domains = {backend.listed.failure_domain for backend in listed}
    refusal = placement.refusal(domains)
    assert refusal is not None
    flow.instruments.count_placement_refusal(refusal)
    reason, now = REFUSAL_REASONS[refusal], clock.now()
    evacuations = flow.board.catalogue.evacuations.in_force
    log_decision(
        "placement",
        state.request.log_id,
        "refused",
        reason,
        cause=str(refusal),
        service=state.service,
        homes=None if placement.homes is None else sorted(placement.homes),
        domains={domain: placement.regions.get(domain) for domain in sorted(domains)},
        evacuated_s={
            domain: round(now - known.learned_at, 3)
            for domain, known in evacuations.items()
        },
        configuration=flow.board.catalogue.configuration_revision,
    )
    return Refused(reason, spread_retry_s(NO_SERVER_RETRY_S, flow.random))


def log_home_problems(
    catalogue: Catalogue, regions: Mapping[str, str], findings: Iterable[Finding] = ()
) -> None:
    """
    Log in one line which homes of the configuration in force cannot be used.

    ``findings`` are those in the regions of the settings.
    """
    configuration = catalogue.configuration
    if configuration is None:
        return
    problems = [*map(str, findings), *find_home_problems(configuration, regions)]
    if problems:
        log_decision(
            "homes",
            str(configuration.revision),
            "some homes cannot be used",
            "; ".join(problems[:MAX_LOGGED_PROBLEMS]),
            problems=len(problems),
            regions=dict(regions),
        )


def describe_placement(
    catalogue: Catalogue, regions: Mapping[str, str], now: float
) -> dict[str, Any]:
    """Return the regions, homes and evacuations for the status of a process."""
    configuration = catalogue.configuration
    evacuations = catalogue.evacuations
    workspaces = configuration.workspaces or () if configuration else ()
    return {
        "regions": dict(regions),
        "route_homes": restricted_regions(configuration.routes)
        if configuration
        else {},
        "workspace_homes": {
            workspace.name: list(workspace.regions)
            for workspace in workspaces
            if workspace.regions
        },
        "evacuations": {
            domain: {
                "in_force_s": round(now - known.learned_at, 3),
                "era": known.position.era,
                "revision": known.position.revision,
                "kept": domain in evacuations.kept_until,
            }
            for domain, known in sorted(evacuations.in_force.items())
        },
        "evacuations_withheld": sorted(evacuations.withheld),
        "evacuations_position": list(evacuations.position),
    }


def restricted_regions(routes: tuple[Route, ...]) -> dict[str, list[str]]:
    """Return the allowed regions of the routes that name some."""
    return {route.name: list(route.regions) for route in routes if route.regions}
