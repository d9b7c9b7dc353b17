"""
The back ends that a request may use: its homes, without evacuated failure domains.

A route and a workspace may each name the regions in which their requests must be
served. A failure domain whose region is not known is no home.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator, Mapping

    from ..catalogue.model import Configuration
    from .backend import Backend


class PlacementRefusal(StrEnum):
    """Why no back end may be used; the values are metric labels."""

    HOMES = "homes"
    EVACUATION = "evacuation"


REFUSAL_REASONS = {
    PlacementRefusal.HOMES: "no back end is in an allowed region",
    PlacementRefusal.EVACUATION: "all allowed failure domains are evacuated",
}


def combine_regions(
    route_regions: Collection[str], workspace_regions: Collection[str]
) -> frozenset[str] | None:
    """
    Return the regions in which a request may be served, None for every region.

    The result is empty if route and workspace name regions but none in common; such a
    request cannot be served anywhere.

        >>> combine_regions(("north",), ()) == {"north"}
        True
        >>> combine_regions(("north",), ("south",))
        frozenset()
    """
    if not route_regions and not workspace_regions:
        return None
    if not route_regions or not workspace_regions:
        return frozenset(route_regions or workspace_regions)
    return frozenset(route_regions) & frozenset(workspace_regions)


@dataclass(frozen=True, slots=True)
class Placement:
    """
    Where a request may be sent.

    ``homes`` are the allowed regions, None for every region, ``regions`` maps failure
    domains to regions, and ``evacuated`` holds the evacuated failure domains.
    """

    homes: frozenset[str] | None = None
    regions: Mapping[str, str] = field(default_factory=dict)
    evacuated: Collection[str] = ()

    def is_home(self, failure_domain: str) -> bool:
        """Return whether a failure domain is in an allowed region."""
        if self.homes is None:
            return True
        return self.regions.get(failure_domain) in self.homes

    def admits(self, failure_domain: str) -> bool:
        """Return whether a request may be sent to a failure domain."""
        return self.is_home(failure_domain) and failure_domain not in self.evacuated

    def usable(self, backends: Iterable[Backend]) -> list[Backend]:
        """Return the back ends to which a request may be sent."""
        return [each for each in backends if self.admits(each.listed.failure_domain)]

    def refusal(self, failure_domains: Collection[str]) -> PlacementRefusal | None:
        """
        Return why none of the failure domains of back ends may be used.

        Return None if one may be used, or if there are none: then placement is not the
        cause.
        """
        if not failure_domains or any(map(self.admits, failure_domains)):
            return None
        if any(map(self.is_home, failure_domains)):
            return PlacementRefusal.EVACUATION
        return PlacementRefusal.HOMES


def find_home_problems(
    configuration: Configuration, regions: Mapping[str, str]
) -> Iterator[str]:
    """
    Yield what makes homes of a configuration unusable, as text.

    These are regions without a known failure domain, and pairs of a route and a
    workspace that have no region in common.
    """
    known = set(regions.values())
    workspaces = configuration.workspaces or ()
    named = [(f"route {each.name}", each.regions) for each in configuration.routes]
    named += [(f"workspace {each.name}", each.regions) for each in workspaces]
    for name, homes in named:
        if unknown := sorted(set(homes) - known):
            yield f"{name}: no failure domain is in {', '.join(unknown)}"
    # Many routes share few sets of regions, so each pair of sets is compared once.
    route_names = {frozenset(each.regions): each.name for each in configuration.routes}
    workspace_names = {frozenset(each.regions): each.name for each in workspaces}
    for route_regions, route_name in route_names.items():
        for workspace_regions, workspace_name in workspace_names.items():
            if combine_regions(route_regions, workspace_regions) == frozenset():
                yield (
                    f"route {route_name} and workspace {workspace_name}: they have no "
                    "region in common"
                )
