"""Selection of a route, a service and a workspace."""

from __future__ import annotations

from random import Random

from primroselever_core.catalogue.model import WeightedService
from primroselever_core.catalogue.routes import RouteTable, pick_service


def test_the_longest_prefix_wins(make_configuration, make_route):
    table = RouteTable.from_configuration(
        make_configuration(
            1, make_route("short", "/a/", "orders"), make_route("long", "/a/b/", "x")
        )
    )
    assert table.match("DESK.example", "/a/b/c").name == "long"
    assert table.match("desk.example", "/a/c").name == "short"
    assert table.match("desk.example", "/a") is None
    assert table.match("other.example", "/a/b/") is None


def test_a_key_identifies_its_workspace(make_configuration):
    table = RouteTable.from_configuration(make_configuration(1, keys=("k1", "k2")))
    assert table.workspaces["k2"].name == "inks"
    assert "k3" not in table.workspaces


def test_services_are_drawn_by_weight(make_route):
    split = make_route(
        "r",
        "/",
        services=(WeightedService("a", 90.0), WeightedService("b", 10.0)),
    )
    drawn = [pick_service(split, random) for random in map(Random, range(300))]
    assert 5 < drawn.count("b") < 80


def test_a_service_has_the_shortest_objective_of_its_routes(
    make_configuration, make_route
):
    table = RouteTable.from_configuration(
        make_configuration(
            1,
            make_route("long", "/a/", "engine", objective_s=0.4),
            make_route("short", "/b/", "engine", objective_s=0.3),
            make_route("other", "/c/", "plain", objective_s=0.1),
        )
    )
    assert table.objectives == {"engine": 0.3, "plain": 0.1}
