"""
Whether the engine crashed, and telling the failure domain who was there.

A failed run alone says little: the engine is asked for its state. When it does not
answer, or has lost its weights, it crashed, and all runs in flight are suspects.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import eventlet
from eventlet.event import Event

from primroselever_core.membership.vm import Role
from primroselever_core.suspects.section import CrashId
from primroselever_node import clock
from primroselever_node.logs import log_decision
from primroselever_node.rpc.client_pool import LostReplyError, NeverSentError

from ..exceptions import OrderError

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroselever_core.board import Blackboard
    from primroselever_core.identifiers import Fingerprint
    from primroselever_core.membership.vm import Vm
    from primroselever_node.rpc.client_pool import ClientPool

    from ..engine.engine_client import EngineClient

MAX_PEERS_TOLD = 64
TELL_TIMEOUT_S = 0.5
SAME_CRASH_S = 2.0

logger = logging.getLogger(__name__)


class CrashWatch:
    """
    Writes the section on suspects when the engine crashes.

    ``stop_serving`` is None for a plain service: it has no weights to lose, so only
    one that does not answer has crashed.
    """

    def __init__(
        self,
        board: Blackboard,
        engine: EngineClient,
        peers: ClientPool,
        heartbeat: Callable[[], Any],
        stop_serving: Callable[[str], None] | None,
    ) -> None:
        self.board = board
        self.engine = engine
        self.peers = peers
        self.heartbeat = heartbeat
        self.stop_serving = stop_serving
        self.crashes = 0
        self.same_crash_until = 0.0
        self.asking: Event | None = None

    def check(self, digest: str, present: list[Fingerprint]) -> bool:
        """Return whether the engine has crashed just now, for the first to ask."""
        if self.asking is not None:
            self.asking.wait()
            return False
        if clock.now() < self.same_crash_until:
            return False
        self.asking = Event()
        try:
            crashed = self.engine_lost(digest)
            if crashed:
                self.record(present)
        finally:
            asking, self.asking = self.asking, None
            asking.send()
        return crashed

    def engine_lost(self, digest: str) -> bool:
        """Return whether the engine is gone, or lost the weights that a run had."""
        if self.stop_serving is None:
            return not self.engine.answers()
        try:
            return self.engine.state().digest != digest
        except OrderError:
            return True

    def record(self, present: list[Fingerprint]) -> None:
        """Record a crash, admit nothing until the weights are back, tell others."""
        now = clock.now()
        self.same_crash_until = now + SAME_CRASH_S
        self.crashes += 1
        identity = self.board.identity
        crash = CrashId(f"{identity.vm_id}/{identity.incarnation}/{self.crashes}")
        self.board.suspects.record_crash(crash, present, now)
        if self.stop_serving is not None:
            self.stop_serving("the engine crashed")
        for fingerprint in present:
            standing = self.board.suspects.standing(fingerprint, now)
            log_decision("suspect", fingerprint, standing, "present at a crash")
        said = self.heartbeat()
        for vm in self.domain()[:MAX_PEERS_TOLD]:
            eventlet.spawn_n(self.tell, vm, said)

    def domain(self) -> list[Vm]:
        """Return the other agents of the failure domain, those of the group first."""
        identity = self.board.identity
        listed = self.board.members.vms.get(identity.vm_id)
        group = listed.group if listed else None
        others = [
            vm
            for vm in self.board.members.vms.values()
            if vm.role is Role.AGENT
            and vm.failure_domain == identity.failure_domain
            and vm.vm_id != identity.vm_id
        ]
        return sorted(others, key=lambda vm: vm.group != group)

    def tell(self, vm: Vm, said: Any) -> None:
        """Tell one agent; one that does not hear it now learns it from entries."""
        try:
            self.peers.call(
                (vm.address, vm.rpc_port), "heartbeat", said, timeout_s=TELL_TIMEOUT_S
            )
        except (NeverSentError, LostReplyError) as exc:
            logger.info("%s was not told of a crash: %s", vm.vm_id, exc)
