from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from primroselever_core.membership.peers import own_tree_place
from primroselever_node.rpc.client_pool import LostReplyError

if TYPE_CHECKING:
    import pytest

    from .conftest import Fleet


def test_a_parent_that_leaves_the_list_during_a_call_to_another_is_skipped(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet.add_vms("a", 8)
    fleet.run(5.0)
    follower = next(
        process
        for process in fleet.live_processes()
        if len(own_tree_place(process.board, fleet.now).parents) > 1
    )
    called: list[str] = []

    def remove_parents(
        address: tuple[str, int], method: str, *_: Any, **__: Any
    ) -> Any:
        called.append(address[0])
        members = follower.board.members
        members.vms = {follower.vm.vm_id: follower.vm}
        raise LostReplyError(method)

    monkeypatch.setattr(follower, "call", remove_parents)
    follower.members.step()

    assert len(called) == 1


def peer_lines(caplog: pytest.LogCaptureFixture) -> list[tuple[str, str]]:
    return [
        (record.subject, record.choice)  # type: ignore[attr-defined]
        for record in caplog.records
        if record.getMessage() == "peer"
    ]


def test_the_first_failed_call_to_a_vm_and_its_return_are_logged(
    fleet: Fleet, caplog: pytest.LogCaptureFixture
) -> None:
    """The VM is avoided after each failure, which only the first line has to say."""
    caplog.set_level(logging.INFO, "primroselever.decisions")
    fleet.add_vms("a", 2)
    fleet.run(2.0)
    process, other = fleet.live_processes()
    fleet.dead.add(other.vm.vm_id)
    for _ in range(3):
        process.peers.exchange_heartbeat(other.vm)
    assert peer_lines(caplog) == [("a-1", "suspected")]

    fleet.dead.clear()
    for _ in range(2):
        process.peers.exchange_heartbeat(other.vm)
    assert peer_lines(caplog) == [("a-1", "suspected"), ("a-1", "reached")]


def test_an_empty_vm_list_is_logged(
    fleet: Fleet, caplog: pytest.LogCaptureFixture
) -> None:
    """The last list stays in force, so nothing else shows it."""
    fleet.add_vms("a", 1)
    fleet.run(2.0)
    [process] = fleet.live_processes()
    fleet.platform.vms.clear()
    process.members.read_list(publish=False)

    assert list(process.board.members.vms) == ["a-0"]
    assert "the VM list is empty" in caplog.text


def test_a_list_of_a_peer_with_another_digest_is_logged(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    fleet.add_vms("a", 5)
    fleet.run(5.0)
    follower = next(
        process
        for process in fleet.live_processes()
        if not own_tree_place(process.board, fleet.now).watches
    )
    call = follower.call

    def damage_reply(address: Any, method: str, *args: Any, timeout_s: float) -> Any:
        reply = call(address, method, *args, timeout_s=timeout_s)
        reply.digest = "another"
        return reply

    monkeypatch.setattr(follower, "call", damage_reply)
    copy = follower.board.members.copy
    copy.version, copy.digest = None, "older"
    follower.members.step()

    assert "does not match its digest" in caplog.text
