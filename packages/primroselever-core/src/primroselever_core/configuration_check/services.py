"""Services without a route, and routes to services that are not listed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .finding import error, name_place, warning

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..catalogue.model import Configuration, Route
    from .finding import RatedFinding


def check_services(configuration: Configuration) -> Iterator[RatedFinding]:
    """Yield the services and weights that no request uses."""
    used = {name for route in configuration.routes for name in used_services(route)}
    known: set[str] = set()
    for service in configuration.services:
        place = name_place(service)
        if service.name in known:
            yield error(
                place,
                "it is listed twice, and only the last item counts",
                "remove one of the items",
            )
        elif service.name not in used and service.origin is None:
            yield warning(
                place,
                "no route sends requests to it",
                "add a route, or remove the service",
            )
        known.add(service.name)
    for route in configuration.routes:
        for weighted in route.services:
            if weighted.service not in known:
                yield error(
                    name_place(route, f"service {weighted.service}"),
                    "the service is not listed, so its figures are not known",
                    "correct the name, or list the service",
                )
            elif not weighted.weight > 0:
                share = "all requests" if len(route.services) == 1 else "no request"
                yield warning(
                    name_place(route, f"service {weighted.service}"),
                    f"its weight is 0, so it gets {share} of this route",
                    "give it a weight, or remove it",
                )


def used_services(route: Route) -> list[str]:
    """Return the services that get requests; a single one does whatever its weight."""
    if len(route.services) == 1:
        return [route.services[0].service]
    return [each.service for each in route.services if each.weight > 0]
