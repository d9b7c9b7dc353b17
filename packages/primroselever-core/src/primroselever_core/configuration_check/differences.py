"""
Differences between the configuration in force and one to be sent.

Both have the digests of keys in place of the keys, since the differences are shown.
Effects are those on requests in flight: a request keeps the route, the workspace and
the priority with which it was admitted, but its regions are those now in force.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, fields
from enum import StrEnum
from typing import TYPE_CHECKING

from .effects import (
    ADDED_EFFECTS,
    FIELD_EFFECTS,
    KEPT,
    REMOVED_EFFECTS,
)
from .finding import error, name_place, warning

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ..catalogue.model import CallerLimits, Configuration, Route, Service, Workspace
    from .finding import RatedFinding

    Part = Route | Service | Workspace


class Change(StrEnum):
    """What happens to a part of the configuration."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class Difference:
    """One change; ``effect`` is what it means for callers in flight and new ones."""

    place: str
    change: Change
    before: str
    after: str
    effect: str

    def __str__(self) -> str:
        values = f" from {self.before} to {self.after}" if self.before else ""
        return f"{self.change}: {self.place}{values}; {self.effect}"


def list_differences(
    in_force: Configuration, proposed: Configuration
) -> list[Difference]:
    """Return the differences, in the order limits, routes, services, workspaces."""
    return [
        *compare_fields("limits", "limits", in_force.limits, proposed.limits),
        *compare_order(in_force.routes, proposed.routes),
        *compare_parts(in_force.routes, proposed.routes),
        *compare_parts(in_force.services, proposed.services),
        *compare_workspaces(in_force, proposed),
    ]


def check_succession(
    in_force: Configuration, proposed: Configuration
) -> Iterator[RatedFinding]:
    """Yield why a configuration does not replace the one in force, or opens it."""
    if proposed.revision <= in_force.revision:
        yield error(
            "version",
            f"{proposed.revision} is not above the version in force, "
            f"{in_force.revision}, so processes ignore the configuration",
            f"make it {in_force.revision + 1} or more",
        )
    if in_force.workspaces is not None and proposed.workspaces is None:
        yield error(
            "workspaces",
            "there are none any more, so all routes admit callers without a key",
            "list the workspaces",
        )
    if in_force.workspaces and proposed.workspaces is not None:
        kept = {key for each in proposed.workspaces for key in each.keys}
        if not any(key in kept for each in in_force.workspaces for key in each.keys):
            yield warning(
                "workspaces",
                "no key in force is kept, so every caller needs a new one at once",
                "keep the old keys until callers have changed theirs",
            )


def compare_order(
    old: tuple[Route, ...], new: tuple[Route, ...]
) -> Iterator[Difference]:
    """Yield the hosts and prefixes that another route matches than before."""
    before, after = first_names(old), first_names(new)
    for pattern in sorted(before.keys() & after.keys()):
        if before[pattern] != after[pattern]:
            host, prefix = pattern
            yield Difference(
                f"requests to {host}{prefix}",
                Change.CHANGED,
                f"route {before[pattern]}",
                f"route {after[pattern]}",
                KEPT,
            )


def first_names(routes: tuple[Route, ...]) -> dict[tuple[str, str], str]:
    """Return the route that matches each host and prefix."""
    return {
        (route.host.lower(), route.path_prefix): route.name
        for route in reversed(routes)
    }


def compare_parts(old: Iterable[Part], new: Iterable[Part]) -> Iterator[Difference]:
    """Yield the parts of one kind that are added, removed or changed."""
    before, after = by_name(old), by_name(new)
    for name, part in before.items():
        place = name_place(part)
        kind = type(part).__name__.lower()
        if name in after:
            yield from compare_fields(place, kind, part, after[name])
        else:
            yield Difference(place, Change.REMOVED, "", "", REMOVED_EFFECTS[kind])
    for name, part in after.items():
        if name not in before:
            kind = type(part).__name__.lower()
            yield Difference(
                name_place(part), Change.ADDED, "", "", ADDED_EFFECTS[kind]
            )


def by_name(parts: Iterable[Part]) -> dict[tuple[str, int], Part]:
    """Return parts by name and, where several have the same, by their order."""
    seen: Counter[str] = Counter()
    named = {}
    for part in parts:
        named[part.name, seen[part.name]] = part
        seen[part.name] += 1
    return named


def compare_fields(
    place: str, kind: str, old: Part | CallerLimits, new: Part | CallerLimits
) -> Iterator[Difference]:
    """Yield the limits of a part that differ; keys are compared for themselves."""
    for field in fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after and field.name != "keys":
            yield Difference(
                f"{place}, {field.name}",
                Change.CHANGED,
                show(before),
                show(after),
                FIELD_EFFECTS[kind, field.name],
            )


def compare_workspaces(
    in_force: Configuration, proposed: Configuration
) -> Iterator[Difference]:
    """Yield the changes of workspaces and of the workspace of each key."""
    if (in_force.workspaces is None) != (proposed.workspaces is None):
        change = Change.ADDED if in_force.workspaces is None else Change.REMOVED
        effects = ADDED_EFFECTS if in_force.workspaces is None else REMOVED_EFFECTS
        yield Difference("workspaces", change, "", "", effects["workspaces"])
        return
    old, new = in_force.workspaces or (), proposed.workspaces or ()
    yield from compare_parts(old, new)
    before = {key: each.name for each in old for key in each.keys}
    after = {key: each.name for each in new for key in each.keys}
    for key in sorted(before.keys() | after.keys()):
        place = f"key {key}"
        if key not in after:
            place = f"{place} of workspace {before[key]}"
            yield Difference(place, Change.REMOVED, "", "", REMOVED_EFFECTS["key"])
        elif key not in before:
            place = f"{place} of workspace {after[key]}"
            yield Difference(place, Change.ADDED, "", "", ADDED_EFFECTS["key"])
        elif before[key] != after[key]:
            yield Difference(
                place,
                Change.CHANGED,
                f"workspace {before[key]}",
                f"workspace {after[key]}",
                KEPT,
            )


def show(value: object) -> str:
    """Return the value of a field as text; empty ones are shown as a word."""
    if value is None or value in ("", ()):
        return "none"
    if isinstance(value, tuple):
        return " ".join(show(item) for item in value)
    if isinstance(value, float):
        return f"{value:g}"
    if not hasattr(value, "__dataclass_fields__"):
        return str(value)
    return " ".join(
        f"{field.name}={show(getattr(value, field.name))}"
        for field in fields(value)  # type: ignore[arg-type]
    )
