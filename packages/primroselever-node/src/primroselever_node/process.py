"""A process from its start to its graceful end."""

from __future__ import annotations

import logging
import os
import secrets
import signal
from typing import TYPE_CHECKING, Any

import eventlet
from eventlet.event import Event

from primroselever_core.board import Blackboard, Identity
from primroselever_core.identifiers import FailureDomain, Incarnation, Region, VmId

from . import clock
from .console.command import EXIT_FAILED, EXIT_OK

if TYPE_CHECKING:
    from collections.abc import Callable

    from .settings.model import NodeSettings

logger = logging.getLogger(__name__)

INCARNATION_BITS = 62
DRAIN_POLL_S = 0.05


def new_board(settings: NodeSettings) -> Blackboard:
    """Return an empty blackboard under a fresh incarnation number."""
    return Blackboard(
        Identity(
            vm_id=VmId(settings.vm_id),
            failure_domain=FailureDomain(settings.failure_domain),
            region=Region(settings.region),
            incarnation=Incarnation(secrets.randbits(INCARNATION_BITS) | 1),
        )
    )


def run_controller(step: Callable[[], None], interval_s: float) -> Any:
    """
    Call ``step`` every ``interval_s`` seconds in a greenlet of its own.

    An exception in a step is logged and the controller goes on: a controller
    that stops for good would leave its section to grow stale unseen.
    """

    def loop() -> None:
        while True:
            try:
                step()
            except Exception:
                logger.exception("a controller's step failed")
            eventlet.sleep(interval_s)

    return eventlet.spawn(loop)


class ShutdownSignal:
    """
    Turns the first SIGTERM or SIGINT into an event to wait for.

    The second one ends the process at once, for an operator who cannot wait.
    """

    def __init__(self) -> None:
        self.event = Event()
        self.count = 0
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self.on_signal)

    def on_signal(self, number: int, _frame: object) -> None:
        """Wake the waiter from the hub, where it is safe to switch."""
        self.count += 1
        if self.count > 1:
            logger.warning("signal %d came again: ending at once", number)
            os._exit(EXIT_FAILED)
        eventlet.hubs.get_hub().schedule_call_global(0, self.wake)

    def wake(self) -> None:
        """Send the event once."""
        if not self.event.ready():
            self.event.send()

    def wait(self) -> None:
        """Block this greenlet until the process is told to stop."""
        self.event.wait()


def drain(in_flight: Callable[[], int], deadline: float) -> bool:
    """Wait until nothing is in flight; return whether that was in time."""
    while in_flight():
        if clock.now() >= deadline:
            return False
        eventlet.sleep(DRAIN_POLL_S)
    return True


def exit_code(drained: bool) -> int:
    """Log how a graceful shutdown ended and return the exit code for it."""
    if drained:
        logger.info("stopped; all work in progress had ended")
        return EXIT_OK
    logger.error("stopped at the deadline, with work still in progress")
    return EXIT_FAILED
