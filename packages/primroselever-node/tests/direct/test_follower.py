"""Following a store that fails, drops its history and recovers."""

from __future__ import annotations

import eventlet
import pytest

from primroselever_core.catalogue.catalogue import Catalogue
from primroselever_core.catalogue.events import (
    ServerListed,
    ServerRemoved,
    WeightsPublished,
)
from primroselever_core.catalogue.model import ListedServer, ServerState
from primroselever_node import clock
from primroselever_node.direct import follower as follower_module
from primroselever_node.direct.follower import CatalogueFollower
from primroselever_node.direct.sources import (
    CatalogueChanges,
    CataloguePart,
    HistoryLostError,
    SourceError,
)


class ScriptedSource:
    """Returns or raises the outcomes of a script in turn, then blocks forever."""

    def __init__(self, *script) -> None:
        self.script = list(script)
        self.calls: list[tuple] = []

    def next_outcome(self, *call):
        self.calls.append(call)
        if not self.script:
            eventlet.sleep(3600)
        outcome = self.script.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    def read(self, part):
        return self.next_outcome("read")

    def watch(self, part, after, wait_s):
        return self.next_outcome("watch", after, wait_s)


def server(name: str) -> ListedServer:
    return ListedServer(name, "s", ("10.0.0.1", 1), "a", ServerState.READY, 1)


@pytest.fixture
def follow(monkeypatch):
    monkeypatch.setattr(follower_module, "FIRST_RETRY_S", 0.001)
    monkeypatch.setattr(follower_module, "MAX_RETRY_S", 0.002)

    def run(*script, part=CataloguePart.SERVERS):
        catalogue, source = Catalogue(), ScriptedSource(*script)
        changed = []
        follower = CatalogueFollower(catalogue, source, changed.append, [part])
        greenlet = eventlet.spawn(follower.follow, part)
        while len(source.calls) <= len(script):
            eventlet.sleep(0.001)
        greenlet.kill()
        return catalogue, source, changed

    return run


def test_a_read_is_followed_by_watches_from_its_revision(follow):
    catalogue, source, changed = follow(
        CatalogueChanges(5, [ServerListed(server("a"))]),
        CatalogueChanges(7, [ServerListed(server("b"))]),
    )
    assert set(catalogue.servers) == {"a", "b"}
    assert [call[:2] for call in source.calls] == [
        ("read",),
        ("watch", 5),
        ("watch", 7),
    ]
    assert len(changed) == 2
    assert catalogue.store_revision == 7


def test_after_a_lost_history_a_full_read_removes_missing_servers(follow):
    catalogue, _source, _changed = follow(
        CatalogueChanges(5, [ServerListed(server("a")), ServerListed(server("b"))]),
        HistoryLostError("dropped"),
        CatalogueChanges(9, [ServerListed(server("b"))]),
    )
    assert set(catalogue.servers) == {"b"}


def test_servers_are_kept_during_an_outage(follow):
    catalogue, source, _changed = follow(
        CatalogueChanges(5, [ServerListed(server("a"))]),
        SourceError("silent"),
        SourceError("silent"),
    )
    assert set(catalogue.servers) == {"a"}
    assert source.calls[-1] == ("watch", 5, 0.0)


def test_back_ends_whose_leases_lapsed_expire_after_a_grace_time(follow, monkeypatch):
    monkeypatch.setattr(follower_module, "MIN_LAPSE_OUTAGE_S", 0.0)
    catalogue, _source, _changed = follow(
        CatalogueChanges(5, [ServerListed(server("a"))]),
        SourceError("silent"),
        CatalogueChanges(8, [ServerRemoved("a", 8)]),
    )
    assert set(catalogue.servers) == {"a"}
    assert catalogue.expire_lapsed_servers(clock.now() + 2.1) == ["a"]


def test_versions_of_weights_are_applied(follow):
    catalogue, _source, changed = follow(
        CatalogueChanges(5, [WeightsPublished("m", 2)]), part=CataloguePart.OPERATOR
    )
    assert catalogue.weights["m"].version == 2
    assert changed == [CataloguePart.OPERATOR]


def test_the_store_is_not_read_while_the_process_relies_on_peers(monkeypatch):
    monkeypatch.setattr(follower_module, "READ_ROLE_CHECK_S", 0.01)
    reads = False
    source = ScriptedSource(CatalogueChanges(5, [ServerListed(server("a"))]))
    catalogue = Catalogue()
    CatalogueFollower(
        catalogue,
        source,
        lambda part: None,
        [CataloguePart.SERVERS],
        should_read=lambda: reads,
    ).start()
    eventlet.sleep(0.05)
    assert not source.calls
    assert catalogue.own_read_at is None
    reads = True
    eventlet.sleep(0.05)
    assert source.calls[0] == ("read",)
    assert set(catalogue.servers) == {"a"}
    assert catalogue.own_read_at is not None
