"""Keys that admit nobody, or the callers of another workspace."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .finding import digest_key, error, name_place, warning

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..catalogue.model import Configuration
    from .finding import RatedFinding


def check_keys(configuration: Configuration) -> Iterator[RatedFinding]:
    """Yield the keys that never match, and workspaces and routes without callers."""
    workspaces = configuration.workspaces
    if workspaces is None:
        return
    # The last workspace with a key gets its callers.
    owner = {key: index for index, each in enumerate(workspaces) for key in each.keys}
    names: set[str] = set()
    for index, workspace in enumerate(workspaces):
        for key, count in Counter(workspace.keys).items():
            place = name_place(workspace, f"key {digest_key(key)}")
            if owner[key] != index:
                yield error(
                    place,
                    "it can never match: its callers count as those of workspace "
                    f"{workspaces[owner[key]].name}, which has it too",
                    "leave the key in one workspace",
                )
            if not key:
                yield error(
                    place,
                    "the key is empty, so requests without a key have this workspace",
                    "remove it",
                )
            if count > 1:
                yield warning(place, "it is listed twice", "list it once")
        if not workspace.keys:
            yield warning(
                name_place(workspace),
                "it has no key, so it has no callers",
                "give it a key, or remove it",
            )
        if workspace.name in names:
            yield warning(
                name_place(workspace),
                "another workspace has the same name, so they share one allowance",
                "give each workspace its own name",
            )
        names.add(workspace.name)
    if owner:
        return
    for route in configuration.routes:
        if not route.anonymous:
            yield error(
                name_place(route),
                "no key exists, and the route admits no callers without one",
                "add a key, or let the route admit callers without one",
            )
