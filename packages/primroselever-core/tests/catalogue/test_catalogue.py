"""Rules by which updates replace the content of the catalogue."""

from __future__ import annotations

from dataclasses import replace

import pytest

from primroselever_core.catalogue.catalogue import LAPSE_GRACE_S, Catalogue
from primroselever_core.catalogue.model import ServerState
from primroselever_core.catalogue.routes import RouteTable
from primroselever_core.catalogue.store_position import StorePosition


def test_an_older_configuration_is_ignored(make_configuration):
    catalogue = Catalogue()
    assert catalogue.configure(make_configuration(7), 1.0)
    assert not catalogue.configure(make_configuration(7), 2.0)
    assert not catalogue.configure(make_configuration(3), 2.0)
    assert catalogue.configuration.revision == 7


def test_a_newer_version_does_not_postpone_the_bound_of_the_version_before():
    catalogue = Catalogue()
    catalogue.publish_weights("m", 2, 18.0)
    catalogue.publish_weights("m", 3, 21.0)
    published = catalogue.weights["m"]
    assert published.newest_absent_by(17.9) == 0
    assert published.newest_absent_by(18.0) == 2
    assert published.newest_absent_by(21.0) == 3


def test_an_older_version_is_ignored():
    catalogue = Catalogue()
    catalogue.publish_weights("m", 3, 1.0)
    assert not catalogue.publish_weights("m", 2, 2.0)
    assert catalogue.weights["m"].version == 3


def test_a_removed_server_is_dropped_immediately(make_server):
    catalogue = Catalogue()
    catalogue.list_server(make_server("a"))
    assert catalogue.process_missing_entry("a", StorePosition(0, 1), 5.0)
    assert not catalogue.servers


def test_servers_whose_entries_lapsed_in_an_outage_get_a_grace_period(make_server):
    catalogue = Catalogue()
    catalogue.list_server(make_server("a"))
    catalogue.list_server(make_server("b"))
    catalogue.start_lapse_grace(10.0)
    assert not catalogue.process_missing_entry("a", StorePosition(0, 1), 10.1)
    assert not catalogue.process_missing_entry("b", StorePosition(0, 1), 10.1)
    catalogue.list_server(make_server("a", revision=2))
    assert catalogue.expire_lapsed_servers(10.0 + LAPSE_GRACE_S) == ["b"]
    assert set(catalogue.servers) == {"a"}


def test_an_older_entry_does_not_end_a_lapse(make_server):
    catalogue = Catalogue()
    catalogue.list_server(make_server("a", revision=1))
    catalogue.start_lapse_grace(10.0)
    catalogue.process_missing_entry("a", StorePosition(0, 2), 10.1)
    catalogue.list_server(make_server("a", revision=1))
    assert catalogue.expire_lapsed_servers(10.0 + LAPSE_GRACE_S) == ["a"]
    catalogue.list_server(make_server("a", revision=1))
    assert not catalogue.servers


def test_a_copy_replaces_servers_only_if_its_revision_is_later(
    make_configuration, make_server
):
    behind, ahead = Catalogue(), Catalogue()
    ahead.configure(make_configuration(4), 1.0)
    ahead.list_server(make_server("a"))
    ahead.store_position = StorePosition(0, 10)
    behind.list_server(make_server("b"))
    behind.store_position = StorePosition(0, 9)
    behind.store_contact_at = 1.5
    assert behind.merge(ahead.copy(), 2.0)
    assert set(behind.servers) == {"a"}
    assert behind.configuration.revision == 4
    assert not behind.merge(ahead.copy(), 3.0)


def test_a_stale_copy_reverts_nothing(make_configuration, make_server):
    fresh, stale = Catalogue(), Catalogue()
    fresh.configure(make_configuration(4, keys=("new",)), 1.0)
    fresh.store_position = StorePosition(0, 10)
    stale.configure(make_configuration(3, keys=("revoked",)), 1.0)
    stale.list_server(make_server("gone"))
    stale.store_position = StorePosition(0, 8)
    assert not fresh.merge(stale.copy(), 2.0)
    assert set(fresh.routes.workspaces) == {"new"}
    assert not fresh.servers


