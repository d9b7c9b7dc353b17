"""The configuration in force, as the admin port serves it and its reader."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pydantic import TypeAdapter, ValidationError

# pydantic reads the annotation at run time.
from primroselever_core.catalogue.model import Configuration  # noqa: TC001
from primroselever_core.configuration_check.finding import redact_keys
from primroselever_node.exceptions import AdminError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from primroselever_core.catalogue.catalogue import Catalogue


@dataclass(frozen=True, slots=True)
class InForce:
    """
    What an entry has in force; keys are digests.

    ``configuration`` is None before one was received. ``age_s`` is since when it is in
    force. ``server_domains`` maps services to the failure domains of their servers.
    """

    configuration: Configuration | None
    age_s: float
    regions: dict[str, str]
    server_domains: dict[str, list[str]]


def describe_in_force(
    catalogue: Catalogue, regions: Mapping[str, str], now: float
) -> dict[str, Any]:
    """Return what is in force for the admin port, without keys in clear."""
    configuration = catalogue.configuration
    domains: dict[str, set[str]] = {}
    for server in catalogue.servers.values():
        domains.setdefault(server.service, set()).add(server.failure_domain)
    in_force = InForce(
        None if configuration is None else redact_keys(configuration),
        0.0 if configuration is None else round(now - catalogue.configuration_at, 3),
        dict(regions),
        {service: sorted(domains[service]) for service in sorted(domains)},
    )
    # Built here since few processes are ever asked, and it takes memory.
    return TypeAdapter(InForce).dump_python(in_force, mode="json")


def parse_in_force(value: Any) -> InForce:
    """Return what an admin port served, or raise ``AdminError``."""
    try:
        return TypeAdapter(InForce).validate_python(value)
    except ValidationError as exc:
        raise AdminError(
            f"the configuration in force cannot be read, {exc.error_count()} fields "
            "are invalid; is the process of this release?"
        ) from exc
