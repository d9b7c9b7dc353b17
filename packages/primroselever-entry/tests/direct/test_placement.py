"""Requests keep to their homes and out of evacuated failure domains."""

from __future__ import annotations

import logging
from dataclasses import replace

import eventlet
import pytest

from primroselever_core.catalogue.model import Workspace
from primroselever_core.catalogue.routes import RouteTable
from primroselever_core.catalogue.store_position import StorePosition
from primroselever_core.findings import Finding
from primroselever_entry.direct.explain import DispatchExplainer
from primroselever_entry.direct.placing import describe_placement, log_home_problems
from primroselever_node import clock
from primroselever_node.exceptions import ExplainError

from .conftest import (
    EVENTS,
    HANG,
    PAUSE,
    RESET,
    SHORT_S,
    STREAM_END,
    ask,
    assert_complete,
    chunk,
    events_of,
    ok_response,
    read_all,
    refusal,
    request,
    stream_head,
)

pytestmark = pytest.mark.usefixtures("long_limits")

REGIONS = {"a": "north", "b": "south", "c": "north"}
HOME_REASON = b"no back end is in an allowed region"
EVACUATION_REASON = b"all allowed failure domains are evacuated"


@pytest.fixture
def entry(entry):
    entry.flow.limits = replace(entry.flow.limits, regions=REGIONS)
    entry.counted = []
    entry.flow.instruments.placement_refusals.add = lambda count, labels: (
        entry.counted.append(labels["reason"])
    )
    return entry


def change_routes(entry, workspace_regions=(), **changes) -> None:
    configuration = entry.board.catalogue.configuration
    entry.board.catalogue.configure(
        replace(
            configuration,
            revision=configuration.revision + 1,
            routes=tuple(replace(each, **changes) for each in configuration.routes),
            workspaces=(Workspace("inks", ("k1",), None, tuple(workspace_regions)),),
        ),
        2.0,
    )


def restrict(entry, route_regions=(), workspace_regions=()) -> None:
    change_routes(entry, workspace_regions, regions=tuple(route_regions))


def evacuate(entry, *domains: str) -> None:
    evacuations = entry.board.catalogue.evacuations
    for domain in domains:
        revision = evacuations.position.revision + 1
        evacuations.write(domain, StorePosition(0, revision), clock.now())


# Guards against a first attempt outside the homes, although the server there is idle.
@pytest.mark.parametrize("homes", [(["north"], []), ([], ["north"])])
def test_first_attempt_keeps_to_the_homes(entry, homes):
    busy, idle = entry.add("s1", failure_domain="c"), entry.add("s2", "plain", "b")
    entry.board.backends.backends["s1"].in_flight = 20
    restrict(entry, *homes)
    busy.responses = [ok_response()]
    assert entry.send().startswith(b"HTTP/1.1 200")
    assert idle.requests == []


# Guards against a wait, a wrong status or a missing cause when no server may be used.
@pytest.mark.parametrize(
    ("homes", "evacuated", "reason", "label"),
    [
        ((["south"], ["north"]), (), HOME_REASON, "homes"),
        ((["moon"], []), (), HOME_REASON, "homes"),
        (([], []), ("a", "b"), EVACUATION_REASON, "evacuation"),
        ((["south"], []), ("b",), EVACUATION_REASON, "evacuation"),
    ],
)
def test_refusal_is_immediate_true_and_names_its_cause(
    entry, caplog, homes, evacuated, reason, label
):
    caplog.set_level(logging.INFO)
    backends = [entry.add("s1"), entry.add("s2", "plain", "b")]
    restrict(entry, *homes)
    evacuate(entry, *evacuated)
    started_at = clock.now()
    response = entry.send()
    assert clock.now() - started_at < 0.1
    assert response.startswith(b"HTTP/1.1 503")
    assert reason in response
    assert b"retry-after" in response.lower()
    assert [backend.requests for backend in backends] == [[], []]
    assert entry.counted == [label]
    (line,) = [each for each in caplog.records if each.getMessage() == "placement"]
    assert line.cause == label
    assert line.domains == {"a": "north", "b": "south"}


