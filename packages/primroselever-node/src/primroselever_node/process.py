"""The life cycle of a process, from its start to a graceful shutdown."""

from __future__ import annotations

import logging
import os
import signal
from typing import TYPE_CHECKING, Any

import eventlet
from eventlet.event import Event

from . import clock
from .console.command import EXIT_FAILED, EXIT_OK

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

logger = logging.getLogger(__name__)

DRAIN_POLL_S = 0.05


def run_controller(step: Callable[[], None], interval_s: float) -> Any:
    """
    Call ``step`` in a new greenlet, sleeping ``interval_s`` seconds between calls.

    An exception in a step is logged and the controller continues. If it stopped, its
    section of the blackboard would become stale without anyone noticing.
    """

    def loop() -> None:
        while True:
            try:
                step()
            except Exception:
                logger.exception("a controller step failed; continuing")
            eventlet.sleep(interval_s)

    return eventlet.spawn(loop)


def spawn_task(function: Callable[..., object], *args: Any) -> None:
    """
    Call a function in a new greenlet that nothing waits for, and log its error.

    eventlet itself would only write the error to standard error.
    """

    def run() -> None:
        try:
            function(*args)
        except Exception:
            # In the text, since repetitions are limited for each text.
            logger.exception(f"{function.__qualname__} failed in the background")

    eventlet.spawn_n(run)


class ShutdownSignal:
    """
    Waits for the first SIGTERM or SIGINT.

    A second signal that is one of ``ending_signals`` ends the process immediately, for
    operators who cannot wait for the graceful shutdown. ``on_stop`` is called in the
    signal handler with the time of the first signal, before any other greenlet runs. It
    must not switch greenlets.
    """

    def __init__(
        self,
        on_stop: Callable[[float], None] | None = None,
        ending_signals: Collection[int] = (signal.SIGTERM, signal.SIGINT),
    ) -> None:
        self.event = Event()
        self.signal_count = 0
        self.on_stop = on_stop
        self.ending_signals = ending_signals
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self.on_signal)

    def on_signal(self, number: int, _frame: object) -> None:
        """Schedule the event on the hub, where switching greenlets is safe."""
        self.signal_count += 1
        hub = eventlet.hubs.get_hub()
        if self.signal_count > 1 and number not in self.ending_signals:
            hub.schedule_call_global(
                0, logger.warning, "signal %d received again; still draining", number
            )
            return
        if self.signal_count > 1:
            logger.warning("second signal (%d) received; exiting immediately", number)
            os._exit(EXIT_FAILED)
        if self.on_stop is not None:
            self.on_stop(clock.now())
        hub.schedule_call_global(0, self.send_event)

    def send_event(self) -> None:
        """Send the event unless it has been sent."""
        if not self.event.ready():
            self.event.send()

    def wait(self) -> None:
        """Block this greenlet until a signal has been received."""
        self.event.wait()


def drain(in_flight: Callable[[], int], deadline: float) -> bool:
    """Wait until nothing is in flight; return whether the deadline was met."""
    while in_flight():
        if clock.now() >= deadline:
            return False
        eventlet.sleep(DRAIN_POLL_S)
    return True


def exit_code(drained: bool) -> int:
    """Log the result of a graceful shutdown and return its exit code."""
    if drained:
        logger.info("stopped; all work in progress was completed")
        return EXIT_OK
    logger.error("stopped at the shutdown deadline with work still in progress")
    return EXIT_FAILED