# Guards against a bound that a started process keeps at its estimate, or that moves on
# with the times that peers pass on to one another.
def test_a_process_that_started_late_learns_publication_times_from_a_peer():
    catalogue = Catalogue()
    catalogue.publish_weights("m", 2, 30.0)
    published = catalogue.weights["m"]
    published.assume_absent_at(25.0)
    assert published.newest_absent_by(26.0) == 2
    published.record_peer_absent_at(2, 28.0)
    assert published.newest_absent_by(27.9) == 0
    published.record_peer_absent_at(2, 29.0)
    published.record_peer_absent_at(2, 27.0)
    assert published.newest_absent_by(27.9) == 0
    assert published.newest_absent_by(28.0) == 2


def test_a_peers_time_for_an_unknown_newer_version_is_ignored():
    catalogue = Catalogue()
    catalogue.publish_weights("m", 2, 30.0)
    catalogue.weights["m"].record_peer_absent_at(3, 1.0)
    catalogue.weights["m"].record_peer_learned_at(3, 1.0)
    assert catalogue.weights["m"].absent_at == 30.0
    assert len(catalogue.weights["m"].history) == 1


def test_a_process_that_was_cut_off_keeps_its_servers_for_the_grace_period(make_server):
    cut_off, other = Catalogue(), Catalogue()
    cut_off.list_server(make_server("beside"))
    cut_off.store_contact_at = 10.0
    other.list_server(make_server("far"))
    other.store_position = StorePosition(0, 5)
    assert cut_off.merge(other.copy(), 20.0)
    assert set(cut_off.servers) == {"beside", "far"}
    assert cut_off.expire_lapsed_servers(20.0 + LAPSE_GRACE_S) == ["beside"]


def test_the_bounds_of_versions_before_the_newest_are_learned_from_a_peer():
    catalogue = Catalogue()
    catalogue.publish_weights("m", 3, 10.5)
    published = catalogue.weights["m"]
    published.record_peer_absent_at(3, 8.0)
    published.record_peer_absent_at(2, 6.0)
    assert published.newest_absent_by(6.0) == 2
    assert published.newest_absent_by(8.0) == 3
    assert published.version == 3


def test_an_older_entry_that_arrives_late_is_ignored(make_server):
    """A server published that it leaves; its older entry arrives by a slower path."""
    catalogue = Catalogue()
    ready = replace(make_server("a"), revision=30)
    leaving = replace(make_server("a", ServerState.LEAVING), revision=35)
    catalogue.list_server(leaving)
    assert not catalogue.list_server(ready)
    assert catalogue.servers["a"].state is ServerState.LEAVING
    assert not catalogue.process_missing_entry("a", StorePosition(0, 34), 1.0)
    assert catalogue.process_missing_entry("a", StorePosition(0, 36), 1.0)
    assert not catalogue.list_server(leaving)
    assert not catalogue.servers


def test_a_peers_copy_does_not_restore_an_older_state(make_server):
    fresh, peer = Catalogue(), Catalogue()
    fresh.list_server(replace(make_server("a", ServerState.LEAVING), revision=35))
    fresh.store_position = StorePosition(0, 36)
    fresh.store_contact_at = 1.0
    peer.list_server(replace(make_server("a"), revision=30))
    peer.list_server(replace(make_server("b"), revision=37))
    peer.store_position = StorePosition(0, 37)
    fresh.merge(peer.copy(), 1.5)
    assert fresh.servers["a"].state is ServerState.LEAVING
    assert "b" in fresh.servers


# Guards against old routes that stay in force under the revision of a configuration
# that could not be applied.
def test_a_configuration_that_cannot_be_applied_leaves_the_one_in_force(
    make_configuration, monkeypatch
):
    def fail(configuration):
        raise RuntimeError("a fault of the program")

    catalogue, newer = Catalogue(), make_configuration(4)
    with monkeypatch.context() as context:
        context.setattr(RouteTable, "from_configuration", fail)
        with pytest.raises(RuntimeError):
            catalogue.configure(newer, 1.0)
    assert catalogue.configuration is None
    assert catalogue.configure(newer, 2.0)
