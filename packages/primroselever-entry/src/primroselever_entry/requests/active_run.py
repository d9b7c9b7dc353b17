"""A run that an agent accepted, as its entry follows it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroselever_core.routing.section import Server
    from primroselever_core.runs.cursor import AnswerCursor


@dataclass(slots=True)
class ActiveRun:
    """A run that an agent accepted, and how much of its answer was passed on."""

    cursor: AnswerCursor
    server: Server

    @property
    def address(self) -> tuple[str, int]:
        """Return where the agent answers."""
        return self.server.vm.address, self.server.vm.rpc_port
