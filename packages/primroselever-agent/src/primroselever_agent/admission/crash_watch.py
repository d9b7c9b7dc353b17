"""
Detecting crashes of the engine, and reporting the suspects to the failure domain.

A failed run alone does not prove a crash, so the engine is asked for its state. If it
does not answer or has lost its weights, it crashed, and all runs that were in flight
are suspects.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from eventlet.event import Event

from primroselever_core.membership.vm import Role
from primroselever_core.suspects.section import CrashId
from primroselever_node import clock
from primroselever_node.logs import log_decision
from primroselever_node.process import spawn_task
from primroselever_node.rpc.client_pool import LostReplyError, NeverSentError

from ..exceptions import EngineCallError

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroselever_core.board import Blackboard
    from primroselever_core.identifiers import Fingerprint
    from primroselever_core.membership.vm import Vm
    from primroselever_node.rpc.client_pool import ClientPool

    from ..engine.engine_client import EngineClient

MAX_NOTIFIED_PEERS = 64
NOTIFY_TIMEOUT_S = 0.5
SAME_CRASH_WINDOW_S = 2.0

logger = logging.getLogger(__name__)


class CrashWatch:
    """
    Detects crashes of the engine, and writes them to the section on suspects.

    ``stop_serving`` is None for a plain service. It has no weights to lose, so it
    counts as crashed only when it does not answer.
    """

    def __init__(
        self,
        board: Blackboard,
        engine: EngineClient,
        client_pool: ClientPool,
        new_heartbeat: Callable[[], Any],
        stop_serving: Callable[[str], None] | None,
    ) -> None:
        self.board = board
        self.engine = engine
        self.client_pool = client_pool
        self.new_heartbeat = new_heartbeat
        self.stop_serving = stop_serving
        self.crash_count = 0
        self.same_crash_until = 0.0
        self.pending_check: Event | None = None

    def detect_new_crash(self, digest: str, fingerprints: list[Fingerprint]) -> bool:
        """Return True if this call is the first to detect a crash of the engine."""
        if self.pending_check is not None:
            self.pending_check.wait()
            return False
        if clock.now() < self.same_crash_until:
            return False
        self.pending_check = Event()
        try:
            crashed = self.has_engine_crashed(digest)
            if crashed:
                self.record_crash(fingerprints)
        finally:
            pending_check, self.pending_check = self.pending_check, None
            pending_check.send()
        return crashed

    def has_engine_crashed(self, digest: str) -> bool:
        """Return whether the engine does not answer, or lost the weights of a run."""
        if self.stop_serving is None:
            return not self.engine.is_reachable()
        try:
            return self.engine.state().digest != digest
        except EngineCallError as exc:
            logger.warning("the engine counts as crashed: %s", exc)
            return True

    def record_crash(self, fingerprints: list[Fingerprint]) -> None:
        """Record a crash, stop serving until the weights are back, and notify peers."""
        now = clock.now()
        self.same_crash_until = now + SAME_CRASH_WINDOW_S
        self.crash_count += 1
        identity = self.board.identity
        crash_id = CrashId(
            f"{identity.vm_id}/{identity.incarnation}/{self.crash_count}"
        )
        self.board.suspects.record_crash(crash_id, fingerprints, now)
        if self.stop_serving is not None:
            self.stop_serving("the engine crashed")
        for fingerprint in fingerprints:
            standing = self.board.suspects.standing(fingerprint, now)
            log_decision("suspect", fingerprint, standing, "was in flight at a crash")
        own_heartbeat = self.new_heartbeat()
        for vm in self.agents_to_notify()[:MAX_NOTIFIED_PEERS]:
            spawn_task(self.notify_peer, vm, own_heartbeat)

    def agents_to_notify(self) -> list[Vm]:
        """Return the other agents of the failure domain, those of this group first."""
        identity = self.board.identity
        own_vm = self.board.members.vms.get(identity.vm_id)
        group = own_vm.group if own_vm else None
        other_agents = [
            vm
            for vm in self.board.members.vms.values()
            if vm.role is Role.AGENT
            and vm.failure_domain == identity.failure_domain
            and vm.vm_id != identity.vm_id
        ]
        return sorted(other_agents, key=lambda vm: vm.group != group)

    def notify_peer(self, vm: Vm, own_heartbeat: Any) -> None:
        """Notify one agent; if that fails, it learns of the crash from entries."""
        try:
            self.client_pool.call(
                (vm.address, vm.rpc_port),
                "heartbeat",
                own_heartbeat,
                timeout_s=NOTIFY_TIMEOUT_S,
            )
        except (NeverSentError, LostReplyError) as exc:
            logger.info("%s could not be notified of a crash: %s", vm.vm_id, exc)
