"""Passing a run's answer on until its ending."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

from primroselever_core.outcomes import Ending, Reason, Unknown
from primroselever_node import clock
from primroselever_node.rpc.client_pool import LostReplyError, NeverSentError

from .resolving import address_of

if TYPE_CHECKING:
    from collections.abc import Generator

    from primroselever_node.rpc.client_pool import ClientPool

    from .active_run import ActiveRun
    from .caller_request import CallerRequest
    from .feed import Feeds


class AnswerReader:
    """Passes answers on as they come, and gives runs up."""

    def __init__(self, agents: ClientPool, feeds: Feeds, progress_s: float) -> None:
        self.agents = agents
        self.feeds = feeds
        self.progress_s = progress_s

    def read_out(
        self, request: CallerRequest, run: ActiveRun
    ) -> Generator[bytes, None, Ending]:
        """Yield a run's answer as it comes; return its ending."""
        remaining_s = max(0.0, request.deadline - clock.now())
        timer = eventlet.spawn_after(
            remaining_s, run.end, Unknown(Reason.DEADLINE_PASSED)
        )
        try:
            while True:
                run.wait()
                if run.pieces:
                    data = b"".join(run.pieces)
                    run.pieces.clear()
                    run.passed_on = True
                    yield data
                elif run.ending is not None:
                    return run.ending
        finally:
            timer.cancel()
            self.feeds.of(run.server).drop(run)
            if given_up(run):
                eventlet.spawn_n(self.cancel, run)

    def cancel(self, run: ActiveRun) -> None:
        """Tell the agent that nobody waits for a run; nobody waits for this."""
        address = address_of(run.server)
        try:
            self.agents.call(
                address, "cancel", run.cursor.run_id, timeout_s=self.progress_s
            )
        except (NeverSentError, LostReplyError):
            self.agents.forget(address)


def given_up(run: ActiveRun) -> bool:
    """
    Return whether an agent goes on with a run for nobody.

    A call that must run once goes on: its caller may come back with the ticket.
    """
    ending = run.ending
    passed = isinstance(ending, Unknown) and ending.reason is Reason.DEADLINE_PASSED
    return run.idempotent and (ending is None or passed)
