from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eventlet

from primroselever_core.membership.contact import PAUSE_THRESHOLD_S, TICK_INTERVAL_S
from primroselever_node.control.peer_client import CALL_TIMEOUT_S
from primroselever_node.rpc.client_pool import LostReplyError

if TYPE_CHECKING:
    import pytest

    from .conftest import Fleet


def test_silent_peers_after_a_pause_do_not_cause_a_second_pause(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet.add_vms("a", 3)
    fleet.add_vms("b", 3)
    fleet.run(5.0)
    watcher = fleet.processes[fleet.watchers("a")[0]]
    called: list[str] = []

    def time_out(address: tuple[str, int], method: str, *_args: Any, **_: Any) -> Any:
        called.append(address[0])
        fleet.now += CALL_TIMEOUT_S
        raise LostReplyError(method)

    monkeypatch.setattr(watcher, "call", time_out)
    fleet.now += PAUSE_THRESHOLD_S + 1.0
    for _ in range(2):
        watcher.heartbeats.detect_pause()
        fleet.now += TICK_INTERVAL_S
    eventlet.sleep(0)

    assert watcher.board.members.contact.pauses == 1
    assert len(called) == 2
