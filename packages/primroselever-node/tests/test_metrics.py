from __future__ import annotations

from typing import Any

import pytest
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from primroselever_core.board import Blackboard, Identity
from primroselever_core.identifiers import FailureDomain, Incarnation, Region, VmId
from primroselever_node import clock
from primroselever_node.metrics import observe_board


@pytest.fixture
def board() -> Blackboard:
    identity = Identity(
        VmId("a"), FailureDomain("lag-a"), Region("west"), Incarnation(1)
    )
    return Blackboard(identity)


def shown(board: Blackboard) -> dict[str, Any]:
    reader = InMemoryMetricReader()
    observe_board(board, MeterProvider([reader]).get_meter("test"))
    data = reader.get_metrics_data()
    assert data is not None
    found = data.resource_metrics[0].scope_metrics[0].metrics
    return {m.name: m.data.data_points[0] for m in found}


def test_an_age_of_what_was_never_heard_is_not_shown(board: Blackboard) -> None:
    names = shown(board)

    assert "primroselever.vm_list.age" not in names
    assert names["primroselever.profiles.revision"].value == 0


def test_ages_count_from_when_it_was_heard(
    board: Blackboard, monkeypatch: pytest.MonkeyPatch
) -> None:
    board.members.listed_at = 10.0
    monkeypatch.setattr(clock, "now", lambda: 12.5)

    assert shown(board)["primroselever.vm_list.age"].value == 2.5
