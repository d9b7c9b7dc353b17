from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from primroselever_core.identifiers import (
    FailureDomain,
    GroupName,
    Incarnation,
    Region,
    VmId,
)
from primroselever_core.membership.vm import Role, Vm
from primroselever_core.membership.vm_list_copy import (
    ListChange,
    ListVersion,
    VmListCopy,
    change_between,
)

RANKING = [VmId("first"), VmId("second")]
lists = st.dictionaries(st.sampled_from("abcdef"), st.integers(1, 3)).map(
    lambda ports: {VmId(name): vm(name, port) for name, port in ports.items()}
)


def vm(name: str, port: int) -> Vm:
    return Vm(
        VmId(name),
        Role.ENTRY,
        "127.0.0.1",
        port,
        FailureDomain("lag-a"),
        Region("west"),
        GroupName(""),
    )


def version(reader: str, incarnation: int, counter: int) -> ListVersion:
    return ListVersion(VmId(reader), Incarnation(incarnation), counter)


@pytest.mark.parametrize(
    ("new", "held", "replaces"),
    [
        (("first", 1, 2), ("first", 1, 1), True),
        (("first", 1, 1), ("first", 1, 2), False),
        (("first", 2, 1), ("first", 1, 9), True),
        (("first", 1, 1), ("second", 1, 9), True),
        (("second", 1, 9), ("first", 1, 1), False),
        (("gone", 1, 9), ("second", 1, 1), False),
    ],
)
def test_versions_are_ordered_by_reader_rank_and_counter(
    new: tuple[str, int, int], held: tuple[str, int, int], replaces: bool
) -> None:
    offered, current = version(*new), version(*held)
    assert offered.replaces(current, 10.0, RANKING, now=5.0) is replaces
    assert offered.replaces(current, 10.0, RANKING, now=10.0)


@given(lists, lists)
def test_applying_a_change_gives_the_new_list(
    old: dict[VmId, Vm], new: dict[VmId, Vm]
) -> None:
    change = ListChange.from_text(change_between(old, new).to_text())
    assert change.apply_to(old) == new


def test_only_changes_are_sent_for_a_recent_list() -> None:
    copy = VmListCopy()
    vms = {VmId(f"vm-{n}"): vm(f"vm-{n}", 1) for n in range(500)}
    copy.replace_list(version("first", 1, 1), vms, 0.0)
    digest = copy.digest
    copy.replace_list(version("first", 1, 2), {**vms, VmId("new"): vm("new", 1)}, 1.0)
    assert len(copy.change_since(digest).to_text()) < 300
    assert copy.change_since("unknown").whole


@pytest.mark.parametrize(
    "text",
    [
        "no JSON",
        "[]",
        "{}",
        '{"whole": true, "set": [1], "dropped": []}',
        '{"whole": true, "set": [{"role": "agent", "later": 1}], "dropped": []}',
        '{"whole": true, "set": [], "dropped": 7}',
    ],
)
def test_an_invalid_change_raises_value_error(text: str) -> None:
    with pytest.raises(ValueError):
        ListChange.from_text(text)
