"""What an agent beside an engine knows: the engine, what is wanted and who has it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .targets import Targets

if TYPE_CHECKING:
    from ..board import Identity
    from .pieces import Staging

ENTRY_SILENT_S = 3.0  # entries advise every second


@dataclass(frozen=True, slots=True)
class WantedWeights:
    """
    The version that the engine should serve.

    ``bound_at`` is when older ones may begin no request any more; ``rank`` is the
    engine's place among ``group_size`` others that switch.
    """

    model: str
    version: int
    bound_at: float
    rank: int
    group_size: int

    def same_version(self, other: WantedWeights | None) -> bool:
        """Return whether another one wants the same weights."""
        return other is not None and (self.model, self.version) == (
            other.model,
            other.version,
        )


@dataclass(slots=True)
class FillingBoard:
    """
    The blackboard of such an agent.

    ``closes_at`` is when the engine is to stop taking work, None while not planned.
    ``entries`` holds failure domain and when last heard, by host. It and ``targets``
    are written by the news controller, the rest by the filling controller.
    """

    identity: Identity
    seeds: tuple[str, ...]
    targets: Targets = field(default_factory=Targets)
    entries: dict[str, tuple[str, float]] = field(default_factory=dict)
    staging: Staging | None = None
    switching: bool = False
    closes_at: float | None = None
    leaving: bool = False

    def hear_entry(self, host: str, failure_domain: str, now: float) -> None:
        """Take in that an entry lives."""
        self.entries[host] = (failure_domain, now)

    def learn_entries(self, named: dict[str, str], now: float) -> None:
        """Take in entries that another one named; they count as heard just barely."""
        for host, failure_domain in named.items():
            if host not in self.entries:
                self.entries[host] = (failure_domain, now - ENTRY_SILENT_S / 2)

    def forget_silent(self, now: float) -> None:
        """Drop the entries that were not heard for long."""
        for host, (_domain, heard_at) in list(self.entries.items()):
            if now - heard_at > ENTRY_SILENT_S:
                del self.entries[host]

    def hosts_here(self) -> list[str]:
        """Return the entries of the agent's failure domain."""
        own = self.identity.failure_domain
        return [host for host, (domain, _at) in self.entries.items() if domain == own]

    def hosts_elsewhere(self) -> list[str]:
        """Return the entries of other failure domains."""
        own = self.identity.failure_domain
        return [host for host, (domain, _at) in self.entries.items() if domain != own]
