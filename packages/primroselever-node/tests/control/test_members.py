from __future__ import annotations

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
