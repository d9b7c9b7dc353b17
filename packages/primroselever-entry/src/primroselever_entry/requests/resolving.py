"""
Finding out what became of a start whose reply was lost.

The agent is asked over another connection before anything is said: either it
confirms that the run never started, and sets the tombstone, or the answer is
read on, or the end is unknown.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroselever_core.outcomes import NotRun, Reason, Unknown
from primroselever_core.routing.section import UNKNOWN_INCARNATION
from primroselever_core.runs.starting import said_of_resolve
from primroselever_node import clock
from primroselever_node.rpc.client_pool import LostReplyError, NeverSentError

if TYPE_CHECKING:
    from primroselever_core.routing.section import Server
    from primroselever_node.rpc.client_pool import ClientPool

    from .active_run import ActiveRun

AVOID_S = 1.0
RESOLVE_TRIES = 3


class Resolver:
    """Asks agents about runs whose start was not answered."""

    def __init__(self, agents: ClientPool, progress_s: float) -> None:
        self.agents = agents
        self.progress_s = progress_s

    def resolve(self, run: ActiveRun, epoch: int) -> NotRun | Unknown | None:
        """Return the ending of a start whose reply was lost, or None if it runs."""
        server, cursor = run.server, run.cursor
        for _ in range(RESOLVE_TRIES):
            try:
                found = self.agents.call(
                    (server.vm.address, server.vm.rpc_port),
                    "resolve",
                    cursor.run_id,
                    cursor.incarnation,
                    epoch,
                    timeout_s=self.progress_s,
                )
            except (NeverSentError, LostReplyError):
                continue
            return said_of_resolve(found.state, found.reason, AVOID_S)
        pass_over(server)
        return Unknown(Reason.SERVER_LOST, AVOID_S)


def pass_over(server: Server) -> NotRun:
    """Send nothing new to a server for a while: it cannot be reached."""
    server.avoid_until = clock.now() + AVOID_S
    server.incarnation = UNKNOWN_INCARNATION
    server.epoch_until = 0.0
    return NotRun(Reason.SERVER_LOST, AVOID_S)
