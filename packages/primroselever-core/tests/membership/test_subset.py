from __future__ import annotations

from collections import Counter

from primroselever_core.identifiers import VmId
from primroselever_core.membership.subset import Assignment, Candidates, server_subset

SIZE = 24
ENTRIES = [VmId(f"entry-{number}") for number in range(60)]
SERVERS = [VmId(f"server-{number}") for number in range(240)]
MEAN = len(ENTRIES) * SIZE / len(SERVERS)


def assignment(entries: list[VmId], servers: list[VmId]) -> dict[VmId, list[VmId]]:
    found = Assignment.of(entries, servers, SIZE)
    assert list(found.turns()) == list(range(SIZE))
    return found.chosen


def test_a_small_group_is_known_whole() -> None:
    assert server_subset(ENTRIES[0], ENTRIES, SERVERS[:9], SIZE) == sorted(SERVERS[:9])


def test_all_entries_compute_the_same() -> None:
    one = assignment(ENTRIES, SERVERS)
    other = assignment(ENTRIES[::-1], SERVERS[::-1])
    assert one == other
    assert server_subset(ENTRIES[3], ENTRIES, SERVERS, SIZE) == one[ENTRIES[3]]


def test_coverage_is_even() -> None:
    chosen = assignment(ENTRIES, SERVERS)
    assert {len(set(servers)) for servers in chosen.values()} == {SIZE}
    counts = Counter(server for servers in chosen.values() for server in servers)
    assert max(counts.values()) <= MEAN + 1
    assert min(counts[server] for server in SERVERS) >= MEAN / 3


def test_a_replaced_server_moves_little_else() -> None:
    before = assignment(ENTRIES, SERVERS)
    after = assignment(ENTRIES, [*SERVERS[1:], VmId("server-new")])
    kept = sum(len(set(before[e]) & set(after[e])) for e in ENTRIES)
    assert kept >= 0.9 * len(ENTRIES) * SIZE


def test_a_change_elsewhere_moves_nothing_here() -> None:
    here = Candidates(ENTRIES, SERVERS, away=SERVERS[:3])
    assert here.same_domain(Candidates(ENTRIES[::-1], SERVERS[::-1], away=[]))
    assert not here.same_domain(Candidates(ENTRIES, SERVERS[1:], away=SERVERS[:3]))
    assert not here.same_domain(Candidates(ENTRIES[1:], SERVERS, away=SERVERS[:3]))
