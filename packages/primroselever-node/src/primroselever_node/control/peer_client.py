"""Calls to other processes for control; each one is evidence about its VM."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.membership.contact import heard, missed
from primroselever_core.membership.events import PeerMissed, apply

from .. import clock
from ..rpc.client_pool import LostReplyError, NeverSentError

if TYPE_CHECKING:
    from primroselever_core.membership.vm import Vm

    from ..rpc.client_pool import ClientPool
    from ..rpc.handler import NodeHandler

CALL_TIMEOUT_S = 1.0


class PeerClient:
    """Sends heartbeats and fetches publications; None means no reply."""

    def __init__(self, handler: NodeHandler, pool: ClientPool) -> None:
        self.handler = handler
        self.board = handler.board
        self.pool = pool

    def heartbeat(self, vm: Vm) -> Any | None:
        """Exchange a heartbeat and take in what the VM says of itself."""
        said = self.call(vm, "heartbeat", self.handler.own_heartbeat())
        if said is not None:
            self.handler.take_in(said)
        return said

    def fetch(
        self, vm: Vm, name: str, revision: int, digest: str, wait_ms: int = 0
    ) -> Any | None:
        """Fetch a publication, waiting for it up to ``wait_ms`` milliseconds."""
        return self.call(
            vm,
            "fetch_publication",
            name,
            revision,
            wait_ms,
            digest,
            timeout_s=CALL_TIMEOUT_S + wait_ms / 1000,
        )

    def call(
        self, vm: Vm, method: str, *args: Any, timeout_s: float = CALL_TIMEOUT_S
    ) -> Any | None:
        """Call a method of a VM's process and note what that says about the VM."""
        address = (vm.address, vm.rpc_port)
        contact = self.board.members.contact
        try:
            reply = self.pool.call(address, method, *args, timeout_s=timeout_s)
        except (NeverSentError, LostReplyError):
            self.pool.forget(address)
            apply(PeerMissed(vm.vm_id), self.board.members, clock.now())
            missed(contact, clock.now())
            return None
        heard(contact, clock.now())
        return reply
