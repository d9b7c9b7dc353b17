"""Which versions an entry reads before an agent asks for them."""

from __future__ import annotations

from types import SimpleNamespace

from primroselever_core.direct_board import DirectBoard
from primroselever_core.gossip.peers import Peers
from primroselever_core.identity import Identity
from primroselever_entry.direct.process import DirectEntryProcess, unproven_time
from primroselever_entry.direct.start_watch import StartWatch
from primroselever_node import clock
from primroselever_node.direct.sources import CataloguePart


def make_process(prefetched: list[tuple[str, int]], running_s: float):
    board = DirectBoard(Identity("e", "a", "r", 1), Peers("10.0.0.1", "a"))
    return SimpleNamespace(
        board=board,
        start_watch=StartWatch(board),
        checked_revision=0,
        gossip=SimpleNamespace(publish_catalogue_change=lambda: None),
        piece_keeper=SimpleNamespace(
            prefetch=lambda model, version: prefetched.append((model, version))
        ),
        seen_versions={},
        settings=SimpleNamespace(contact_s=3.0, weights_within_s=8.0),
        started_at=clock.now() - running_s,
    )


def publish(process, version: int) -> None:
    process.board.catalogue.publish_weights("m", version, clock.now())
    DirectEntryProcess.apply_catalogue_change(process, CataloguePart.OPERATOR)


def test_a_version_that_is_found_at_the_start_is_not_prefetched():
    """After a start, every entry read its pieces again, although agents held them."""
    prefetched: list[tuple[str, int]] = []
    process = make_process(prefetched, running_s=0.5)
    publish(process, 4)
    assert prefetched == []
    publish(process, 5)
    assert prefetched == [("m", 5)]


# Guards against a bound that passes too early: an entry that has just started sees a
# new version appear, and takes it for an old one.
def test_a_version_that_appears_after_the_start_keeps_its_proven_time():
    prefetched: list[tuple[str, int]] = []
    process = make_process(prefetched, running_s=1.0)
    catalogue = process.board.catalogue
    catalogue.unproven_s = unproven_time(process.settings)
    proof_at = clock.now() - 0.2
    catalogue.freshness.record_proof(proof_at)
    publish(process, 1)
    assert catalogue.weights["m"].absent_at == proof_at
    assert prefetched == [("m", 1)]


# Guards against a receipt that counts as the time of publication: an entry that runs
# for longer than its contact time finds the first version.
def test_a_version_that_a_running_entry_finds_has_no_proven_time():
    process = make_process([], running_s=60.0)
    process.board.catalogue.unproven_s = unproven_time(process.settings)
    publish(process, 4)
    newest = process.board.catalogue.weights["m"].newest
    assert newest.absent_at <= clock.now() - unproven_time(process.settings)
    assert not newest.proven


def test_the_first_version_of_a_model_is_prefetched_by_a_running_entry():
    """Engines of a new model would wait until the first request for each piece."""
    prefetched: list[tuple[str, int]] = []
    publish(make_process(prefetched, running_s=60.0), 1)
    assert prefetched == [("m", 1)]
