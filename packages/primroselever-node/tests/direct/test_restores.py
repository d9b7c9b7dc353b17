"""Restores of the store are logged and counted once."""

from __future__ import annotations

import logging

import pytest

from primroselever_core.catalogue.catalogue import Catalogue
from primroselever_core.catalogue.store_position import START_POSITION, StorePosition
from primroselever_node.direct import restores
from primroselever_node.direct.restores import record_late_answer, record_restore


class Counter:
    def __init__(self) -> None:
        self.total = 0

    def add(self, count: int) -> None:
        self.total += count


@pytest.fixture
def counters(monkeypatch):
    counters = Counter(), Counter()
    monkeypatch.setattr(restores, "restores", counters[0])
    monkeypatch.setattr(restores, "late_answers", counters[1])
    return counters


# Failure: the first list of a process, or each list of an era, counts as a restore.
@pytest.mark.parametrize(
    ("before", "after", "count"),
    [
        (StorePosition(1, 200), StorePosition(2, 95), 1),
        (START_POSITION, StorePosition(2, 95), 0),
        (StorePosition(2, 95), StorePosition(2, 96), 0),
    ],
)
def test_a_restore_is_recorded_at_the_first_list_of_an_era(
    counters, caplog, before, after, count
):
    caplog.set_level(logging.INFO)
    catalogue = Catalogue()
    catalogue.replace_servers({}, after, 1.0)
    record_restore("store", before, catalogue)
    assert counters[0].total == count
    assert len(caplog.records) == count


# Failure: late answers are dropped without a trace.
def test_a_late_answer_is_recorded(counters, caplog):
    record_late_answer("10.0.0.2", StorePosition(1, 201), 2)
    (line,) = caplog.records
    assert (line.source, line.era, line.revision, line.known_era) == (
        "10.0.0.2",
        1,
        201,
        2,
    )
    assert counters[1].total == 1
