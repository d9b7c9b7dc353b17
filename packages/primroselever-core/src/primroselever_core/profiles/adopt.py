"""Decision on an offered value: accepted, refused, or not newer than the one held."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from ..exceptions import FindingsError
from .parse import parse_profiles
from .revision import AcceptedProfiles, Revision

if TYPE_CHECKING:
    from .section import ProfilesSection


class Adoption(StrEnum):
    """The result of offering a value."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_NEWER = "not_newer"  # or refused before, so that it is not parsed again


def adopt(
    section: ProfilesSection, number: int, text: str, source: str, now: float
) -> Adoption:
    """
    Put an offered value in force if it is newer and valid.

    The revision in force never decreases. A refused value leaves the last valid value
    in force, and is not parsed again when another source offers it.
    """
    revision = Revision.of(number, text)
    if revision <= section.revision or revision == section.refused_revision:
        return Adoption.NOT_NEWER
    try:
        profiles = parse_profiles(text, f"profiles of revision {number}")
    except FindingsError as exc:
        if revision > section.refused_revision:
            section.refused_revision = revision
            section.refused_findings = exc.findings
        return Adoption.REFUSED
    if section.accepted is not None:
        section.previous_digest = section.accepted.revision.digest
        section.previous_text = section.accepted.text
    section.accepted = AcceptedProfiles(revision, text, profiles)
    section.accepted_at = now
    section.accepted_from = source
    return Adoption.ACCEPTED
