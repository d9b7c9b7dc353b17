from __future__ import annotations

import pytest

from primroselever_core.profiles.adopt import Adoption, adopt
from primroselever_core.profiles.revision import NO_REVISION
from primroselever_core.profiles.section import ProfilesSection

GOOD = '{"workspaces": [{"name": "ministry"}]}'
OTHER = '{"workspaces": [{"name": "council"}]}'
BAD = '{"workspaces": [{"nmae": "ministry"}]}'


@pytest.fixture
def section() -> ProfilesSection:
    section = ProfilesSection()
    assert adopt(section, 5, GOOD, "test", now=1.0) is Adoption.ACCEPTED
    return section


@pytest.mark.parametrize("number", [1, 4, 5])
def test_nothing_goes_back(section: ProfilesSection, number: int) -> None:
    text = GOOD if number == 5 else OTHER
    assert adopt(section, number, text, "stale", now=2.0) is Adoption.NOT_NEWER
    assert section.revision.number == 5


def test_two_values_of_one_number_end_alike_in_any_order() -> None:
    ends = set()
    for first, second in ((GOOD, OTHER), (OTHER, GOOD)):
        section = ProfilesSection()
        adopt(section, 6, first, "here", now=1.0)
        adopt(section, 6, second, "there", now=2.0)
        ends.add(section.revision)
    assert len(ends) == 1


def test_a_refused_value_leaves_the_last_good_one(section: ProfilesSection) -> None:
    assert adopt(section, 6, BAD, "service", now=2.0) is Adoption.REFUSED
    assert section.revision.number == 5
    assert section.refused_revision.number == 6
    places = [finding.place for finding in section.refused_findings]
    assert "profiles at 6: workspaces[0].nmae" in places
    assert adopt(section, 6, BAD, "a peer", now=3.0) is Adoption.NOT_NEWER


def test_a_good_value_below_a_refused_one_is_taken(section: ProfilesSection) -> None:
    adopt(section, 7, BAD, "service", now=2.0)
    assert adopt(section, 6, OTHER, "a peer", now=3.0) is Adoption.ACCEPTED


def test_a_refused_value_never_comes_into_force_at_a_start() -> None:
    section = ProfilesSection()
    adopt(section, 6, BAD, "service", now=1.0)
    assert section.revision == NO_REVISION
    adopt(section, 5, GOOD, "a peer", now=2.0)
    assert adopt(section, 6, BAD, "service", now=3.0) is Adoption.NOT_NEWER
    assert section.revision.number == 5
