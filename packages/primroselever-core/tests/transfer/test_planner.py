from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from primroselever_core.identifiers import VmId
from primroselever_core.profiles.model import Objective
from primroselever_core.transfer.read_outcomes import (
    PENDING_OWNER_WAIT_S,
    apply_read_event,
)
from primroselever_core.transfer.sources import (
    ORIGIN,
    STORE,
    Corrupt,
    Elsewhere,
    Held,
    Pending,
    Read,
    Refused,
    Silent,
    SourceKind,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroselever_core.transfer.planner import TransferPlanner

    MakePlanner = Callable[..., TransferPlanner]


def due_reads(planner: TransferPlanner, now: float) -> list[Read]:
    """Return all reads that are due."""
    reads = []
    while (read := planner.next_read(now)) is not None:
        reads.append(read)
    return reads


def read_of(planner: TransferPlanner, index: int, now: float) -> Read:
    """Start all due reads; return the read of one chunk."""
    return next(read for read in due_reads(planner, now) if read.index == index)


def first_index_not_owned(planner: TransferPlanner) -> int:
    return next(i for i in planner.chunks if not planner.ownership.is_owned(i))


def finish_due_reads(planner: TransferPlanner, now: float) -> list[Read]:
    """Finish due reads: the origin has all chunks, all other sources refuse."""
    origin_reads = []
    for read in due_reads(planner, now):
        if read.source == ORIGIN:
            origin_reads.append(read)
            apply_read_event(Held(read), planner, now)
        else:
            apply_read_event(Refused(read), planner, now)
    return origin_reads


def test_each_chunk_is_read_from_the_origin_once_per_domain(
    make_planner: MakePlanner,
) -> None:
    owned: list[int] = []
    for number in range(4):
        planner = make_planner(f"a-{number}")
        for round_number in range(5):
            owned += [r.index for r in finish_due_reads(planner, round_number * 0.2)]
    assert sorted(owned) == list(range(12))


def test_owned_chunks_come_first(make_planner: MakePlanner) -> None:
    planner = make_planner()
    order = [planner.ownership.is_owned(read.index) for read in due_reads(planner, 0.0)]
    assert order == sorted(order, reverse=True)
    assert any(order)


@pytest.mark.parametrize("event", [Silent, Corrupt])
def test_an_owner_that_fails_is_not_asked_again_at_once(
    make_planner: MakePlanner, event: type[Silent | Corrupt]
) -> None:
    planner = make_planner()
    index = first_index_not_owned(planner)
    first = read_of(planner, index, 0.0)
    assert first.source.vm_id == planner.ownership.ranking(index)[0]
    apply_read_event(event(first), planner, 0.0)
    second = read_of(planner, index, 1.0)
    assert second.source.vm_id != first.source.vm_id
    suspect = first.source.vm_id
    assert all(read.source.vm_id != suspect for read in due_reads(planner, 1.0))


def test_an_owner_without_progress_is_passed_over(
    make_planner: MakePlanner,
) -> None:
    planner = make_planner()
    index = first_index_not_owned(planner)
    now = 0.0
    asked_sources = set()
    while now < 4 * PENDING_OWNER_WAIT_S:
        for read in due_reads(planner, now):
            if read.index == index:
                asked_sources.add(read.source.name)
            apply_read_event(
                Pending(read, reading=False, retry_at=now + 1.0), planner, now
            )
        now += 1.0
    assert len(asked_sources) >= 2


def test_an_owner_that_makes_progress_is_not_passed_over(
    make_planner: MakePlanner,
) -> None:
    planner = make_planner()
    index = first_index_not_owned(planner)
    owner = planner.ownership.ranking(index)[0]
    for second in range(20):
        for read in due_reads(planner, float(second)):
            assert read.index != index or read.source.vm_id == owner
            apply_read_event(
                Pending(read, reading=True, retry_at=second + 0.5), planner, second
            )


def test_the_owner_is_asked_again_after_its_holder_fails(
    make_planner: MakePlanner,
) -> None:
    planner = make_planner()
    index = first_index_not_owned(planner)
    owner_read = read_of(planner, index, 0.0)
    holder = VmId("a-9")
    apply_read_event(Elsewhere(owner_read, holder), planner, 0.0)
    holder_read = read_of(planner, index, 0.0)
    assert holder_read.source.vm_id == holder
    apply_read_event(Silent(holder_read), planner, 0.0)
    second_read = read_of(planner, index, 1.0)
    assert second_read.source == owner_read.source


def test_reads_of_chunks_not_owned_are_rate_limited(make_planner: MakePlanner) -> None:
    """If no owner answers, a VM reads outside at a limited rate, not all at once."""
    planner = make_planner()
    extra_reads = 0
    for step in range(20):
        now = step / 10
        for read in due_reads(planner, now):
            if read.source.kind is SourceKind.PEER:
                apply_read_event(Silent(read), planner, now)
            else:
                extra_reads += not planner.ownership.is_owned(read.index)
    assert 0 < extra_reads <= 4 + 2 * 2


def test_the_store_comes_before_the_origin(make_planner: MakePlanner) -> None:
    planner = make_planner()
    planner.ownership.suspects.update({f"a-{n}": 99.0 for n in range(1, 4)})
    read = due_reads(planner, 0.0)[0]
    assert read.source == STORE
    apply_read_event(Refused(read), planner, 0.0)
    assert read_of(planner, read.index, 0.2).source == ORIGIN


def test_a_damaged_chunk_from_the_store_or_origin_doubts_the_manifest(
    make_planner: MakePlanner,
) -> None:
    planner = make_planner(size=1)
    read = due_reads(planner, 0.0)[0]
    apply_read_event(Corrupt(read), planner, 0.0)
    assert planner.manifest_doubted
    assert read_of(planner, read.index, 0.2).source == read.source


@pytest.mark.parametrize(
    ("objective", "waits"),
    [(Objective.ORIGIN_BYTES, True), (Objective.TIME_TO_REPLICAS, False)],
)
def test_other_domains_read_from_the_domain_of_the_store(
    make_planner: MakePlanner, objective: Objective, waits: bool
) -> None:
    planner = make_planner("b-0", objective, domains="ab", size=1)
    read = due_reads(planner, 0.0)[0]
    assert read.source.kind is SourceKind.OTHER_DOMAIN
    apply_read_event(Pending(read, reading=False, retry_at=0.1), planner, 0.0)
    second_read = read_of(planner, read.index, 0.2)
    assert (second_read.source == read.source) is waits


def test_every_peer_is_asked_when_all_other_sources_fail(
    make_planner: MakePlanner,
) -> None:
    planner = make_planner(size=6)
    asked_sources: set[str] = set()
    now = 0.0
    while now < 60.0:
        for read in due_reads(planner, now):
            if read.index == 0:
                asked_sources.add(read.source.name)
            if read.source.vm_id is None:
                apply_read_event(Silent(read), planner, now)
            else:
                apply_read_event(
                    Pending(read, reading=False, retry_at=now + 0.5), planner, now
                )
        now += 0.5
    assert {f"a-{n}" for n in range(1, 6)} <= asked_sources
