from __future__ import annotations

from collections import Counter

from primroselever_core.identifiers import VmId
from primroselever_core.membership.subset import Assignment, Candidates, server_subset

SIZE = 24
ENTRIES = [VmId(f"entry-{number}") for number in range(60)]
SERVERS = [VmId(f"server-{number}") for number in range(240)]
MEAN = len(ENTRIES) * SIZE / len(SERVERS)


def assignment(entries: list[VmId], servers: list[VmId]) -> dict[VmId, list[VmId]]:
    result = Assignment.of(entries, servers, SIZE)
    assert list(result.run_rounds()) == list(range(SIZE))
    return result.chosen


def test_all_servers_of_a_small_group_are_chosen() -> None:
    assert server_subset(ENTRIES[0], ENTRIES, SERVERS[:9], SIZE) == sorted(SERVERS[:9])


def test_all_entries_compute_the_same_assignment() -> None:
    first = assignment(ENTRIES, SERVERS)
    second = assignment(ENTRIES[::-1], SERVERS[::-1])
    assert first == second
    assert server_subset(ENTRIES[3], ENTRIES, SERVERS, SIZE) == first[ENTRIES[3]]


def test_coverage_is_even() -> None:
    chosen = assignment(ENTRIES, SERVERS)
    assert {len(set(servers)) for servers in chosen.values()} == {SIZE}
    counts = Counter(server for servers in chosen.values() for server in servers)
    assert max(counts.values()) <= MEAN + 1
    assert min(counts[server] for server in SERVERS) >= MEAN / 3


def test_replacing_a_server_changes_few_other_choices() -> None:
    before = assignment(ENTRIES, SERVERS)
    after = assignment(ENTRIES, [*SERVERS[1:], VmId("server-new")])
    kept = sum(len(set(before[e]) & set(after[e])) for e in ENTRIES)
    assert kept >= 0.9 * len(ENTRIES) * SIZE


def test_remote_servers_do_not_affect_local_equality() -> None:
    candidates = Candidates(ENTRIES, SERVERS, remote=SERVERS[:3])
    assert candidates.equals_locally(
        Candidates(ENTRIES[::-1], SERVERS[::-1], remote=[])
    )
    assert not candidates.equals_locally(
        Candidates(ENTRIES, SERVERS[1:], remote=SERVERS[:3])
    )
    assert not candidates.equals_locally(
        Candidates(ENTRIES[1:], SERVERS, remote=SERVERS[:3])
    )
