"""
Reading a published value: the same checks in every process and in ``check``.

    >>> parse_profiles('{"profiles": [], "services": []}', "p.jsonc").services
    ()
"""

from __future__ import annotations

import json
from collections import Counter
from typing import TYPE_CHECKING, Any

import jsonc
from pydantic import ValidationError

from ..exceptions import FindingsError
from ..findings import Finding
from .model import ProfileSet

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

MAX_VALUE_BYTES = 1_000_000


def parse_profiles(text: str, place: str) -> ProfileSet:
    """
    Return the profiles in ``text``, JSON with comments.

    Raise ``FindingsError`` with every finding, each with its place, when the
    value is refused.
    """
    if len(text.encode()) > MAX_VALUE_BYTES:
        problem = f"the value is longer than {MAX_VALUE_BYTES} bytes"
        raise FindingsError([Finding(place, problem, "publish a shorter one")])
    try:
        data = load_json(text)
    except ValueError as exc:
        raise FindingsError([Finding(place, str(exc), "mend the JSON")]) from exc
    except RecursionError as exc:
        problem = "the value is nested too deeply"
        raise FindingsError([Finding(place, problem, "publish a flat one")]) from exc
    try:
        profiles = ProfileSet.model_validate(data)
    except ValidationError as exc:
        raise FindingsError(list(findings_of(exc, place))) from exc
    findings = list(cross_check(profiles, place))
    if findings:
        raise FindingsError(findings)
    return profiles


def load_json(text: str) -> Any:
    """
    Return the data in JSON with comments.

    Text without comments goes the fast way: stripping the comments of a megabyte
    costs many times what reading it does.
    """
    try:
        return json.loads(text)
    except ValueError:
        return jsonc.loads(text)


def findings_of(error: ValidationError, place: str) -> Iterator[Finding]:
    """Yield a finding for each problem that pydantic saw."""
    for item in error.errors():
        yield Finding(
            f"{place}: {path_in_file(item['loc'])}",
            item["msg"],
            "see docs/operators.md for the fields and their values",
        )


def path_in_file(location: Iterable[int | str]) -> str:
    """Return a path such as ``profiles[0].version``."""
    path = ""
    for part in location:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.lstrip(".") or "(whole file)"


def cross_check(profiles: ProfileSet, place: str) -> Iterator[Finding]:
    """Yield a finding for each contradiction between valid parts."""
    yield from repeated(place, "profiles", [p.name for p in profiles.profiles])
    yield from repeated(place, "services", [s.name for s in profiles.services])
    yield from repeated(place, "workspaces", [w.name for w in profiles.workspaces])
    yield from shared_groups(place, profiles)
    yield from unclear_targets(place, profiles)


def shared_groups(place: str, profiles: ProfileSet) -> Iterator[Finding]:
    """Yield a finding for each profile whose group another one selects too."""
    groups = Counter(p.group for p in profiles.profiles)
    for index, profile in enumerate(profiles.profiles):
        if groups[profile.group] > 1:
            yield Finding(
                f"{place}: profiles[{index}].group",
                f"group {profile.group!r} is selected by more than one profile",
                "let one profile select a group",
            )


def unclear_targets(place: str, profiles: ProfileSet) -> Iterator[Finding]:
    """Yield a finding for each service that does not name where it runs."""
    names = {p.name for p in profiles.profiles}
    for index, service in enumerate(profiles.services):
        where = f"{place}: services[{index}]"
        if (service.profile is None) == (service.group is None):
            yield Finding(
                where,
                f"service {service.name!r} needs either a profile or a group",
                "give exactly one of the two",
            )
        elif service.profile is not None and service.profile not in names:
            yield Finding(
                f"{where}.profile",
                f"there is no profile {service.profile!r}",
                "name a profile of this file",
            )


def repeated(place: str, what: str, names: list[str]) -> Iterator[Finding]:
    """Yield a finding for each name that stands more than once."""
    counts = Counter(names)
    for index, name in enumerate(names):
        if counts[name] > 1:
            yield Finding(
                f"{place}: {what}[{index}].name",
                f"the name {name!r} stands more than once",
                "give each its own name",
            )
