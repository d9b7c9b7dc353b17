from __future__ import annotations

import json
from typing import Any

import pytest

from primroselever_core.exceptions import FindingsError
from primroselever_core.profiles.parse import parse_profiles


def profile(name: str, group: str) -> dict[str, Any]:
    return {"name": name, "group": group, "model": "m", "version": "1"}


def test_comments_are_allowed() -> None:
    parsed = parse_profiles('{/* none yet */ "profiles": [], // here\n}', "p")
    assert parsed.profiles == ()


@pytest.mark.parametrize(
    ("value", "places"),
    [
        ({"profiles": [profile("a", "g"), profile("b", "g")]}, [0, 1]),
        ({"profiles": [profile("a", "g"), profile("a", "h")]}, [0, 1]),
        ({"services": [{"name": "s", "idempotent": True}]}, [0]),
        ({"services": [{"name": "s", "idempotent": True, "profile": "x"}]}, [0]),
        ({"services": [{"name": "S", "group": "g"}]}, [0, 0]),
        ({"profiles": [{**profile("a", "g"), "versoin": "2"}]}, [0]),
    ],
)
def test_all_findings_are_raised_together(
    value: dict[str, Any], places: list[int]
) -> None:
    with pytest.raises(FindingsError) as caught:
        parse_profiles(json.dumps(value), "p.jsonc")
    assert len(caught.value.findings) == len(places)
    for index, finding in zip(places, caught.value.findings, strict=True):
        assert finding.place.startswith("p.jsonc: ")
        assert f"[{index}]" in finding.place


@pytest.mark.parametrize(
    "text",
    [
        "[" * 100_000,
        '{"workspaces": [{"name": "a", "share": Infinity}]}',
        '{"workspaces": [{"name": "a", "share": 1e400}]}',
    ],
)
def test_unusable_values_raise_findings(text: str) -> None:
    with pytest.raises(FindingsError):
        parse_profiles(text, "p.jsonc")
