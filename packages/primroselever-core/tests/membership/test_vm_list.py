from __future__ import annotations

import pytest

from primroselever_core.membership.vm_list import parse_vm_list

DEEPLY_NESTED = "[" * 100_000


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        "{}",
        '{"vms": null}',
        '{"vms": 3}',
        '{"vms": {"id": 1}}',
        DEEPLY_NESTED,
    ],
)
def test_an_invalid_list_gives_no_vms(text: str) -> None:
    assert parse_vm_list(text) == []
