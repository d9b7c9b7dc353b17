"""Times of routes that contradict each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..catalogue.model import RouteKind
from .finding import error, name_place, warning

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..catalogue.model import Configuration, Route
    from .finding import RatedFinding


def check_times(configuration: Configuration) -> Iterator[RatedFinding]:
    """Yield the times of routes that contradict each other."""
    for route in configuration.routes:
        yield from check_route_times(route)


def check_route_times(route: Route) -> Iterator[RatedFinding]:
    """Yield the times of one route that contradict each other."""
    timeout_s, objective_s, pause_s = route.timeout_s, route.objective_s, route.pause_s
    if not timeout_s > 0:
        yield error(
            name_place(route, "timeout"),
            "it is 0 s, so every request is out of time",
            "raise it",
        )
    elif timeout_s < objective_s:
        yield error(
            name_place(route, "timeout"),
            f"{timeout_s:g} s is below the objective, {objective_s:g} s",
            "raise it, or lower the objective",
        )
    if not objective_s > 0:
        yield error(
            name_place(route, "objective"),
            "it is 0 s, so every request is late",
            "raise it, or leave it out",
        )
    if not pause_s:
        return
    if route.kind is not RouteKind.STREAMING:
        yield warning(
            name_place(route, "pause"),
            f"it has no effect on routes of kind {route.kind}",
            "remove it",
        )
    elif pause_s > timeout_s:
        yield error(
            name_place(route, "pause"),
            f"{pause_s:g} s is above the timeout, {timeout_s:g} s",
            "lower it, or raise the timeout",
        )
