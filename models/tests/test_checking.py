from __future__ import annotations

import pytest

from models.checking import Specification, check


def counter_specification(limit: int, expected_violation: str = "") -> Specification:
    return Specification(
        name="counter",
        fields=("n",),
        initial=(0,),
        transitions=lambda state: (
            [("add", (state[0] + 1,))] if state[0] < limit else []
        ),
        invariants={"small": lambda state: state["n"] < 3},
        expected_violation=expected_violation,
    )


@pytest.mark.parametrize(
    ("specification", "as_expected"),
    [
        (counter_specification(2), True),
        (counter_specification(3), False),
        (counter_specification(3, expected_violation="small"), True),
        (counter_specification(2, expected_violation="small"), False),
        (counter_specification(3, expected_violation="another"), False),
    ],
)
def test_verdict_is_as_expected_only_if_expectation_is_met(
    specification: Specification, as_expected: bool
) -> None:
    assert check(specification).as_expected is as_expected
