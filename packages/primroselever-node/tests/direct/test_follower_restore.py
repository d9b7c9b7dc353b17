"""Following a store that is restored from an older copy."""

from __future__ import annotations

import logging
from random import Random

import eventlet
import pytest

from primroselever_core.catalogue.catalogue import LAPSE_GRACE_S, Catalogue
from primroselever_core.catalogue.events import ServerListed, WeightsPublished
from primroselever_core.catalogue.model import ListedServer, ServerState
from primroselever_core.catalogue.store_position import StorePosition
from primroselever_node import clock
from primroselever_node.direct import follower as follower_module
from primroselever_node.direct.follower import CatalogueFollower
from primroselever_node.direct.sources import (
    CatalogueChanges,
    CataloguePart,
    HistoryLostError,
    SourceError,
    StoreRestoredError,
)

from .conftest import ScriptedSource

SERVERS, OPERATOR = CataloguePart.SERVERS, CataloguePart.OPERATOR


def listed(name: str, era: int, revision: int, sequence: int) -> ServerListed:
    return ServerListed(
        ListedServer(
            name,
            "s",
            ("10.0.0.1", 1),
            "a",
            ServerState.READY,
            1,
            1,
            revision=revision,
            era=era,
            sequence=sequence,
        )
    )


BEFORE = CatalogueChanges(200, [listed("a", 1, 150, 7), listed("b", 1, 190, 1)], 1)
RESTORED = CatalogueChanges(95, [listed("a", 2, 40, 7)], 2)


@pytest.fixture
def follow(monkeypatch):
    monkeypatch.setattr(follower_module, "FIRST_RETRY_S", 0.001)
    monkeypatch.setattr(follower_module, "MAX_RETRY_S", 0.002)
    monkeypatch.setattr(follower_module, "RESTORE_READ_SPREAD_S", 0.002)

    def run(*script, part=SERVERS, catalogue=None):
        catalogue = catalogue or Catalogue()
        source = ScriptedSource(*script)
        follower = CatalogueFollower(catalogue, source, lambda part: None, [part])
        greenlet = eventlet.spawn(follower.follow, part)
        with eventlet.Timeout(3):
            while len(source.calls) <= len(script):
                eventlet.sleep(0.001)
        greenlet.kill()
        return catalogue, source, follower

    return run


def restore_lines(caplog) -> list[logging.LogRecord]:
    return [line for line in caplog.records if line.getMessage() == "store restored"]


# Failure: the revision of the watch exists in both eras, so that the writes before it
# in the new era are never received.
def test_a_watch_that_continues_in_a_new_era_is_read_in_full(follow, caplog):
    caplog.set_level(logging.INFO)
    catalogue, source, _follower = follow(
        BEFORE, CatalogueChanges(210, [listed("c", 2, 205, 1)], 2), RESTORED
    )
    assert [call[:2] for call in source.calls] == [
        ("read",),
        ("watch", 200),
        ("read",),
        ("watch", 95),
    ]
    assert catalogue.store_position == StorePosition(2, 95)
    assert set(catalogue.servers) == {"a", "b"}
    assert catalogue.expire_lapsed_servers(clock.now() + LAPSE_GRACE_S) == ["b"]
    (line,) = restore_lines(caplog)
    assert (line.era_before, line.era_after) == (1, 2)
    assert (line.missing, line.withheld) == (1, 0)


# Failure: 410 after a restore is taken for a lost history, and the list of the new era
# changes nothing since its revisions are lower.
def test_a_410_of_a_new_era_is_a_restore(follow):
    catalogue, source, follower = follow(BEFORE, HistoryLostError("gone", 2), RESTORED)
    assert [call[0] for call in source.calls] == ["read", "watch", "read", "watch"]
    assert catalogue.store_position == StorePosition(2, 95)
    assert catalogue.expire_lapsed_servers(clock.now() + LAPSE_GRACE_S) == ["b"]
    assert not follower.unavailable_parts


# Failure: a lost history within an era is taken for a restore, so that removed servers
# are kept for the grace period.
@pytest.mark.parametrize("era", [0, 1])
def test_a_410_of_the_same_era_is_a_lost_history(follow, caplog, era):
    caplog.set_level(logging.INFO)
    catalogue, _source, _follower = follow(
        BEFORE,
        HistoryLostError("gone", era),
        CatalogueChanges(230, [listed("a", 1, 150, 7)], 1),
    )
    assert set(catalogue.servers) == {"a"}
    assert not restore_lines(caplog)


# Failure: the store is restored while it is away, slow or refuses this process, and the
# watch goes on from a revision of the era before.
@pytest.mark.parametrize(
    "outcomes",
    [
        [SourceError("silent")] * 3,
        [SourceError("503"), HistoryLostError("compacted", 2)],
        [SourceError("reset"), CatalogueChanges(200, [], 2)],
        [HistoryLostError("compacted", 1), SourceError("429")],
    ],
)
def test_a_restore_during_an_outage(follow, outcomes):
    catalogue, _source, _follower = follow(
        BEFORE, *outcomes, RESTORED, RESTORED, RESTORED
    )
    assert catalogue.store_position == StorePosition(2, 95)
    assert catalogue.expire_lapsed_servers(clock.now() + LAPSE_GRACE_S) == ["b"]


