from __future__ import annotations

from typing import Any

import pytest

from bench.launcher import serves_version


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (None, False),
        ({"wanted": "2", "wanted_digest": "b", "serving": None}, False),
        ({"wanted": "2", "wanted_digest": "b", "serving": "a"}, False),
        ({"wanted": "1", "wanted_digest": "a", "serving": "a"}, False),
        ({"wanted": "2", "wanted_digest": "b", "serving": "b"}, True),
    ],
)
def test_only_the_wanted_weights_count_as_serving_a_version(
    status: dict[str, Any] | None, expected: bool
) -> None:
    assert serves_version(status, "2") is expected
