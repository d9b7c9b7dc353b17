"""A run that an agent accepted, as its entry follows it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import xxhash

if TYPE_CHECKING:
    from primroselever_core.identifiers import Incarnation, RunId
    from primroselever_core.routing.section import Server


@dataclass(slots=True)
class ActiveRun:
    """A run that an agent accepted, and how much of its answer was passed on."""

    run_id: RunId
    server: Server
    incarnation: Incarnation
    offset: int = 0
    digest: Any = field(default_factory=xxhash.xxh3_128)

    @property
    def address(self) -> tuple[str, int]:
        """Return where the agent answers."""
        return self.server.vm.address, self.server.vm.rpc_port