# Guards against homes that allow everything where the regions are not configured.
def test_failure_domain_of_unknown_region_is_no_home(entry):
    backend = entry.add("s1")
    entry.flow.limits = replace(entry.flow.limits, regions={})
    restrict(entry, ["north"])
    assert HOME_REASON in entry.send()
    assert backend.requests == []


# Guards against a retry outside the homes or in an evacuated failure domain.
@pytest.mark.parametrize("cause", ["homes", "evacuation"])
@pytest.mark.parametrize("first_response", [[RESET], refusal()])
def test_retry_keeps_to_the_placement(entry, cause, first_response):
    first, other = entry.add("s1"), entry.add("s2", "plain", "b")
    if cause == "homes":
        restrict(entry, ["north"])
    else:
        evacuate(entry, "b")
    first.responses = [first_response]
    response = entry.send()
    assert response.startswith((b"HTTP/1.1 502", b"HTTP/1.1 503"))
    assert len(first.requests) == 1
    assert other.requests == []


# Guards against a stream that is resumed outside the homes or in an evacuated domain.
@pytest.mark.usefixtures("short_silence")
@pytest.mark.parametrize("cause", ["homes", "evacuation"])
@pytest.mark.parametrize("end", [HANG, RESET])
def test_resumed_stream_keeps_to_the_placement(entry, cause, end):
    if end == HANG:
        entry.limit_requests(SHORT_S)
    first, other = entry.add("s1", "engine"), entry.add("s2", "engine", "b")
    if cause == "homes":
        restrict(entry, ["north"])
    else:
        evacuate(entry, "b")
    first.responses = [[stream_head() + chunk(EVENTS[0]), end]]
    response = ask(entry)
    assert events_of(response) == EVENTS[0].replace(b"\n\n", b"\n")
    assert not response.endswith(STREAM_END)
    assert other.requests == []


# Guards against an evacuation that cuts off the requests that already run there.
def test_stream_that_runs_in_an_evacuated_domain_ends_undisturbed(entry):
    first, other = entry.add("s1", "engine"), entry.add("s2", "engine", "b")
    entry.board.backends.backends["s2"].in_flight = 7
    first.responses = [
        [
            stream_head() + chunk(EVENTS[0]),
            PAUSE,
            chunk(EVENTS[1]),
            chunk(EVENTS[2]) + STREAM_END,
        ]
    ]
    connection = entry.connect()
    connection.sendall(request("/ask/x", "POST", b"p", ["x-model: m"]))
    eventlet.sleep(0.03)
    evacuate(entry, "a")
    assert_complete(read_all(connection))
    entry.board.backends.backends["s2"].in_flight = 0
    # An engine of another domain without reports is predicted to be late by 0.34 s.
    change_routes(entry, objective_s=2.0)
    other.responses = [[stream_head() + chunk(b"".join(EVENTS)) + STREAM_END]]
    ask(entry)
    assert len(other.requests) == 1
    assert len(first.requests) == 1


# Guards against a request that is sent to a domain that was evacuated, or left the
# homes, while the connection was opened.
@pytest.mark.parametrize("cause", ["homes", "evacuation"])
def test_placement_is_checked_again_before_a_request_is_sent(entry, cause):
    first, other = entry.add("s1"), entry.add("s2", "plain", "b")
    acquire, opened = entry.flow.pool.acquire_connection, []

    def acquire_slowly(server_id, *arguments):
        if not opened:
            if cause == "homes":
                restrict(entry, ["south"])
            else:
                evacuate(entry, "a")
        opened.append(server_id)
        return acquire(server_id, *arguments)

    entry.flow.pool.acquire_connection = acquire_slowly
    other.responses = [ok_response()]
    response = entry.send("/order/x", method="POST", body=b"p")
    assert response.startswith(b"HTTP/1.1 200")
    assert opened == ["s1", "s2"]
    assert first.requests == []


