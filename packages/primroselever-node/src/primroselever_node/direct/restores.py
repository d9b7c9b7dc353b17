"""Logs and counts restores of the store and answers that they made invalid."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from opentelemetry.metrics import get_meter

from primroselever_core.catalogue.store_position import START_POSITION

from ..logs import log_decision

if TYPE_CHECKING:
    from primroselever_core.catalogue.catalogue import Catalogue
    from primroselever_core.catalogue.store_position import StorePosition

logger = logging.getLogger(__name__)
meter = get_meter(__name__)
restores = meter.create_counter(
    "primroselever.direct.store.restores",
    unit="{restore}",
    description="Eras of the store that began after this process had its first list.",
)
late_answers = meter.create_counter(
    "primroselever.direct.store.late_answers",
    unit="{answer}",
    description="Answers and copies dropped because they are of an earlier era.",
)


def record_restore(
    source: str, previous_position: StorePosition, catalogue: Catalogue
) -> None:
    """
    Log and count a new era if the list of back ends is the first one of it.

    ``source`` is the store or the peer that sent the list. Nothing is recorded for the
    first list of a process.
    """
    position = catalogue.store_position
    if previous_position == START_POSITION or previous_position.era == position.era:
        return
    restores.add(1)
    log_decision(
        "store restored",
        source,
        str(position.era),
        "its list of back ends has a new era",
        era_before=previous_position.era,
        era_after=position.era,
        missing=len(catalogue.lapsed),
        withheld=len(catalogue.withheld),
    )


def record_late_answer(source: str, position: StorePosition, known_era: int) -> None:
    """Log and count an answer that is dropped since a later era is known."""
    late_answers.add(1)
    logger.warning(
        "dropped an answer of an earlier era of the store",
        extra={
            "source": source,
            "era": position.era,
            "revision": position.revision,
            "known_era": known_era,
        },
    )
