"""Lookup of a request's route, its service and its caller's workspace."""

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

    ``objectives`` maps a service to the shortest objective of its routes, in seconds,
    and ``priorities`` to the different priorities that its requests may have.
    ``class_objectives`` maps a service and priority to the shortest objective of the
    routes that are as urgent or less, so that a longer objective of a more urgent route
    does not push out the less urgent ones.

        >>> RouteTable().match("prints.example", "/orders/7") is None
        True
    """

    routes: dict[str, list[Route]] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    workspaces: dict[str, Workspace] | None = None
    objectives: dict[str, float] = field(default_factory=dict)
    priorities: dict[str, tuple[int, ...]] = field(default_factory=dict)
    class_objectives: dict[tuple[str, int], float] = field(default_factory=dict)

    @classmethod
    def from_configuration(cls, configuration: Configuration) -> RouteTable:
        """Return the table of a configuration, sorted by descending prefix length."""
        table = cls()
        for route in configuration.routes:
            table.routes.setdefault(route.host.lower(), []).append(route)
        for routes in table.routes.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        for route in configuration.routes:
            for weighted in route.services:
                shortest_s = table.objectives.get(weighted.service, route.objective_s)
                table.objectives[weighted.service] = min(shortest_s, route.objective_s)
        table.set_priorities(configuration)
        table.services = {service.name: service for service in configuration.services}
        if configuration.workspaces is not None:
            table.workspaces = {
                key: workspace
                for workspace in configuration.workspaces
                for key in workspace.keys
            }
        return table

    def set_priorities(self, configuration: Configuration) -> None:
        """Set the priorities of each service and the objectives of its classes."""
        objectives: dict[str, dict[int, float]] = {}
        for route in configuration.routes:
            for priority in possible_priorities(route, configuration.workspaces):
                for weighted in route.services:
                    by_priority = objectives.setdefault(weighted.service, {})
                    shortest_s = by_priority.get(priority, route.objective_s)
                    by_priority[priority] = min(shortest_s, route.objective_s)
        for service, by_priority in objectives.items():
            self.priorities[service] = tuple(sorted(by_priority))
            for priority in by_priority:
                self.class_objectives[service, priority] = min(
                    each_s for p, each_s in by_priority.items() if p >= priority
                )

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, None if none matches."""
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def possible_priorities(
    route: Route, workspaces: tuple[Workspace, ...] | None
) -> set[int]:
    """Return the priorities that requests of a route may have."""
    own = {
        route.priority if each.priority is None else each.priority
        for each in workspaces or ()
    }
    if workspaces is None or route.anonymous:
        own.add(route.priority)
    return own


def effective_priority(route: Route, workspace: Workspace | None) -> int:
    """Return the workspace's priority if it has one, otherwise the route's."""
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority


def pick_service(route: Route, random: Random) -> str:
    """Return the service of a route, drawn by weight if it has several."""
    services = route.services
    if len(services) == 1:
        return services[0].service
    weights = [weighted.weight for weighted in services]
    return random.choices(services, weights)[0].service
