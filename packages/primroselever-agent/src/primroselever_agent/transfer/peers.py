"""Calls to other agents of the same group."""

from __future__ import annotations

import logging
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
# In addition to the time for which the peer may hold the call open: a chunk may wait
# there for the upload link.
CHUNK_REPLY_MARGIN_S = 4.0
MAX_PARALLEL_HEARTBEATS = 16

logger = logging.getLogger(__name__)


class Peers:
    """Calls other agents; a call without a reply returns None."""

    def __init__(self, board: Blackboard, group: GroupName, pool: ClientPool) -> None:
        self.board = board
        self.group = group
        self.pool = pool

    def group_peers_in_domain(self) -> list[Vm]:
        """Return the other agents of the group in this failure domain."""
        identity = self.board.identity
        agents = self.board.members.agents(self.group, identity.failure_domain)
        return [vm for vm in agents if vm.vm_id != identity.vm_id]

    def call_peer(self, vm_id: VmId, method: str, *args: Any, timeout_s: float) -> Any:
        """Return a VM's reply, or None if it is unlisted or does not reply in time."""
        vm = self.board.members.vms.get(vm_id)
        if vm is None:
            return None
        address = (vm.address, vm.rpc_port)
        try:
            return self.pool.call(address, method, *args, timeout_s=timeout_s)
        except (NeverSentError, LostReplyError) as exc:
            logger.warning("a call to another agent failed: %s", exc)
            self.pool.close_idle_connections(address)
            return None

    def fetch_chunk(self, vm_id: VmId, manifest: Manifest, read: Read) -> Any:
        """Return a peer's reply to a request for a chunk, or None."""
        return self.call_peer(
            vm_id,
            "fetch_chunk",
            manifest.digest,
            read.index,
            int(read.wait_s * 1000),
            self.board.identity.vm_id,
            read.hops,
            manifest.chunks[read.index],
            timeout_s=read.wait_s + CHUNK_REPLY_MARGIN_S,
        )

    def fetch_manifest(self, vm_id: VmId, name: VersionName) -> bytes | None:
        """
        Return the manifest of a version that a peer wants.

        It is empty if the peer does not want the version, and None without a reply.
        """
        return self.call_peer(
            vm_id,
            "find_manifest",
            name.model,
            name.adapter or "",
            name.version,
            timeout_s=MANIFEST_TIMEOUT_S,
        )

    def fetch_states(self) -> list[PeerState]:
        """Return the states of the agents in this failure domain that reply."""
        pool = eventlet.GreenPool(MAX_PARALLEL_HEARTBEATS)
        vm_ids = [vm.vm_id for vm in self.group_peers_in_domain()]
        return [
            state for state in pool.imap(self.fetch_state, vm_ids) if state is not None
        ]

    def fetch_state(self, vm_id: VmId) -> PeerState | None:
        """Return one agent's state, or None if it does not reply or is leaving."""
        reply = self.call_peer(
            vm_id, "heartbeat", new_heartbeat(self.board), timeout_s=HEARTBEAT_TIMEOUT_S
        )
        if reply is None or reply.leaving:
            return None
        return PeerState(vm_id, reply.weights_digest or None)
