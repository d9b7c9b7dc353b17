from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from primroselever_core.identifiers import VmId
from primroselever_core.profiles.model import Objective
from primroselever_core.transfer.read_outcomes import PATIENCE_S, apply
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

    PlannerOf = Callable[..., TransferPlanner]


def due(planner: TransferPlanner, now: float) -> list[Read]:
    """Return all reads that are due."""
    reads = []
    while (read := planner.next_read(now)) is not None:
        reads.append(read)
    return reads


def read_of(planner: TransferPlanner, index: int, now: float) -> Read:
    """Return the read of one chunk, the others being left as they are."""
    return next(read for read in due(planner, now) if read.index == index)


def not_owned(planner: TransferPlanner) -> int:
    return next(i for i in planner.chunks if not planner.ownership.owned(i))


def answer_all(planner: TransferPlanner, now: float) -> list[Read]:
    """Let peers hold nothing and the store refuse; return the reads at the origin."""
    found = []
    for read in due(planner, now):
        if read.source == ORIGIN:
            found.append(read)
            apply(Held(read), planner, now)
        else:
            apply(Refused(read), planner, now)
    return found


def test_all_vms_together_read_one_copy_from_the_origin(planner_of: PlannerOf) -> None:
    owned: list[int] = []
    for number in range(4):
        planner = planner_of(f"a-{number}")
        for round_number in range(5):
            owned += [r.index for r in answer_all(planner, round_number * 0.2)]
    assert sorted(owned) == list(range(12))


def test_owned_chunks_come_first(planner_of: PlannerOf) -> None:
    planner = planner_of()
    order = [planner.ownership.owned(read.index) for read in due(planner, 0.0)]
    assert order == sorted(order, reverse=True)
    assert any(order)


@pytest.mark.parametrize("event", [Silent, Corrupt])
def test_an_owner_that_fails_is_passed_over(
    planner_of: PlannerOf, event: type[Silent | Corrupt]
) -> None:
    planner = planner_of()
    index = not_owned(planner)
    first = read_of(planner, index, 0.0)
    assert first.source.vm_id == planner.ownership.ranking(index)[0]
    apply(event(first), planner, 0.0)
    second = read_of(planner, index, 1.0)
    assert second.source.vm_id != first.source.vm_id
    suspect = first.source.vm_id
    assert all(read.source.vm_id != suspect for read in due(planner, 1.0))


def test_an_owner_that_never_has_the_chunk_is_passed_over(
    planner_of: PlannerOf,
) -> None:
    planner = planner_of()
    index = not_owned(planner)
    now = 0.0
    asked = set()
    while now < 4 * PATIENCE_S:
        for read in due(planner, now):
            if read.index == index:
                asked.add(read.source.name)
            apply(Pending(read, reading=False, retry_at=now + 1.0), planner, now)
        now += 1.0
    assert len(asked) >= 2


def test_a_slow_owner_that_reads_is_waited_for(planner_of: PlannerOf) -> None:
    planner = planner_of()
    index = not_owned(planner)
    owner = planner.ownership.ranking(index)[0]
    for second in range(20):
        for read in due(planner, float(second)):
            assert read.index != index or read.source.vm_id == owner
            apply(Pending(read, reading=True, retry_at=second + 0.5), planner, second)


def test_a_holder_is_asked_and_then_the_owner_again(planner_of: PlannerOf) -> None:
    planner = planner_of()
    index = not_owned(planner)
    owner_read = read_of(planner, index, 0.0)
    holder = VmId("a-9")
    apply(Elsewhere(owner_read, holder), planner, 0.0)
    holder_read = read_of(planner, index, 0.0)
    assert holder_read.source.vm_id == holder
    apply(Silent(holder_read), planner, 0.0)
    again = read_of(planner, index, 1.0)
    assert again.source == owner_read.source


def test_extra_reads_of_the_origin_are_bounded(planner_of: PlannerOf) -> None:
    """When no owner answers, a VM falls back at a bounded rate, not at once."""
    planner = planner_of()
    extra = 0
    for tenth in range(20):
        now = tenth / 10
        for read in due(planner, now):
            if read.source.kind is SourceKind.PEER:
                apply(Silent(read), planner, now)
            else:
                extra += not planner.ownership.owned(read.index)
    assert 0 < extra <= 4 + 2 * 2


def test_the_store_comes_before_the_origin(planner_of: PlannerOf) -> None:
    planner = planner_of()
    planner.ownership.suspects.update({f"a-{n}": 99.0 for n in range(1, 4)})
    read = due(planner, 0.0)[0]
    assert read.source == STORE
    apply(Refused(read), planner, 0.0)
    assert read_of(planner, read.index, 0.2).source == ORIGIN


def test_damage_at_the_origin_doubts_the_manifest(planner_of: PlannerOf) -> None:
    planner = planner_of(size=1)
    read = due(planner, 0.0)[0]
    apply(Corrupt(read), planner, 0.0)
    assert planner.doubted
    assert read_of(planner, read.index, 0.2).source == read.source


@pytest.mark.parametrize(
    ("objective", "waits"),
    [(Objective.ORIGIN_BYTES, True), (Objective.TIME_TO_REPLICAS, False)],
)
def test_other_domains_read_from_the_stores_domain(
    planner_of: PlannerOf, objective: Objective, waits: bool
) -> None:
    planner = planner_of("b-0", objective, domains="ab", size=1)
    read = due(planner, 0.0)[0]
    assert read.source.kind is SourceKind.OTHER_DOMAIN
    apply(Pending(read, reading=False, retry_at=0.1), planner, 0.0)
    again = read_of(planner, read.index, 0.2)
    assert (again.source == read.source) is waits


def test_a_domain_without_any_source_asks_every_peer(planner_of: PlannerOf) -> None:
    planner = planner_of(size=6)
    asked: set[str] = set()
    now = 0.0
    while now < 60.0:
        for read in due(planner, now):
            if read.index == 0:
                asked.add(read.source.name)
            if read.source.vm_id is None:
                apply(Silent(read), planner, now)
            else:
                apply(Pending(read, reading=False, retry_at=now + 0.5), planner, now)
        now += 0.5
    assert {f"a-{n}" for n in range(1, 6)} <= asked
