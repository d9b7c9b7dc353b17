"""Conversion of suspicions to and from their thrift form."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.identifiers import Fingerprint
from primroselever_core.suspects.section import CrashId, Suspicion

from .. import clock
from .schema import schema

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroselever_core.suspects.section import SuspectsSection

MAX_SUSPICIONS_PER_MESSAGE = 32


def most_severe_to_thrift(section: SuspectsSection) -> list[Any]:
    """Return the worst suspicions to send in a message, the worst first."""
    return [
        suspicion_to_thrift(record)
        for record in section.most_severe(MAX_SUSPICIONS_PER_MESSAGE)
    ]


def suspicion_as_list(section: SuspectsSection, fingerprint: Fingerprint) -> list[Any]:
    """Return the suspicion of one request as a list, empty if there is none."""
    record = section.records.get(fingerprint)
    return [suspicion_to_thrift(record)] if record else []


def suspicion_to_thrift(record: Suspicion) -> Any:
    """Return a suspicion in thrift form, its deadline as the time remaining."""
    return schema.Suspicion(
        fingerprint=record.fingerprint,
        crashes=len(record.crashes - record.cleared),
        remaining_ms=clock.remaining_ms(record.deadline),
        crash_ids=sorted(record.crashes),
        cleared_ids=sorted(record.cleared),
    )


def merge_suspicions(section: SuspectsSection, received: Iterable[Any] | None) -> bool:
    """Merge suspicions received from a process; return whether any changed."""
    now = clock.now()
    changed = False
    for message in received or ():
        changed = section.merge(suspicion_from_thrift(message), now) or changed
    return changed


def clearings_to_return(
    section: SuspectsSection, received: Iterable[Any]
) -> list[Suspicion]:
    """Return the records with clearings that the sender of suspicions lacks."""
    now = clock.now()
    records = (
        section.clearings_unknown_to(suspicion_from_thrift(message), now)
        for message in received
    )
    return [record for record in records if record is not None]


def suspicion_from_thrift(message: Any) -> Suspicion:
    """Return a received suspicion."""
    return Suspicion(
        Fingerprint(message.fingerprint),
        # A later deadline could not be sent on.
        clock.deadline_in(min(message.remaining_ms, clock.MAX_AGE_MS)),
        {CrashId(name) for name in message.crash_ids or ()},
        {CrashId(name) for name in message.cleared_ids or ()},
    )
