"""Calls to the agents of the same group."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eventlet

from primroselever_core.transfer.switching import PeerState
from primroselever_node.rpc.client_pool import LostReplyError, NeverSentError
from primroselever_node.rpc.handler import new_heartbeat

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard
    from primroselever_core.identifiers import GroupName, VmId
    from primroselever_core.membership.vm import Vm
    from primroselever_core.transfer.manifest import Manifest, VersionName
    from primroselever_core.transfer.sources import Read
    from primroselever_node.rpc.client_pool import ClientPool

HEARTBEAT_TIMEOUT_S = 1.0
MANIFEST_TIMEOUT_S = 2.0
REPLY_MARGIN_S = 4.0
PARALLEL_HEARTBEATS = 16


class Peers:
    """Asks other agents; a silent one gives None."""

    def __init__(self, board: Blackboard, group: GroupName, pool: ClientPool) -> None:
        self.board = board
        self.group = group
        self.pool = pool

    def near(self) -> list[Vm]:
        """Return the other agents of the group in this failure domain."""
        identity = self.board.identity
        agents = self.board.members.agents(self.group, identity.failure_domain)
        return [vm for vm in agents if vm.vm_id != identity.vm_id]

    def call(self, vm_id: VmId, method: str, *args: Any, timeout_s: float) -> Any:
        """Return a reply, or None when there is none in time."""
        vm = self.board.members.vms.get(vm_id)
        if vm is None:
            return None
        address = (vm.address, vm.rpc_port)
        try:
            return self.pool.call(address, method, *args, timeout_s=timeout_s)
        except (NeverSentError, LostReplyError):
            self.pool.forget(address)
            return None

    def chunk(self, vm_id: VmId, manifest: Manifest, read: Read) -> Any:
        """Return the reply to a request for a chunk, or None."""
        return self.call(
            vm_id,
            "fetch_chunk",
            manifest.digest,
            read.index,
            int(read.wait_s * 1000),
            self.board.identity.vm_id,
            read.hops,
            manifest.chunks[read.index],
            timeout_s=read.wait_s + REPLY_MARGIN_S,
        )

    def manifest(self, vm_id: VmId, name: VersionName) -> bytes | None:
        """Return the text of the manifest that a peer wants for a version."""
        return self.call(
            vm_id,
            "find_manifest",
            name.model,
            name.adapter or "",
            name.version,
            timeout_s=MANIFEST_TIMEOUT_S,
        )

    def states(self) -> list[PeerState]:
        """Return what the agents of this domain that answer say of themselves."""
        pool = eventlet.GreenPool(PARALLEL_HEARTBEATS)
        vm_ids = [vm.vm_id for vm in self.near()]
        return [state for state in pool.imap(self.state, vm_ids) if state is not None]

    def state(self, vm_id: VmId) -> PeerState | None:
        """Return one agent's state, or None if it is silent or leaving."""
        reply = self.call(
            vm_id, "heartbeat", new_heartbeat(self.board), timeout_s=HEARTBEAT_TIMEOUT_S
        )
        if reply is None or reply.leaving:
            return None
        return PeerState(vm_id, reply.weights_digest or None)
