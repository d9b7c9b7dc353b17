"""Attempts that contradict the kind of a route."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..catalogue.model import RouteKind
from .finding import error, name_place, warning

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..catalogue.model import Configuration
    from .finding import RatedFinding


def check_attempts(configuration: Configuration) -> Iterator[RatedFinding]:
    """Yield the attempts that are not made, and those that do not fit the kind."""
    for route in configuration.routes:
        attempts = route.max_attempts
        if attempts < 1:
            yield error(
                name_place(route, "attempts"),
                f"it is {attempts}, but a request is sent once",
                "make it 1 or more",
            )
        elif attempts > 1 and route.kind is RouteKind.NON_IDEMPOTENT:
            yield warning(
                name_place(route, "attempts"),
                f"it is {attempts}, but a request that is not idempotent is sent "
                "again only if it has not run",
                "make it 1, or correct the kind",
            )
        if route.resumable and route.kind is not RouteKind.STREAMING:
            yield warning(
                name_place(route, "resumption"),
                f"it has no effect on routes of kind {route.kind}",
                "remove it, or correct the kind",
            )
