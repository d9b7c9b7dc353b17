from __future__ import annotations

import pytest

from models.checking import Specification, check


def counter(limit: int, refutes: str = "") -> Specification:
    return Specification(
        name="counter",
        fields=("n",),
        initial=(0,),
        transitions=lambda s: [("add", (s[0] + 1,))] if s[0] < limit else [],
        invariants={"small": lambda state: state["n"] < 3},
        refutes=refutes,
    )


@pytest.mark.parametrize(
    ("specification", "as_expected"),
    [
        (counter(2), True),
        (counter(3), False),
        (counter(3, refutes="small"), True),
        (counter(2, refutes="small"), False),
        (counter(3, refutes="another"), False),
    ],
)
def test_a_verdict_fails_when_a_check_cannot(
    specification: Specification, as_expected: bool
) -> None:
    assert check(specification).as_expected is as_expected
