from __future__ import annotations

import pytest

from primroselever_core.profiles.adopt import Adoption, adopt
from primroselever_core.profiles.revision import NO_REVISION
from primroselever_core.profiles.section import ProfilesSection

VALID = '{"workspaces": [{"name": "ministry"}]}'
OTHER_VALID = '{"workspaces": [{"name": "council"}]}'
INVALID = '{"workspaces": [{"nmae": "ministry"}]}'


@pytest.fixture
def section() -> ProfilesSection:
    section = ProfilesSection()
    assert adopt(section, 5, VALID, "test", now=1.0) is Adoption.ACCEPTED
    return section


@pytest.mark.parametrize("number", [1, 4, 5])
def test_an_older_or_equal_revision_is_not_adopted(
    section: ProfilesSection, number: int
) -> None:
    text = VALID if number == 5 else OTHER_VALID
    assert adopt(section, number, text, "stale", now=2.0) is Adoption.NOT_NEWER
    assert section.revision.number == 5


def test_two_values_of_one_number_converge_in_any_order() -> None:
    revisions = set()
    for first, second in ((VALID, OTHER_VALID), (OTHER_VALID, VALID)):
        section = ProfilesSection()
        adopt(section, 6, first, "here", now=1.0)
        adopt(section, 6, second, "there", now=2.0)
        revisions.add(section.revision)
    assert len(revisions) == 1


def test_a_refused_value_leaves_the_last_valid_one_in_force(
    section: ProfilesSection,
) -> None:
    assert adopt(section, 6, INVALID, "service", now=2.0) is Adoption.REFUSED
    assert section.revision.number == 5
    assert section.refused_revision.number == 6
    places = [finding.place for finding in section.refused_findings]
    assert "profiles of revision 6: workspaces[0].nmae" in places
    assert adopt(section, 6, INVALID, "a peer", now=3.0) is Adoption.NOT_NEWER


def test_a_valid_value_below_a_refused_revision_is_accepted(
    section: ProfilesSection,
) -> None:
    adopt(section, 7, INVALID, "service", now=2.0)
    assert adopt(section, 6, OTHER_VALID, "a peer", now=3.0) is Adoption.ACCEPTED


def test_a_value_refused_during_start_never_comes_into_force() -> None:
    section = ProfilesSection()
    adopt(section, 6, INVALID, "service", now=1.0)
    assert section.revision == NO_REVISION
    adopt(section, 5, VALID, "a peer", now=2.0)
    assert adopt(section, 6, INVALID, "service", now=3.0) is Adoption.NOT_NEWER
    assert section.revision.number == 5
