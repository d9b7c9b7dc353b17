"""Homes in which no request can be served."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..dispatch.placement import Placement, combine_regions
from .finding import Severity, error, name_place
from .services import used_services

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..catalogue.model import Configuration, Route, Workspace
    from .finding import RatedFinding, Surroundings

WIDEN = "allow another region"


def check_homes(
    configuration: Configuration, surroundings: Surroundings
) -> Iterator[RatedFinding]:
    """
    Yield the homes that are in no known region, or have no server.

    What needs the regions or the servers of the processes is left out if they are not
    known.
    """
    workspaces = configuration.workspaces or ()
    if surroundings.regions is not None:
        known = set(surroundings.regions.values())
        parts: list[Route | Workspace] = [*configuration.routes, *workspaces]
        for part in parts:
            if unknown := sorted(set(part.regions) - known):
                yield error(
                    name_place(part, "regions"),
                    f"no failure domain is in {', '.join(unknown)}",
                    "correct the name, or add the region to the entries' settings",
                )
    yield from check_pairs(configuration, surroundings)


def check_pairs(
    configuration: Configuration, surroundings: Surroundings
) -> Iterator[RatedFinding]:
    """
    Yield the pairs of a route and a workspace whose requests have no home.

    A pair may be intended, as where each region has its own routes and workspaces. It
    is an error if the route has no other caller, or the workspace no other route.
    """
    workspaces = configuration.workspaces or ()
    # Many workspaces share few sets of regions, so each set is compared once.
    by_regions: dict[frozenset[str], Workspace | None] = {frozenset(): None}
    for workspace in workspaces:
        by_regions.setdefault(frozenset(workspace.regions), workspace)
    with_key = {frozenset(workspace.regions) for workspace in workspaces}
    found = [
        {
            regions: list(check_pair(route, workspace, surroundings))
            for regions, workspace in by_regions.items()
        }
        for route in configuration.routes
    ]
    have_route = {
        regions
        for pairs in found
        for regions, problems in pairs.items()
        if not problems
    }
    for route, pairs in zip(configuration.routes, found, strict=True):
        admits_all = route.anonymous or configuration.workspaces is None
        callers = with_key | {frozenset()} if admits_all else with_key
        has_callers = any(not pairs[regions] for regions in callers)
        for regions, problems in pairs.items():
            intended = regions and has_callers and regions in have_route
            severity = Severity.WARNING if intended else Severity.ERROR
            for problem in problems:
                yield replace(problem, severity=severity)


def check_pair(
    route: Route, workspace: Workspace | None, surroundings: Surroundings
) -> Iterator[RatedFinding]:
    """Yield why requests of a workspace on a route have no home with a server."""
    own = workspace.regions if workspace else ()
    homes = combine_regions(route.regions, own)
    if homes is None:
        return
    place = name_place(route, "regions")
    if workspace is not None and own:
        place = f"{place} with {name_place(workspace)}"
    if not homes:
        yield error(place, "they have no region in common", f"{WIDEN} in one of them")
        return
    if surroundings.regions is None or surroundings.server_domains is None:
        return
    placement = Placement(homes, surroundings.regions)
    for service in used_services(route):
        domains = surroundings.server_domains.get(service, ())
        if not any(map(placement.is_home, domains)):
            yield error(
                place,
                f"service {service} has no server in {', '.join(sorted(homes))}",
                f"start one there, or {WIDEN}",
            )
