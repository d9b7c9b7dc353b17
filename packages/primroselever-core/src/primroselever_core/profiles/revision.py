"""Revisions of the published value; the highest accepted one stays in force."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from .model import ProfileSet


@dataclass(frozen=True, slots=True, order=True)
class Revision:
    """
    A revision, ordered in the same way in all processes.

    ``number`` is assigned by the configuration service. If a service that lost its
    state assigns one number to two values, the greater digest wins in all processes.
    """

    number: int
    digest: str

    @classmethod
    def of(cls, number: int, text: str) -> Revision:
        """Return the revision with a number and the digest of a value's text."""
        return cls(number, xxhash.xxh3_128_hexdigest(text.encode()))


NO_REVISION = Revision(0, "")


@dataclass(frozen=True, slots=True)
class AcceptedProfiles:
    """A value in force, with the text that is sent to peers."""

    revision: Revision
    text: str
    profiles: ProfileSet