# Failure: an answer that was sent before the restore arrives when the other part, or a
# peer, has brought the new era, and undoes it.
@pytest.mark.parametrize("watching", [False, True])
def test_a_late_answer_of_an_earlier_era_is_dropped(follow, caplog, watching):
    catalogue = Catalogue()

    def late():
        catalogue.replace_servers({}, StorePosition(2, 94), clock.now())
        return CatalogueChanges(201, [listed("late", 1, 201, 1)], 1)

    script = [BEFORE, late, RESTORED] if watching else [late, RESTORED]
    follow(*script, catalogue=catalogue)
    assert "late" not in catalogue.servers
    assert catalogue.store_position == StorePosition(2, 95)
    (line,) = [line for line in caplog.records if "earlier era" in line.getMessage()]
    assert (line.era, line.known_era) == (1, 2)


# Failure: an answer without an era after the store named one cannot be ordered, and its
# revision hides later writes.
def test_an_answer_without_an_era_is_dropped_once_an_era_is_known(follow, caplog):
    catalogue, source, follower = follow(
        BEFORE,
        CatalogueChanges(900, [listed("x", 0, 900, 1)]),
        CatalogueChanges(901, [listed("x", 0, 900, 1)]),
        CatalogueChanges(202, [listed("a", 1, 150, 7)], 1),
    )
    assert set(catalogue.servers) == {"a"}
    assert catalogue.store_position == StorePosition(1, 202)
    assert len([line for line in caplog.records if "earlier era" in line.msg]) == 2


# Failure: a store that sends no eras is not followed.
def test_a_store_without_eras_is_followed_as_before(follow):
    catalogue, source, _follower = follow(
        CatalogueChanges(5, [listed("a", 0, 5, 1)]),
        CatalogueChanges(7, [listed("b", 0, 7, 1)]),
    )
    assert set(catalogue.servers) == {"a", "b"}
    assert [call[0] for call in source.calls] == ["read", "watch", "watch"]


# Failure: the second restore comes before the list after the first one was read.
def test_a_second_restore_before_the_first_is_read(follow, caplog):
    caplog.set_level(logging.INFO)
    catalogue, _source, _follower = follow(
        BEFORE,
        HistoryLostError("gone", 2),
        StoreRestoredError("pages of one read are of eras 2 and 3", 3),
        CatalogueChanges(60, [listed("a", 3, 40, 7)], 3),
    )
    assert catalogue.store_position == StorePosition(3, 60)
    assert catalogue.expire_lapsed_servers(clock.now() + LAPSE_GRACE_S) == ["b"]
    (line,) = restore_lines(caplog)
    assert (line.era_before, line.era_after) == (1, 3)


# Failure: the operator's part of the copy puts an older version into force.
def test_versions_of_weights_do_not_go_back(follow):
    catalogue, _source, _follower = follow(
        CatalogueChanges(200, [WeightsPublished("m", 4)], 1),
        HistoryLostError("gone", 2),
        CatalogueChanges(95, [WeightsPublished("m", 3)], 2),
        CatalogueChanges(97, [WeightsPublished("m", 4)], 2),
        CatalogueChanges(99, [WeightsPublished("m", 5)], 2),
        part=OPERATOR,
    )
    assert [known.version for known in catalogue.weights["m"].history] == [4, 5]


# Failure: a watch of the era before goes on when a peer has brought the new era, and
# the store waits with its answer since nothing changes.
def test_a_part_is_read_again_when_a_new_era_is_known(follow):
    catalogue = Catalogue()

    def changes():
        catalogue.latest_era = 2
        return CatalogueChanges(201, [], 1)

    catalogue, source, _follower = follow(
        BEFORE, changes, RESTORED, catalogue=catalogue
    )
    assert source.calls[-1][:2] == ("watch", 95)
    assert catalogue.store_position == StorePosition(2, 95)


# Pattern: a restore, of which all readers learn at the same moment. Each reads both
# parts in full, and the store limits the reads of all processes together.


def test_the_full_reads_after_a_restore_are_spread_over_time():
    due_in_s = []
    for seed in range(40):
        follower = CatalogueFollower(
            Catalogue(), ScriptedSource(), lambda part: None, random=Random(seed)
        )
        now = clock.now()
        follower.schedule_restore_read(SERVERS, 2)
        due_in_s.append(follower.next_read_at[SERVERS] - now)
    spread_s = follower_module.RESTORE_READ_SPREAD_S
    assert all(0.0 <= delay_s <= spread_s + 0.05 for delay_s in due_in_s)
    assert max(due_in_s) - min(due_in_s) > spread_s / 2


def test_one_full_read_of_a_part_is_made_for_each_era(follow):
    _catalogue, source, _follower = follow(
        BEFORE,
        HistoryLostError("gone", 2),
        RESTORED,
        *[CatalogueChanges(96 + index, [], 2) for index in range(5)],
    )
    assert [call[0] for call in source.calls].count("read") == 2
