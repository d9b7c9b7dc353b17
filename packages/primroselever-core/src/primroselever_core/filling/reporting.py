"""
Selection of the entries to which an agent reports the state of its engine.

Entries forward to engines of other failure domains only what their own domain cannot
serve, so a few entries of each domain need to know an engine elsewhere. If all did, the
number of reports would grow with the product of agents and entries. Agents and entries
compute the same selection by rendezvous hashing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..rendezvous import top_ranked

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_REPORTED_PER_OTHER_DOMAIN = 4


def reported_hosts(
    agent_host: str, agent_domain: str, entry_domains: Mapping[str, str]
) -> list[str]:
    """
    Return all entries of an agent's failure domain and a few of each other domain.

    ``entry_domains`` maps the hosts of entries to their failure domains.
    """
    hosts_by_domain: dict[str, list[str]] = {}
    for host, domain in entry_domains.items():
        hosts_by_domain.setdefault(domain, []).append(host)
    selected = hosts_by_domain.pop(agent_domain, [])
    for hosts in hosts_by_domain.values():
        selected += top_ranked(agent_host, hosts, MAX_REPORTED_PER_OTHER_DOMAIN)
    return selected
