"""
Faults inside the process of an entry, which signals from the soak begin.

``STALL_SIGNAL`` stops the event loop, and ``DELAY_SIGNAL`` makes the updates from peers
arrive late. Links cannot delay these, as they are datagrams.
"""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

STALL_SIGNAL = signal.SIGUSR1
STALL_S = 0.85
DELAY_SIGNAL = signal.SIGUSR2
UPDATE_DELAY_S = 0.6
DELAYED_FOR_S = 1.5  # at least two heartbeats of each peer


class UpdateDelay:
    """Delays what a datagram port receives until ``until``, and keeps its order."""

    def __init__(self) -> None:
        self.until = 0.0

    def begin(self, *_: Any) -> None:
        """Begin to delay updates."""
        self.until = time.monotonic() + DELAYED_FOR_S

    def delay_s(self, now: float) -> float:
        """Return for how many seconds an update that arrives now is held back."""
        return max(0.0, min(UPDATE_DELAY_S, self.until + UPDATE_DELAY_S - now))

    def wrap(self, receive: Callable[[Any, str], None]) -> Callable[[Any, str], None]:
        """Return a receiver that calls another one after the delay."""
        import eventlet

        def receive_late(datagram: Any, host: str) -> None:
            delay_s = self.delay_s(time.monotonic())
            if delay_s:
                eventlet.spawn_after(delay_s, receive, datagram, host)
            else:
                receive(datagram, host)

        return receive_late


def stall(*_: Any) -> None:
    """Stop the event loop; a signal handler runs between any two of its steps."""
    from eventlet.patcher import original

    original("time").sleep(STALL_S)


def install_hooks() -> None:
    """Handle the signals; the standard library must be patched already."""
    from primroselever_node.direct.datagrams import DatagramPort

    delay = UpdateDelay()
    init = DatagramPort.__init__

    def init_with_delay(self: Any, host: str, port: int, receive: Any) -> None:
        init(self, host, port, delay.wrap(receive))

    DatagramPort.__init__ = init_with_delay  # type: ignore[method-assign]
    signal.signal(STALL_SIGNAL, stall)
    signal.signal(DELAY_SIGNAL, delay.begin)
