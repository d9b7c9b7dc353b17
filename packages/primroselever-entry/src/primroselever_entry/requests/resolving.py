"""
Resolution of a start whose reply was lost.

Before the caller gets an outcome, the agent is asked over another connection what
became of the run. Either the agent confirms that the run never started, and sets a
tombstone that keeps it from starting later; or the run is in progress and its
answer is read; or the outcome is unknown.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroselever_core.outcomes import NotRun, Reason, Unknown
from primroselever_core.routing.section import UNKNOWN_INCARNATION
from primroselever_core.runs.starting import ending_of_resolve_reply
from primroselever_node import clock
from primroselever_node.logs import log_decision
from primroselever_node.process import spawn_task
from primroselever_node.rpc.client_pool import LostReplyError, NeverSentError

from .reasons import log_unknown_reason

if TYPE_CHECKING:
    from primroselever_core.routing.section import Server
    from primroselever_node.rpc.client_pool import ClientPool

    from .active_run import ActiveRun

SERVER_RETRY_S = 1.0
CALL_ATTEMPTS = 3
MIN_CALL_TIMEOUT_S = 0.001


class StartResolver:
    """Asks agents about runs whose start got no reply."""

    def __init__(self, agents: ClientPool, progress_s: float) -> None:
        self.agents = agents
        self.progress_s = progress_s

    def resolve_start(self, run: ActiveRun, epoch: int) -> NotRun | Unknown | None:
        """
        Return the ending of a start whose reply was lost, or None if the run exists.

        The caller does not wait past its deadline for the result.
        """
        for _ in range(CALL_ATTEMPTS):
            if clock.now() >= run.deadline:
                spawn_task(self.prevent_or_cancel_run, run, epoch)
                return Unknown(Reason.DEADLINE_PASSED)
            timeout_s = call_timeout_s(self.progress_s, run.deadline)
            try:
                return self.query_agent(run, epoch, timeout_s)
            except (NeverSentError, LostReplyError) as exc:
                log_failed_call("resolve", run.cursor.run_id, run.server, exc)
        mark_unreachable(run.server)
        return Unknown(Reason.SERVER_LOST, SERVER_RETRY_S)

    def query_agent(
        self, run: ActiveRun, epoch: int, timeout_s: float
    ) -> NotRun | Unknown | None:
        """Ask the agent once what became of a run; raise the client pool's errors."""
        reply = self.agents.call(
            rpc_address(run.server),
            "resolve",
            run.cursor.run_id,
            run.cursor.incarnation,
            epoch,
            timeout_s=timeout_s,
        )
        log_unknown_reason(reply.reason, "the reply to a resolve")
        return ending_of_resolve_reply(reply.state, reply.reason, SERVER_RETRY_S)

    def prevent_or_cancel_run(self, run: ActiveRun, epoch: int) -> None:
        """Keep a run without a caller from starting, or cancel it if it started."""
        try:
            if self.query_agent(run, epoch, self.progress_s) is None:
                self.agents.call(
                    rpc_address(run.server),
                    "cancel",
                    run.cursor.run_id,
                    timeout_s=self.progress_s,
                )
        except (NeverSentError, LostReplyError) as exc:
            log_failed_call("resolve", run.cursor.run_id, run.server, exc)
            mark_unreachable(run.server)


def call_timeout_s(progress_s: float, deadline: float) -> float:
    """Return the timeout in seconds of a call made for a caller with a deadline."""
    return max(MIN_CALL_TIMEOUT_S, min(progress_s, deadline - clock.now()))


def log_failed_call(
    method: str, subject: str, server: Server, error: Exception
) -> None:
    """Log a call to a server's agent that was not sent or got no reply."""
    log_decision("call failed", subject, server.vm.vm_id, str(error), method=method)


def rpc_address(server: Server) -> tuple[str, int]:
    """Return host and port of the agent of a server."""
    return server.vm.address, server.vm.rpc_port


def mark_unreachable(server: Server) -> NotRun:
    """
    Mark a server as unreachable; return the ending of a start never sent to it.

    No run is sent to it for ``SERVER_RETRY_S`` seconds, and its incarnation and epoch
    are queried again before the next start.
    """
    server.avoid_until = clock.now() + SERVER_RETRY_S
    server.incarnation = UNKNOWN_INCARNATION
    server.epoch_until = 0.0
    return NotRun(Reason.SERVER_LOST, SERVER_RETRY_S)
