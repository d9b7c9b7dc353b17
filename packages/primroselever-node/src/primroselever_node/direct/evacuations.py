"""Logs when evacuations of failure domains start and end in this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .. import clock
from ..logs import log_decision
from .configurations import proof_age_s

if TYPE_CHECKING:
    from collections.abc import Mapping

    from primroselever_core.catalogue.catalogue import Catalogue
    from primroselever_core.catalogue.evacuations import Evacuation


def record_evacuations(
    catalogue: Catalogue, previous: Mapping[str, Evacuation], source: str, path: str
) -> None:
    """
    Log the evacuations that started or ended since ``previous``.

    ``source`` is the store or the peer that the change came from, and ``path`` how it
    was received.
    """
    now = clock.now()
    in_force = catalogue.evacuations.in_force
    proof_s = proof_age_s(catalogue, now)
    for domain in sorted(previous.keys() ^ in_force.keys()):
        known = in_force.get(domain) or previous[domain]
        log_decision(
            "evacuation",
            domain,
            "started" if domain in in_force else "ended",
            path,
            source=source,
            in_force_s=round(now - known.learned_at, 3),
            proof_age_s=None if proof_s is None else round(proof_s, 3),
            era=known.position.era,
            revision=known.position.revision,
        )
