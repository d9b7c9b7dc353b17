"""The state of an agent that fills an engine with weights fetched from entries."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .drain_times import DrainTimes
from .lapses import WeightLapses
from .link_delay import LinkDelay
from .loads import Loads
from .reporting import reported_hosts
from .targets import Targets

if TYPE_CHECKING:
    from ..identity import Identity
    from .pieces import Staging

ENTRY_TIMEOUT_S = 3.0  # entries send advice every second
MAX_ENTRIES = 1024  # above the number of entries of a fleet


@dataclass(frozen=True, slots=True)
class WantedWeights:
    """
    The version of a model's weights that the engine should serve.

    From ``bound_at`` on, older versions may not begin a request. ``rank`` is the
    engine's position among the ``group_size`` engines that switch one after another.
    """

    model: str
    version: int
    bound_at: float
    rank: int
    group_size: int

    def same_version(self, other: WantedWeights | None) -> bool:
        """Return whether ``other`` names the same model and version."""
        return other is not None and (self.model, self.version) == (
            other.model,
            other.version,
        )


@dataclass(slots=True)
class FillingBoard:
    """
    The blackboard of an agent that fills its engine.

    ``closes_at`` is when the engine stops accepting work, None if that is not planned.
    ``entries`` maps a host to its failure domain and the time of its last message.
    ``entries``, ``targets``, ``lapses`` and ``drain_times`` are written by the report
    controller, ``loads`` and ``link_delay`` by all controllers, and all other fields by
    the filling controller.
    """

    identity: Identity
    seeds: tuple[str, ...]
    targets: Targets = field(default_factory=Targets)
    entries: dict[str, tuple[str, float]] = field(default_factory=dict)
    drain_times: DrainTimes = field(default_factory=DrainTimes)
    loads: Loads = field(default_factory=Loads)
    lapses: WeightLapses = field(default_factory=WeightLapses)
    link_delay: LinkDelay = field(default_factory=LinkDelay)
    staging: Staging | None = None
    switching: bool = False
    closes_at: float | None = None
    leaving: bool = False

    def record_entry(self, host: str, failure_domain: str, now: float) -> None:
        """
        Record a message from an entry, which shows that it is live.

        Entries beyond ``MAX_ENTRIES`` are left out until silent ones are dropped.
        """
        if host in self.entries or len(self.entries) < MAX_ENTRIES:
            self.entries[host] = (failure_domain, now)

    def add_reported_entries(self, failure_domains: dict[str, str], now: float) -> None:
        """
        Add entries reported by another entry, as failure domains by host.

        They expire after half of the timeout unless they send a message themselves.
        """
        for host, failure_domain in failure_domains.items():
            if host not in self.entries and len(self.entries) < MAX_ENTRIES:
                self.entries[host] = (failure_domain, now - ENTRY_TIMEOUT_S / 2)

    def expire_silent_entries(self, now: float) -> None:
        """Drop the entries whose last message is older than the timeout."""
        for host, (_domain, received_at) in list(self.entries.items()):
            if now - received_at > ENTRY_TIMEOUT_S:
                del self.entries[host]

    def report_recipients(self, own_host: str) -> dict[str, bool]:
        """
        Return the hosts that get reports, and whether each is in the own domain.

        Seeds that have not answered yet are included.
        """
        own = self.identity.failure_domain
        domains = {host: domain for host, (domain, _at) in self.entries.items()}
        recipients = {
            host: domains[host] == own
            for host in reported_hosts(own_host, own, domains)
        }
        for seed in self.seeds:
            if seed not in self.entries:
                recipients[seed] = False
        return recipients

    def own_domain_hosts(self) -> list[str]:
        """Return the hosts of the entries in the agent's failure domain."""
        own = self.identity.failure_domain
        return [host for host, (domain, _at) in self.entries.items() if domain == own]

    def other_domain_hosts(self) -> list[str]:
        """Return the hosts of the entries in other failure domains."""
        own = self.identity.failure_domain
        return [host for host, (domain, _at) in self.entries.items() if domain != own]
