"""Suspicions as they travel in starts, replies and heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.identifiers import Fingerprint
from primroselever_core.suspects.section import CrashId, Suspicion

from .. import clock
from .schema import schema

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroselever_core.suspects.section import SuspectsSection

MOST_IN_A_MESSAGE = 32


def to_wire(section: SuspectsSection) -> list[Any]:
    """Return what others should hear, the worst first."""
    return [
        encode_suspicion(record) for record in section.most_severe(MOST_IN_A_MESSAGE)
    ]


def to_wire_of(section: SuspectsSection, fingerprint: Fingerprint) -> list[Any]:
    """Return what is known of one request."""
    record = section.records.get(fingerprint)
    return [encode_suspicion(record)] if record else []


def encode_suspicion(record: Suspicion) -> Any:
    """Return one suspicion; its deadline travels as the time that remains."""
    return schema.Suspicion(
        fingerprint=record.fingerprint,
        crashes=len(record.crashes - record.cleared),
        remaining_ms=clock.remaining_ms(record.deadline),
        crash_ids=sorted(record.crashes),
        cleared_ids=sorted(record.cleared),
    )


def merge_suspicions(section: SuspectsSection, heard: Iterable[Any] | None) -> bool:
    """Take in what another process said; return whether any of it was news."""
    now = clock.now()
    news = False
    for said in heard or ():
        suspicion = Suspicion(
            Fingerprint(said.fingerprint),
            clock.deadline_in(said.remaining_ms),
            {CrashId(name) for name in said.crash_ids or ()},
            {CrashId(name) for name in said.cleared_ids or ()},
        )
        news = section.merge(suspicion, now) or news
    return news
