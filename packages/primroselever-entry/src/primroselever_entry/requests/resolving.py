"""
Finding out what became of a start whose reply was lost.

The agent is asked over another connection before anything is said: either it
confirms that the run never started, and sets the tombstone, or the answer is
read on, or the end is unknown.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

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
MIN_CALL_TIMEOUT_S = 0.001


class Resolver:
    """Asks agents about runs whose start was not answered."""

    def __init__(self, agents: ClientPool, progress_s: float) -> None:
        self.agents = agents
        self.progress_s = progress_s

    def resolve(self, run: ActiveRun, epoch: int) -> NotRun | Unknown | None:
        """
        Return the ending of a start whose reply was lost, or None if it runs.

        The caller is not kept waiting past its deadline to find out.
        """
        for _ in range(RESOLVE_TRIES):
            if clock.now() >= run.deadline:
                eventlet.spawn_n(self.abandon, run, epoch)
                return Unknown(Reason.DEADLINE_PASSED)
            timeout_s = call_timeout_s(self.progress_s, run.deadline)
            try:
                return self.ask(run, epoch, timeout_s)
            except (NeverSentError, LostReplyError):
                continue
        pass_over(run.server)
        return Unknown(Reason.SERVER_LOST, AVOID_S)

    def ask(
        self, run: ActiveRun, epoch: int, timeout_s: float
    ) -> NotRun | Unknown | None:
        """Ask the agent once; raise the client pool's errors."""
        found = self.agents.call(
            address_of(run.server),
            "resolve",
            run.cursor.run_id,
            run.cursor.incarnation,
            epoch,
            timeout_s=timeout_s,
        )
        return said_of_resolve(found.state, found.reason, AVOID_S)

    def abandon(self, run: ActiveRun, epoch: int) -> None:
        """Keep a run that nobody waits for from starting, or else stop it."""
        try:
            if self.ask(run, epoch, self.progress_s) is None:
                self.agents.call(
                    address_of(run.server),
                    "cancel",
                    run.cursor.run_id,
                    timeout_s=self.progress_s,
                )
        except (NeverSentError, LostReplyError):
            pass_over(run.server)


def call_timeout_s(progress_s: float, deadline: float) -> float:
    """Return how long a call may be silent when its caller has a deadline."""
    return max(MIN_CALL_TIMEOUT_S, min(progress_s, deadline - clock.now()))


def address_of(server: Server) -> tuple[str, int]:
    """Return where a server's agent answers."""
    return server.vm.address, server.vm.rpc_port


def pass_over(server: Server) -> NotRun:
    """Send nothing new to a server for a while: it cannot be reached."""
    server.avoid_until = clock.now() + AVOID_S
    server.incarnation = UNKNOWN_INCARNATION
    server.epoch_until = 0.0
    return NotRun(Reason.SERVER_LOST, AVOID_S)
