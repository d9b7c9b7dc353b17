"""Logs and measures how configurations come into force in this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.metrics import get_meter

from .. import clock
from ..logs import log_decision
from ..metrics import register_gauge

if TYPE_CHECKING:
    from primroselever_core.catalogue.catalogue import Catalogue

meter = get_meter(__name__)
named_times = meter.create_histogram(
    "primroselever.direct.configuration.named",
    "s",
    "From the first peer that named a later revision until one came into force",
)


def observe_configuration(catalogue: Catalogue) -> None:
    """Register the gauges of the configuration in force."""
    register_gauge(
        meter,
        "primroselever.direct.configuration.age",
        "s",
        "Since the configuration in force was received",
        lambda: (
            clock.now() - catalogue.configuration_at
            if catalogue.configuration
            else None
        ),
    )
    register_gauge(
        meter,
        "primroselever.direct.configuration.proof_age",
        "s",
        "Since this process or a peer last learned that nothing newer is published",
        lambda: proof_age_s(catalogue, clock.now()),
    )


def proof_age_s(catalogue: Catalogue, now: float) -> float | None:
    """Return the seconds since the last proof that nothing newer is published."""
    proof_at = catalogue.freshness.proof_at
    return None if proof_at is None else now - proof_at


def record_configuration(
    catalogue: Catalogue, previous_revision: int, source: str, path: str
) -> None:
    """
    Log and measure a configuration if it replaced the one of a previous revision.

    ``source`` is the store or the peer that sent it, and ``path`` how it was received.
    """
    configuration = catalogue.configuration
    if configuration is None or configuration.revision == previous_revision:
        return
    now = clock.now()
    named_s = catalogue.freshness.record_in_force(configuration.revision, now)
    if named_s is not None:
        named_times.record(named_s)
    age_s = proof_age_s(catalogue, now)
    log_decision(
        "configuration in force",
        str(configuration.revision),
        source,
        path,
        previous=previous_revision,
        named_s=None if named_s is None else round(named_s, 3),
        proof_age_s=None if age_s is None else round(age_s, 3),
        routes=len(configuration.routes),
    )
