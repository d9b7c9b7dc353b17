"""All checks of one configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .attempts import check_attempts
from .finding import Severity
from .homes import check_homes
from .keys import check_keys
from .priorities import check_priorities
from .routes import check_routes
from .services import check_services
from .sizes import check_sizes
from .times import check_times

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..catalogue.model import Configuration
    from .finding import RatedFinding, Surroundings

CHECKS = (
    check_attempts,
    check_keys,
    check_priorities,
    check_routes,
    check_services,
    check_sizes,
    check_times,
)


def check_configuration(
    configuration: Configuration, surroundings: Surroundings
) -> list[RatedFinding]:
    """Return all findings in a configuration, sorted by place."""
    findings = [finding for check in CHECKS for finding in check(configuration)]
    return sorted([*findings, *check_homes(configuration, surroundings)])


def has_errors(findings: Iterable[RatedFinding]) -> bool:
    """Return whether a configuration should not be sent."""
    return any(finding.severity is Severity.ERROR for finding in findings)
