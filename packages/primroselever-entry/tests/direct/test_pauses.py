"""Pauses of the entry itself, which it must not take for silence of others."""

from __future__ import annotations

import socket
from dataclasses import replace
from typing import TYPE_CHECKING

import eventlet
import pytest
from eventlet import patcher
from eventlet.greenio import GreenSocket

from primroselever_core.dispatch.retry_share import RetryLimits
from primroselever_core.gossip.peers import PEER_TIMEOUT_S
from primroselever_node import clock

from .conftest import LIMITS, RESET, ok_response, read_all, request

if TYPE_CHECKING:
    from collections.abc import Callable

pytestmark = pytest.mark.usefixtures("long_limits")

# Sleeps without letting other greenlets run.
block = patcher.original("time").sleep


def pause_entry(seconds: float, send: Callable[[], None] = lambda: None) -> None:
    """
    Block the process when it handles an input, as when it applies a configuration.

    ``send`` makes another input arrive meanwhile. Timers that expire in this time are
    handled before inputs that arrive in it.
    """
    receiver, sender = (GreenSocket(end) for end in socket.socketpair())

    def receive_and_block() -> None:
        receiver.recv(1)
        send()
        block(seconds)

    thread = eventlet.spawn(receive_and_block)
    eventlet.sleep(0)
    sender.send(b"x")
    thread.wait()


# Guards against requests that are dropped because the process did not run, as while it
# applied a large configuration, when their connection's idle time ended.
def test_request_that_arrived_while_the_entry_was_paused_is_answered(entry):
    entry.add("a").responses = [ok_response()]
    entry.server.limits = lambda: replace(LIMITS, idle_timeout_s=0.05)
    connection = entry.connect()
    eventlet.sleep(0.01)
    pause_entry(0.06, lambda: connection.sendall(request()))
    assert read_all(connection).startswith(b"HTTP/1.1 200")


# Guards against sound back ends that are taken for silent because the entry itself did
# not run when their answer came.
def test_answer_that_arrived_while_the_entry_was_paused_is_forwarded(entry):
    first, second = entry.add("a"), entry.add("b")
    entry.board.backends.backends["b"].in_flight = 5
    first.responses = [ok_response()]
    connection = entry.connect()
    connection.sendall(request())
    with eventlet.Timeout(1):
        while not first.requests:
            eventlet.sleep(0)
    pause_entry(0.15)
    assert read_all(connection).startswith(b"HTTP/1.1 200")
    assert second.requests == []


# Guards against a retry storm: after its own pause an entry sees no live peer, and must
# not take the share of all entries.
def test_share_of_retries_stays_that_of_one_entry_after_a_pause(entry):
    entry.flow.limits = replace(entry.flow.limits, retries=RetryLimits(0.0, 6.0, 10.0))
    for number in range(2, 7):
        heard_at = clock.now() - 2 * PEER_TIMEOUT_S
        entry.board.peers.record_heartbeat(f"10.0.0.{number}", "a", heard_at)
    first, second = entry.add("a"), entry.add("b")
    entry.board.backends.backends["b"].in_flight = 7
    first.responses, second.responses = [[RESET]], [ok_response()]
    assert entry.send().startswith(b"HTTP/1.1 502")
    assert second.requests == []
