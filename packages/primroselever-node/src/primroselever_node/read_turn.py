"""Turns of a reader whose bytes are always there, so that no read of it waits."""

from __future__ import annotations

import eventlet

from . import clock

# The time for which a connection may be read without letting other greenlets run.
TURN_S = 0.001
# A reader that did not wait for so many turns pauses after each further one, so that it
# has a fifth of the processor. Bodies are still read at some hundred MB/s.
TURNS_BEFORE_PAUSE = 4
PAUSE_S = 0.004


class ReadTurn:
    """The turns of one reader, which start anew whenever a read had to wait."""

    def __init__(self) -> None:
        self.turns = 0
        self.ends_at = clock.now() + TURN_S

    def start(self) -> None:
        """Start the first turn after a wait."""
        self.turns = 0
        self.ends_at = clock.now() + TURN_S

    def check(self) -> None:
        """Let other greenlets run if the turn is over."""
        if clock.now() < self.ends_at:
            return
        self.turns += 1
        eventlet.sleep(0.0 if self.turns < TURNS_BEFORE_PAUSE else PAUSE_S)
        self.ends_at = clock.now() + TURN_S
