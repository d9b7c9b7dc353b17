from __future__ import annotations

from typing import Any

import pytest
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from primroselever_core.board import Blackboard
from primroselever_core.identifiers import FailureDomain, Incarnation, Region, VmId
from primroselever_core.identity import Identity
from primroselever_node import clock
from primroselever_node.metrics import observe_board


@pytest.fixture
def board() -> Blackboard:
    identity = Identity(
        VmId("a"), FailureDomain("lag-a"), Region("west"), Incarnation(1)
    )
    return Blackboard(identity)


def data_points(board: Blackboard) -> dict[str, Any]:
    reader = InMemoryMetricReader()
    observe_board(board, MeterProvider([reader]).get_meter("test"))
    data = reader.get_metrics_data()
    assert data is not None
    metrics = data.resource_metrics[0].scope_metrics[0].metrics
    return {metric.name: metric.data.data_points[0] for metric in metrics}


def test_the_age_of_a_list_that_was_never_received_has_no_data_point(
    board: Blackboard,
) -> None:
    points = data_points(board)

    assert "primroselever.vm_list.age" not in points
    assert points["primroselever.profiles.revision"].value == 0


def test_the_age_of_the_list_counts_from_when_it_was_received(
    board: Blackboard, monkeypatch: pytest.MonkeyPatch
) -> None:
    board.members.listed_at = 10.0
    monkeypatch.setattr(clock, "now", lambda: 12.5)

    assert data_points(board)["primroselever.vm_list.age"].value == 2.5
