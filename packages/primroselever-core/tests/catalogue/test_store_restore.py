"""
What stays in force when the store is restored from an older copy.

The store of these tests had reached revision 200 of era 1, and was restored from a copy
of revision 90. Its list of era 2 has revision 95.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from primroselever_core.catalogue.catalogue import (
    LAPSE_GRACE_S,
    OUTAGE_S,
    Catalogue,
)
from primroselever_core.catalogue.events import ServerListed, ServerRemoved, apply
from primroselever_core.catalogue.model import ServerState
from primroselever_core.catalogue.store_position import StorePosition

BEFORE, RESTORED = StorePosition(1, 200), StorePosition(2, 95)
NOW = 100.0
GRACE_END = NOW + LAPSE_GRACE_S
READY, LEAVING = ServerState.READY, ServerState.LEAVING


@pytest.fixture
def entry(make_server):
    """Return an entry of a server as written in an era, by default by one start."""

    def make(server_id, era, revision, sequence, state=READY, born_ms=1, **changes):
        server = make_server(server_id, state, born_ms, revision)
        return replace(server, era=era, sequence=sequence, **changes)

    return make


def listing(*servers):
    return {server.server_id: server for server in servers}


def make_catalogue(*servers) -> Catalogue:
    """Return a catalogue with a list of the era before the restore."""
    catalogue = Catalogue(store_contact_at=NOW)
    catalogue.replace_servers(listing(*servers), BEFORE, NOW - 10.0)
    return catalogue


def end_grace(catalogue: Catalogue) -> tuple[list[str], list[str]]:
    """Return the servers that are adopted and those that are removed."""
    return (
        catalogue.adopt_withheld_servers(GRACE_END),
        catalogue.expire_lapsed_servers(GRACE_END),
    )


# Failure: revisions went back, so a bare revision hides all writes of the new era.
def test_a_later_write_of_the_new_era_replaces_the_entry_though_its_revision_is_lower(
    entry,
):
    catalogue = make_catalogue(entry("a", 1, 180, 50))
    catalogue.replace_servers(listing(entry("a", 2, 40, 30)), RESTORED, NOW)
    later = entry("a", 2, 97, 51, LEAVING)
    assert apply(ServerListed(later), catalogue, NOW + 0.5)
    assert catalogue.servers == {"a": later}


# Failure: the restored copy says ready, and a server that leaves gets requests again.
def test_a_server_that_was_seen_leaving_stays_so_after_the_restore(entry):
    leaving = entry("a", 1, 180, 50, LEAVING)
    catalogue = make_catalogue(leaving)
    catalogue.replace_servers(listing(entry("a", 2, 40, 30)), RESTORED, NOW)
    assert catalogue.servers == {"a": leaving}
    assert end_grace(catalogue) == ([], [])
    assert catalogue.servers == {"a": leaving}
    # The server wrote nothing again, so its lease ends.
    apply(ServerRemoved("a", 98, 2), catalogue, GRACE_END + 1)
    assert not catalogue.servers


# Failure: requests for weights that a server has loaded go elsewhere, or fail.
def test_older_weights_of_the_restored_copy_do_not_replace_newer_ones(entry):
    newer = entry("a", 1, 180, 50, weights=(("m", 2),))
    older = entry("a", 2, 40, 30, weights=(("m", 1),))
    catalogue = make_catalogue(newer)
    catalogue.replace_servers(listing(older), RESTORED, NOW)
    assert catalogue.servers == {"a": newer}
    again = entry("a", 2, 97, 52, weights=(("m", 2),))
    assert catalogue.list_server(again)
    assert end_grace(catalogue) == ([], [])
    assert catalogue.servers == {"a": again}


# Failure: a state of the era before is kept forever because the server's state returned
# to the copied one, so that its heartbeats change nothing in the store.
def test_after_the_grace_period_the_list_of_the_new_era_is_in_force(entry):
    older = entry("a", 2, 40, 30, weights=(("m", 1),))
    catalogue = make_catalogue(entry("a", 1, 180, 50, weights=(("m", 2),)))
    catalogue.replace_servers(listing(older), RESTORED, NOW)
    assert catalogue.adopt_withheld_servers(GRACE_END - 0.1) == []
    assert end_grace(catalogue) == (["a"], [])
    assert catalogue.servers == {"a": older}


# Failure: requests go to a server that ended, because the copy still lists it.
@pytest.mark.parametrize("last_sequence", [30, 50])
def test_a_server_that_was_removed_is_not_used_again_by_a_restored_entry(
    entry, last_sequence
):
    catalogue = make_catalogue(entry("a", 1, 180, last_sequence))
    apply(ServerRemoved("a", 190, 1), catalogue, NOW - 5.0)
    catalogue.replace_servers(listing(entry("a", 2, 40, 30)), RESTORED, NOW)
    assert not catalogue.servers
    # Its lease ends in the new era too.
    apply(ServerRemoved("a", 99, 2), catalogue, NOW + 1.0)
    assert end_grace(catalogue) == ([], [])
    assert not catalogue.servers


# Failure: a live server whose lease lapsed before the restore is never used again, as
# its heartbeats refresh the restored entry without changing it.
def test_a_removed_server_that_stays_listed_is_used_after_the_grace_period(entry):
    catalogue = make_catalogue(entry("a", 1, 40, 30))
    apply(ServerRemoved("a", 190, 1), catalogue, NOW - 5.0)
    restored = entry("a", 2, 40, 30)
    catalogue.replace_servers(listing(restored), RESTORED, NOW)
    assert not catalogue.servers
    assert end_grace(catalogue) == (["a"], [])
    assert catalogue.servers == {"a": restored}


# Failure: as above, but the server had left, which is final for this start.
def test_a_server_that_left_is_not_used_after_the_grace_period(entry):
    catalogue = make_catalogue(entry("a", 1, 180, 50, LEAVING))
    apply(ServerRemoved("a", 190, 1), catalogue, NOW - 5.0)
    catalogue.replace_servers(listing(entry("a", 2, 40, 30)), RESTORED, NOW)
    assert end_grace(catalogue) == ([], [])
    assert not catalogue.servers
    started_again = entry("a", 2, 99, 1, born_ms=2)
    assert catalogue.list_server(started_again)
    assert catalogue.servers == {"a": started_again}


# Failure: a server that registered after the copy was made is dropped at the restore.
def test_a_server_missing_from_the_restored_list_is_kept_for_the_grace_period(entry):
    catalogue = make_catalogue(entry("a", 1, 150, 1), entry("b", 1, 160, 1))
    catalogue.replace_servers({}, RESTORED, NOW)
    assert set(catalogue.servers) == {"a", "b"}
    again = entry("a", 2, 96, 9)
    assert catalogue.list_server(again)
    assert catalogue.expire_lapsed_servers(GRACE_END - 0.1) == []
    assert end_grace(catalogue) == ([], ["b"])
    assert catalogue.servers == {"a": again}


# Failure: an entry of the era before is kept forever, since its revision is higher than
# that of the list from which it is missing.
def test_nothing_missing_outlives_the_grace_period(entry):
    catalogue = make_catalogue(entry("a", 1, 199, 1))
    catalogue.replace_servers({}, RESTORED, NOW)
    end_grace(catalogue)
    assert not catalogue.servers
    # A late entry of the era before does not return it either.
    assert not catalogue.list_server(entry("a", 1, 199, 1))


# Failure: a server without a counter of its writes is never updated again.
def test_without_a_counter_of_writes_the_later_era_decides(entry):
    catalogue = make_catalogue(entry("a", 1, 180, None, LEAVING))
    restored = entry("a", 2, 40, None)
    catalogue.replace_servers(listing(restored), RESTORED, NOW)
    assert catalogue.servers == {"a": restored}
    assert not catalogue.list_server(entry("a", 1, 199, None, LEAVING))


# Failure: the counter starts anew with each start of a server, so that the writes of a
# start after the restore seem to be older.
def test_a_later_start_of_a_server_is_a_later_write(entry):
    catalogue = make_catalogue(entry("a", 1, 180, 50, LEAVING))
    started_again = entry("a", 2, 96, 1, born_ms=2)
    catalogue.replace_servers(listing(started_again), RESTORED, NOW)
    assert catalogue.servers == {"a": started_again}


# Failure: an answer of the era before arrives after the restore and undoes it.
def test_a_list_of_an_earlier_era_is_ignored(entry):
    catalogue = make_catalogue(entry("a", 1, 180, 50))
    current = entry("b", 2, 40, 7)
    catalogue.replace_servers(listing(current), RESTORED, NOW)
    end_grace(catalogue)
    catalogue.replace_servers(
        listing(entry("a", 1, 180, 50)), StorePosition(1, 300), GRACE_END
    )
    assert catalogue.servers == {"b": current}
    assert catalogue.store_position == RESTORED
    assert not apply(ServerRemoved("b", 300, 1), catalogue, GRACE_END)


# Failure: the second restore is taken for old news, or judged by the first one's list.
def test_a_second_restore_before_the_first_is_processed(entry):
    leaving = entry("a", 1, 180, 50, LEAVING)
    catalogue = make_catalogue(leaving, entry("b", 1, 170, 3))
    catalogue.replace_servers(listing(entry("a", 2, 40, 30)), RESTORED, NOW - 1.5)
    catalogue.replace_servers(listing(entry("a", 3, 20, 12)), StorePosition(3, 60), NOW)
    # The grace period starts anew, and the entry of era 2 is not used when it ends.
    assert catalogue.adopt_withheld_servers(NOW + 0.6) == []
    assert catalogue.expire_lapsed_servers(NOW + 0.6) == []
    assert catalogue.servers["a"] == leaving
    again = entry("a", 3, 61, 70, LEAVING)
    catalogue.list_server(again)
    assert end_grace(catalogue) == ([], ["b"])
    assert catalogue.servers == {"a": again}
    assert catalogue.store_position == StorePosition(3, 60)


# Failure: a withheld entry is used although the store has removed it meanwhile.
def test_an_entry_that_disappears_after_the_restore_is_not_adopted(entry):
    catalogue = make_catalogue(entry("a", 1, 180, 50))
    apply(ServerRemoved("a", 190, 1), catalogue, NOW - 5.0)
    catalogue.replace_servers(listing(entry("a", 2, 40, 30)), RESTORED, NOW)
    catalogue.replace_servers({}, StorePosition(2, 99), NOW + 0.5)
    assert end_grace(catalogue) == ([], [])
    assert not catalogue.servers
    assert not catalogue.list_server(entry("a", 2, 40, 30))


# Failure: the first list of a process is taken for a restore, so that servers whose
# entries are removed soon after the start are used for another two seconds.
def test_the_first_list_of_a_process_starts_no_grace_period(entry):
    catalogue = Catalogue()
    catalogue.replace_servers(listing(entry("a", 2, 40, 30)), RESTORED, NOW)
    assert apply(ServerRemoved("a", 96, 2), catalogue, NOW + 0.1)
    assert not catalogue.servers


# Failure: a revoked key is accepted again, or old weights are named as the newest.
def test_configuration_and_weights_do_not_go_back(make_configuration, entry):
    catalogue = make_catalogue(entry("a", 1, 180, 50))
    catalogue.configure(make_configuration(9, keys=("new",)), NOW - 5.0)
    catalogue.publish_weights("m", 4, NOW - 5.0)
    catalogue.replace_servers({}, RESTORED, NOW)
    assert not catalogue.configure(make_configuration(7, keys=("revoked",)), NOW)
    assert not catalogue.publish_weights("m", 3, NOW)
    assert set(catalogue.routes.workspaces) == {"new"}
    assert catalogue.weights["m"].version == 4
    # The operator changes back by a new version.
    assert catalogue.configure(make_configuration(12, keys=("old",)), NOW)
    assert set(catalogue.routes.workspaces) == {"old"}


# Failure: entries that do not read the store keep the list of the era before, because a
# copy of the new era has a lower revision.
def test_a_copy_of_a_later_era_brings_the_new_list(entry):
    reader = make_catalogue(entry("a", 1, 180, 50), entry("b", 1, 150, 1))
    other = make_catalogue(entry("a", 1, 180, 50), entry("b", 1, 150, 1))
    reader.replace_servers(listing(entry("c", 2, 91, 2)), RESTORED, NOW)
    assert other.merge(reader.copy(), NOW)
    assert set(other.servers) == {"a", "b", "c"}
    assert other.store_position == RESTORED
    assert end_grace(other) == ([], ["a", "b"])
    assert set(other.servers) == {"c"}


# Failure: a copy that a peer made before the restore arrives late and undoes it.
def test_the_list_of_a_copy_of_an_earlier_era_is_ignored(entry, make_configuration):
    late = make_catalogue(entry("a", 1, 180, 50))
    late.configure(make_configuration(9), NOW)
    catalogue = Catalogue(store_contact_at=NOW)
    catalogue.replace_servers({}, RESTORED, NOW)
    catalogue.configure(make_configuration(7), NOW)
    assert catalogue.merge(late.copy(), NOW)
    assert not catalogue.servers
    # Versions are ordered in all eras.
    assert catalogue.configuration.revision == 9
    assert not catalogue.merge(late.copy(), NOW)


# Failure: a process learns the new list from a peer and uses, without the grace period,
# what the peer withholds.
@pytest.mark.parametrize("reads_store_next", [False, True])
def test_withheld_entries_are_passed_on_to_a_process_that_has_just_started(
    entry, reads_store_next
):
    reader, started = make_catalogue(entry("a", 1, 180, 50)), Catalogue()
    apply(ServerRemoved("a", 190, 1), reader, NOW - 5.0)
    restored = entry("a", 2, 40, 30)
    reader.replace_servers(listing(restored), RESTORED, NOW)
    started.merge(reader.copy(), NOW)
    if reads_store_next:
        started.replace_servers(listing(restored), StorePosition(2, 96), NOW + 0.1)
    assert not started.servers
    assert end_grace(started) == (["a"], [])
    assert started.servers == {"a": restored}


# Failure: a process that started on the restored store uses a server that left,
# although its peers know of it.
def test_a_process_that_has_just_started_learns_the_later_write_from_a_peer(entry):
    leaving, restored = entry("a", 1, 180, 50, LEAVING), entry("a", 2, 40, 30)
    reader, started = make_catalogue(leaving), Catalogue(store_contact_at=NOW)
    started.replace_servers(listing(restored), RESTORED, NOW)
    reader.replace_servers(listing(restored), StorePosition(2, 96), NOW)
    started.merge(reader.copy(), NOW + 0.1)
    assert started.servers == {"a": leaving}
    # The store lists the copied entry again, which is still the older write.
    started.replace_servers(listing(restored), StorePosition(2, 97), NOW + 0.2)
    assert started.servers == {"a": leaving}
    assert started.adopt_withheld_servers(NOW + 10.0) == []
    assert started.servers == {"a": leaving}


# Failure: a process that was cut off during the restore drops the servers near it.
def test_a_process_that_was_cut_off_keeps_its_servers_for_the_grace_period(entry):
    cut_off, reader = make_catalogue(entry("a", 1, 180, 50)), Catalogue()
    cut_off.store_contact_at = NOW - OUTAGE_S - 20.0
    reader.replace_servers(listing(entry("b", 2, 91, 2)), RESTORED, NOW - 20.0)
    cut_off.merge(reader.copy(), NOW)
    assert set(cut_off.servers) == {"a", "b"}
    assert end_grace(cut_off) == ([], ["a"])


# Failure: the list of a peer of an earlier release, which knows no eras, replaces that
# of a store with eras, because its revision is higher.
def test_a_copy_without_an_era_is_of_era_0(entry):
    older = Catalogue(store_contact_at=NOW)
    older.replace_servers(
        listing(replace(entry("a", 0, 300, 50), era=0)), StorePosition(0, 300), NOW
    )
    catalogue = Catalogue(store_contact_at=NOW)
    catalogue.merge(older.copy(), NOW)
    assert catalogue.store_position == StorePosition(0, 300)
    catalogue.replace_servers(listing(entry("a", 1, 310, 51)), BEFORE, NOW)
    assert not catalogue.merge(older.copy(), NOW)
    assert catalogue.servers["a"].era == 1


# Failure: an entry that a peer saw listed and then missing in the new era is used after
# the grace period, although the store does not list it and its server was removed.
def test_a_lapse_that_a_peer_reports_ends_a_withheld_entry(entry):
    catalogue = make_catalogue(entry("a", 1, 180, 50))
    catalogue.process_missing_entry("a", StorePosition(1, 201), NOW - 5.0)
    peer = make_catalogue(entry("a", 1, 180, 50))
    peer.replace_servers(listing(entry("a", 2, 40, 50)), RESTORED, NOW)
    peer.replace_servers({}, StorePosition(2, 96), NOW + 0.5)
    assert "a" in peer.lapsed
    catalogue.merge(peer.copy(), NOW + 0.6)
    assert catalogue.adopt_withheld_servers(GRACE_END + 1.0) == []
    assert catalogue.servers == {}


# Failure: a late list, from before the lapse that a peer reported, brings a removed
# server back.
def test_a_lapse_that_a_peer_reports_outdates_earlier_lists(entry):
    catalogue = make_catalogue(entry("a", 1, 180, 50))
    catalogue.process_missing_entry("a", StorePosition(1, 201), NOW - 5.0)
    peer = make_catalogue(entry("a", 1, 180, 50))
    peer.replace_servers({}, StorePosition(2, 96), NOW)
    catalogue.merge(peer.copy(), NOW + 0.1)
    catalogue.replace_servers(listing(entry("a", 2, 40, 50)), RESTORED, NOW + 0.2)
    assert catalogue.withheld == {}
    assert catalogue.adopt_withheld_servers(GRACE_END + 1.0) == []
    assert catalogue.servers == {}
