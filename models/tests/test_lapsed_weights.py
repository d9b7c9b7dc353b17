"""The specification of lapsed weights, which ``make model`` checks in full."""

from __future__ import annotations

import pytest

from models.checking import Specification, check
from models.lapsed_weights import specifications


# Guards against a specification that holds because no request ever begins, and against
# mutants that the search does not refute.
@pytest.mark.parametrize(
    "specification",
    [each for each in specifications() if each.expected_violation],
    ids=lambda each: each.name,
)
def test_mutants_are_refuted(specification: Specification) -> None:
    assert check(specification).as_expected
