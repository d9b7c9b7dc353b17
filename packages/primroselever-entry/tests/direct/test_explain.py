"""What an entry says that it would decide."""

from __future__ import annotations

import pytest

from primroselever_entry.direct.explain import DispatchExplainer
from primroselever_node.exceptions import ExplainError


def test_the_choice_and_all_back_ends_are_shown(entry):
    entry.add("a", "engine")
    entry.add("b", "engine")
    entry.board.backends.backends["a"].in_flight = 9
    found = DispatchExplainer(entry.board, entry.flow).explain({"service": "engine"})
    assert found["choice"] == "b"
    assert found["servers"]["a"]["load"] == 9
    assert found["servers"]["b"]["version"] == 1


def test_a_refusal_is_explained(entry):
    found = DispatchExplainer(entry.board, entry.flow).explain({"service": "plain"})
    assert found["choice"] is None
    assert found["reason"] == "no back end is listed"


def test_an_unknown_service_is_told_with_those_there_are(entry):
    with pytest.raises(ExplainError, match="engine, plain"):
        DispatchExplainer(entry.board, entry.flow).explain({"service": "other"})


def test_without_a_configuration_it_says_so(entry):
    entry.board.catalogue.configuration = None
    with pytest.raises(ExplainError, match="no configuration"):
        DispatchExplainer(entry.board, entry.flow).explain({"service": "plain"})
