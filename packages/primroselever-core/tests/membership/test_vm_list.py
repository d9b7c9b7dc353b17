from __future__ import annotations

import pytest

from primroselever_core.membership.vm_list import parse_vm_list

DEEP = "[" * 100_000


@pytest.mark.parametrize(
    "text",
    ["", "[]", "{}", '{"vms": null}', '{"vms": 3}', '{"vms": {"id": 1}}', DEEP],
)
def test_what_is_no_list_names_no_vms(text: str) -> None:
    assert parse_vm_list(text) == []