# Guards against a retry by the homes of the configuration in force at admission.
def test_configuration_in_force_decides_the_homes_of_a_retry(entry):
    first, other = entry.add("s1"), entry.add("s2", "plain", "b")
    entry.board.backends.backends["s2"].in_flight = 7

    def parts():
        restrict(entry, ["north"])
        yield from refusal()

    first.responses = [parts()]
    assert entry.send().startswith(b"HTTP/1.1 503")
    assert other.requests == []


# Guards against further searches through hundreds of routes for each attempt while the
# configuration does not change.
def test_route_is_searched_once_while_the_configuration_stays(entry, monkeypatch):
    backend, searched = entry.add("s1"), []
    match = RouteTable.match

    def counted_match(table, host, path):
        searched.append(path)
        return match(table, host, path)

    monkeypatch.setattr(RouteTable, "match", counted_match)
    restrict(entry, ["north"])
    backend.responses = [ok_response()]
    assert entry.send().startswith(b"HTTP/1.1 200")
    assert len(searched) == 1


# Guards against callers that come back at once to homes whose servers all turn requests
# away, because a server elsewhere is open.
def test_delay_of_a_refusal_ignores_servers_outside_the_homes(entry):
    first = entry.add("s1")
    entry.add("s2", "plain", "b")
    restrict(entry, ["north"])

    def parts():
        closed = entry.board.backends.backends["s1"].announced
        closed.returns_at = clock.now() + 5.0
        yield from refusal()

    first.responses = [parts()]
    response = entry.send("/order/x", method="POST", body=b"p")
    assert response.startswith(b"HTTP/1.1 503")
    head = response.lower().partition(b"retry-after: ")[2]
    assert float(head.partition(b"\r\n")[0]) >= 4.0


def test_explanation_shows_homes_and_evacuations(entry):
    entry.add("s1")
    entry.add("s2", "plain", "b")
    restrict(entry, ["south"])
    evacuate(entry, "b")
    explainer = DispatchExplainer(entry.board, entry.flow)
    explanation = explainer.explain({"service": "plain", "route": "read"})
    assert explanation["choice"] is None
    assert explanation["reason"].encode() == EVACUATION_REASON
    assert explanation["homes"] == ["south"]
    assert explanation["evacuated"] == ["b"]
    assert explanation["servers"]["s2"]["is_home"]
    assert explanation["servers"]["s1"]["region"] == "north"
    assert explainer.explain({"service": "plain"})["choice"] == "s1"
    with pytest.raises(ExplainError, match="no route"):
        explainer.explain({"service": "plain", "route": "other"})


def test_status_shows_homes_and_evacuations(entry):
    restrict(entry, ["south"], ["north"])
    evacuate(entry, "b")
    described = describe_placement(entry.board.catalogue, REGIONS, clock.now())
    assert described["regions"] == REGIONS
    assert described["route_homes"]["read"] == ["south"]
    assert described["workspace_homes"] == {"inks": ["north"]}
    assert described["evacuations"]["b"]["revision"] == 1
    assert not described["evacuations"]["b"]["kept"]


# Guards against routes that refuse all requests without a notice, and against a line
# for each of hundreds of routes.
def test_unusable_homes_are_logged_in_one_line(entry, caplog):
    caplog.set_level(logging.INFO)
    log_home_problems(entry.board.catalogue, REGIONS)
    assert not caplog.records
    restrict(entry, ["moon"])
    log_home_problems(entry.board.catalogue, REGIONS)
    (line,) = caplog.records
    assert line.problems == 4
    finding = Finding("regions", "it contradicts region", "correct one")
    log_home_problems(entry.board.catalogue, REGIONS, [finding])
    assert caplog.records[-1].problems == 5
    assert "it contradicts region" in caplog.records[-1].reason
    assert "route read: no failure domain is in moon" in line.reason
