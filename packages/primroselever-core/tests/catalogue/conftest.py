from __future__ import annotations

import pytest

from primroselever_core.catalogue.model import (
    CallerLimits,
    Configuration,
    ListedServer,
    Route,
    RouteKind,
    ServerState,
    Service,
    WeightedService,
    Workspace,
)


def route(name: str, prefix: str, *services: str, **changes: object) -> Route:
    values: dict[str, object] = {
        "name": name,
        "host": "desk.example",
        "path_prefix": prefix,
        "kind": RouteKind.IDEMPOTENT,
        "services": tuple(WeightedService(service, 1.0) for service in services),
        "timeout_s": 2.0,
        "objective_s": 0.2,
        "priority": 1,
        "max_attempts": 2,
        "anonymous": False,
        "resumable": False,
    }
    return Route(**(values | changes))  # type: ignore[arg-type]


@pytest.fixture
def make_route():
    return route


@pytest.fixture
def make_configuration():
    def make(revision: int, *routes: Route, keys: tuple[str, ...] = ("key",)):
        return Configuration(
            revision,
            routes,
            (Service("orders", 10),),
            CallerLimits(1000, 1000, 1.0, 1.0),
            (Workspace("inks", keys),),
        )

    return make


@pytest.fixture
def make_server():
    def make(
        server_id: str,
        state: ServerState = ServerState.READY,
        born_ms: int = 1,
        revision: int = 0,
    ):
        return ListedServer(
            server_id,
            "orders",
            ("10.0.0.1", 80),
            "muscat-a",
            state,
            4,
            born_ms,
            revision=revision,
        )

    return make
