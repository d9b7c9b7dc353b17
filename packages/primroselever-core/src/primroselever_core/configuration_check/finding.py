"""Findings with a severity, and the names of places in a configuration."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from ..catalogue.model import Configuration, Route, Service, Workspace

DIGEST_CHARACTERS = 12  # 48 bits: two of 100,000 keys share a digest once in 50,000
DIGEST_PREFIX = "sha256:"


class Severity(StrEnum):
    """Whether a configuration should not be sent, or should be reviewed first."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True, order=True)
class RatedFinding:
    """One problem at one place of a configuration, and what to do about it."""

    place: str
    severity: Severity
    problem: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.severity}: {self.place}: {self.problem}; {self.remedy}"


@dataclass(frozen=True, slots=True)
class Surroundings:
    """
    What is known of the processes that a configuration is for.

    ``regions`` maps failure domains to regions, and ``server_domains`` each service to
    the failure domains of its servers; both are None if they are not known.
    """

    regions: Mapping[str, str] | None = None
    server_domains: Mapping[str, Collection[str]] | None = None


def error(place: str, problem: str, remedy: str) -> RatedFinding:
    """Return a finding for which a configuration should not be sent."""
    return RatedFinding(place, Severity.ERROR, problem, remedy)


def warning(place: str, problem: str, remedy: str) -> RatedFinding:
    """Return a finding that may be intended."""
    return RatedFinding(place, Severity.WARNING, problem, remedy)


def name_place(part: Route | Service | Workspace, limit: str = "") -> str:
    """Return the place of a part of a configuration, and of a limit in it."""
    place = f"{type(part).__name__.lower()} {part.name}"
    return f"{place}, {limit}" if limit else place


def digest_key(key: str) -> str:
    """Return the digest by which a key is shown, since keys are secrets."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"{DIGEST_PREFIX}{digest[:DIGEST_CHARACTERS]}"


def redact_keys(configuration: Configuration) -> Configuration:
    """Return a configuration with the digests of its keys in their place."""
    if configuration.workspaces is None:
        return configuration
    workspaces = tuple(
        replace(each, keys=tuple(map(digest_key, each.keys)))
        for each in configuration.workspaces
    )
    return replace(configuration, workspaces=workspaces)
