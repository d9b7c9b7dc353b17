"""A fake clock that the hub of eventlet advances instead of waiting."""

from __future__ import annotations

from random import Random

import pytest
from eventlet.hubs import get_hub

from primroselever_node import clock

from .simulated_engine import World

TIMER_ORDER_S = 1e-10


@pytest.fixture
def make_world(monkeypatch):
    """
    Return a function that builds a world on a fake clock.

    The timers of earlier tests are cancelled: on this clock they may be due at once.
    """
    hub, time, order = get_hub(), [1000.0], [0]
    cancel_timers(hub)
    worlds = []

    def wait(seconds=None):
        time[0] += max(seconds or 0.0, 1e-6)

    def add_timer(timer):
        # Timers that are due at the same time were run in the order of their addresses
        # in memory, so that a seed did not always give the same sequence.
        order[0] += 1
        due_at = time[0] + timer.seconds + order[0] * TIMER_ORDER_S
        hub.next_timers.append((due_at, timer))
        return due_at

    monkeypatch.setattr(hub, "add_timer", add_timer)
    monkeypatch.setattr(hub, "clock", lambda: time[0])
    monkeypatch.setattr(hub, "wait", wait)
    monkeypatch.setattr(clock, "now", lambda: time[0])

    def make(seed: int = 1) -> World:
        for world in worlds:
            world.end()
        cancel_timers(hub)
        time[0], order[0] = 1000.0, 0
        worlds.append(World(Random(seed)))
        return worlds[-1]

    yield make
    for world in worlds:
        world.end()
    cancel_timers(hub)


def cancel_timers(hub) -> None:
    for _due_at, timer in [*hub.timers, *hub.next_timers]:
        timer.cancel()
    # Cancelled timers would wake the hub, and shift the times of the next test.
    hub.timers.clear()
    hub.next_timers.clear()
    hub.timers_canceled = 0
