"""Which route a request takes, and whose key it carries."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from .model import Configuration, Route, Service, Workspace


@dataclass(slots=True)
class RouteTable:
    """
    Routes by host, services by name and workspaces by key.

    ``objectives`` holds the shortest objective among the routes of each service, s.

        >>> RouteTable().match("prints.example", "/orders/7") is None
        True
    """

    routes: dict[str, list[Route]] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    workspaces: dict[str, Workspace] | None = None
    objectives: dict[str, float] = field(default_factory=dict)

    @classmethod
    def of(cls, configuration: Configuration) -> RouteTable:
        """Return the table of a configuration, longest prefixes first."""
        table = cls()
        for route in configuration.routes:
            table.routes.setdefault(route.host.lower(), []).append(route)
        for routes in table.routes.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        for route in configuration.routes:
            for entry in route.services:
                known_s = table.objectives.get(entry.service, route.objective_s)
                table.objectives[entry.service] = min(known_s, route.objective_s)
        table.services = {service.name: service for service in configuration.services}
        if configuration.workspaces is not None:
            table.workspaces = {
                key: workspace
                for workspace in configuration.workspaces
                for key in workspace.keys
            }
        return table

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path."""
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def pick_service(route: Route, random: Random) -> str:
    """Return the service of a route, drawn by weight where there are several."""
    services = route.services
    if len(services) == 1:
        return services[0].service
    weights = [entry.weight for entry in services]
    return random.choices(services, weights)[0].service
