from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.membership.peers import place_of
from primroselever_node.rpc.client_pool import LostReplyError

if TYPE_CHECKING:
    import pytest

    from .conftest import Fleet


def test_a_parent_that_leaves_the_list_while_another_is_asked_is_passed_over(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet.add("a", 8)
    fleet.run(5.0)
    follower = next(
        process
        for process in fleet.alive()
        if len(place_of(process.board, fleet.now).parents) > 1
    )
    asked: list[str] = []

    def lose_the_list(address: tuple[str, int], method: str, *_: Any, **__: Any) -> Any:
        asked.append(address[0])
        members = follower.board.members
        members.vms = {follower.vm.vm_id: follower.vm}
        raise LostReplyError(method)

    monkeypatch.setattr(follower, "call", lose_the_list)
    follower.members.step()

    assert len(asked) == 1
