from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .conftest import profiles_text

if TYPE_CHECKING:
    import pytest

    from .conftest import Fleet


def test_the_value_fetched_after_a_failed_patch_keeps_its_own_revision(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """
    The peer's value changes between the patch and the fetch of the whole value.

    Under the revision of the patch, the newer text would be in force as a second value
    of that revision, which no source published.
    """
    fleet.platform.publish(5, profiles_text("five"))
    fleet.add_vms("lag-a", 2)
    fleet.run(5)
    process, peer = fleet.live_processes()
    peer.profiles.adopt_value(6, profiles_text("six"), "test")
    fetch_publication = process.peers.fetch_publication

    def fetch_while_peer_changes(
        vm: Any, name: str, revision: int, digest: str, _wait_ms: int
    ) -> Any:
        reply = fetch_publication(vm, name, revision, digest)
        if digest:
            assert reply.patched
            reply.text = b"damaged"
            peer.profiles.adopt_value(7, profiles_text("seven"), "test")
        return reply

    monkeypatch.setattr(process.peers, "fetch_publication", fetch_while_peer_changes)
    process.profiles.pull_from(peer.vm, 0)

    assert process.board.profiles.revision == peer.board.profiles.revision
    assert process.revision == 7
