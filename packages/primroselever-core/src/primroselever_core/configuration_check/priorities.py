"""Priorities that processes cannot tell apart."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..dispatch.shedding import MAX_ON_TIME_URGENCY
from .finding import error, name_place

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..catalogue.model import Configuration, Route, Workspace
    from .finding import RatedFinding


def check_priorities(configuration: Configuration) -> Iterator[RatedFinding]:
    """Yield the priorities that are out of the range of those sent to servers."""
    parts: list[Route | Workspace] = [*configuration.routes]
    for part in [*parts, *(configuration.workspaces or ())]:
        priority = part.priority
        if priority is not None and not 0 <= priority <= MAX_ON_TIME_URGENCY:
            counted = min(max(priority, 0), MAX_ON_TIME_URGENCY)
            yield error(
                name_place(part, "priority"),
                f"{priority} is out of range, and servers are told {counted}",
                f"make it 0 (first) to {MAX_ON_TIME_URGENCY} (last)",
            )
