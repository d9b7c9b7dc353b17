"""Control calls to other processes; each result counts as evidence about a VM."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.membership.contact import record_answer, record_failed_call
from primroselever_core.membership.events import PeerCallFailed, apply

from .. import clock
from ..logs import log_decision
from ..rpc.client_pool import LostReplyError, NeverSentError

if TYPE_CHECKING:
    from primroselever_core.membership.vm import Vm

    from ..rpc.client_pool import ClientPool
    from ..rpc.handler import NodeHandler

CALL_TIMEOUT_S = 1.0


class PeerClient:
    """Sends heartbeats and fetches publications; returns None without a reply."""

    def __init__(self, handler: NodeHandler, pool: ClientPool) -> None:
        self.handler = handler
        self.board = handler.board
        self.pool = pool

    def exchange_heartbeat(self, vm: Vm) -> Any | None:
        """Send a heartbeat, process the one in the reply and return it."""
        reply = self.call_vm(vm, "heartbeat", self.handler.own_heartbeat())
        if reply is not None:
            self.handler.process_heartbeat(reply)
        return reply

    def fetch_publication(
        self, vm: Vm, name: str, revision: int, digest: str, wait_ms: int = 0
    ) -> Any | None:
        """Fetch a publication, waiting up to ``wait_ms`` milliseconds for a change."""
        return self.call_vm(
            vm,
            "fetch_publication",
            name,
            revision,
            wait_ms,
            digest,
            timeout_s=CALL_TIMEOUT_S + wait_ms / 1000,
        )

    def call_vm(
        self, vm: Vm, method: str, *args: Any, timeout_s: float = CALL_TIMEOUT_S
    ) -> Any | None:
        """Call a method of a VM's process and record whether the VM replied."""
        address = (vm.address, vm.rpc_port)
        contact = self.board.members.contact
        try:
            reply = self.pool.call(address, method, *args, timeout_s=timeout_s)
        except (NeverSentError, LostReplyError) as exc:
            self.pool.close_idle_connections(address)
            apply(PeerCallFailed(vm.vm_id), self.board.members, clock.now())
            if self.board.members.evidence[vm.vm_id].failures == 1:
                log_decision("peer", vm.vm_id, "suspected", str(exc))
            record_failed_call(contact, clock.now())
            return None
        record_answer(contact, clock.now())
        return reply
