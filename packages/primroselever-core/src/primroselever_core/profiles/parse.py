"""
Parsing of a published value, with the same checks in all processes and ``check``.

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
from ..validation import findings_of
from .model import ProfileSet

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_VALUE_BYTES = 1_000_000


def parse_profiles(text: str, place: str) -> ProfileSet:
    """
    Return the profiles in ``text``, which is JSON with comments.

    Raise ``FindingsError`` with all findings and their places if the value is invalid.
    """
    if len(text.encode()) > MAX_VALUE_BYTES:
        problem = f"the value is longer than {MAX_VALUE_BYTES} bytes"
        raise FindingsError([Finding(place, problem, "publish a shorter value")])
    try:
        data = load_json(text)
    except ValueError as exc:
        raise FindingsError(
            [Finding(place, str(exc), "correct the JSON syntax")]
        ) from exc
    except RecursionError as exc:
        problem = "the value is nested too deeply"
        raise FindingsError([Finding(place, problem, "reduce the nesting")]) from exc
    try:
        profiles = ProfileSet.model_validate(data)
    except ValidationError as exc:
        raise FindingsError(list(findings_of(exc, place))) from exc
    findings = list(find_inconsistencies(profiles, place))
    if findings:
        raise FindingsError(findings)
    return profiles


def load_json(text: str) -> Any:
    """
    Return the data in JSON with comments.

    Text without comments takes the fast path: stripping the comments of a megabyte
    takes many times longer than parsing it.
    """
    try:
        return json.loads(text)
    except ValueError:
        return jsonc.loads(text)


def find_inconsistencies(profiles: ProfileSet, place: str) -> Iterator[Finding]:
    """Yield a finding for each inconsistency between valid parts of a value."""
    yield from find_repeated_names(
        place, "profiles", [p.name for p in profiles.profiles]
    )
    yield from find_repeated_names(
        place, "services", [s.name for s in profiles.services]
    )
    yield from find_repeated_names(
        place, "workspaces", [w.name for w in profiles.workspaces]
    )
    yield from find_shared_groups(place, profiles)
    yield from find_invalid_targets(place, profiles)


def find_shared_groups(place: str, profiles: ProfileSet) -> Iterator[Finding]:
    """Yield a finding for each profile whose group another profile also selects."""
    groups = Counter(p.group for p in profiles.profiles)
    for index, profile in enumerate(profiles.profiles):
        if groups[profile.group] > 1:
            yield Finding(
                f"{place}: profiles[{index}].group",
                f"group {profile.group!r} is selected by more than one profile",
                "select each group in one profile only",
            )


def find_invalid_targets(place: str, profiles: ProfileSet) -> Iterator[Finding]:
    """Yield a finding for each service without one valid profile or group."""
    names = {p.name for p in profiles.profiles}
    for index, service in enumerate(profiles.services):
        service_place = f"{place}: services[{index}]"
        if (service.profile is None) == (service.group is None):
            yield Finding(
                service_place,
                f"service {service.name!r} must name either a profile or a group",
                "set exactly one of the fields profile and group",
            )
        elif service.profile is not None and service.profile not in names:
            yield Finding(
                f"{service_place}.profile",
                f"profile {service.profile!r} does not exist",
                "name a profile that this value defines",
            )


def find_repeated_names(
    place: str, field_name: str, names: list[str]
) -> Iterator[Finding]:
    """Yield a finding for each name that is used more than once."""
    counts = Counter(names)
    for index, name in enumerate(names):
        if counts[name] > 1:
            yield Finding(
                f"{place}: {field_name}[{index}].name",
                f"the name {name!r} is used more than once",
                "give each one a unique name",
            )
