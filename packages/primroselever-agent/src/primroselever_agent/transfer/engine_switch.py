"""Ordering the engine on this VM to another version, and watching what it has."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import eventlet

from primroselever_core.membership.contact import may_give_orders
from primroselever_core.transfer.switching import (
    PLAN_VALID_S,
    PeerState,
    SwitchPlan,
    Wait,
    fencing_number,
    may_stop_serving,
    objection,
)
from primroselever_node import clock
from primroselever_node.logs import log_decision

from ..exceptions import OrderError

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard
    from primroselever_core.identifiers import WeightsDigest
    from primroselever_core.runs.registry import RunRegistry
    from primroselever_core.transfer.manifest import Manifest
    from primroselever_core.transfer.section import TransfersSection

    from ..engine.engine_client import EngineClient
    from .instruments import TransferInstruments
    from .peers import Peers

DRAIN_S = 20.0
DRAIN_POLL_S = 0.02
MAX_SILENT_READS = 2

logger = logging.getLogger(__name__)


class EngineSwitch:
    """Hands chunks over, switches versions and reads back what the engine has."""

    def __init__(
        self,
        board: Blackboard,
        section: TransfersSection,
        registry: RunRegistry,
        engine: EngineClient,
        peers: Peers,
        instruments: TransferInstruments,
    ) -> None:
        self.board = board
        self.section = section
        self.registry = registry
        self.engine = engine
        self.peers = peers
        self.instruments = instruments
        self.handed: dict[WeightsDigest, set[int]] = {}
        self.orders = 0
        self.silent_reads = 0
        self.last_reason = ""

    def hand_over(self, manifest: Manifest, index: int) -> None:
        """Hand one verified chunk to the engine, unless it has it."""
        handed = self.handed.setdefault(manifest.digest, set())
        data = self.section.store.get(manifest.chunks[index])
        if index not in handed and data is not None:
            self.engine.put_chunk(manifest.digest, index, data)
            handed.add(index)

    def forget_others(self, manifest: Manifest) -> None:
        """Forget what was handed over of other versions."""
        self.handed = {d: h for d, h in self.handed.items() if d == manifest.digest}

    def switch(self, manifest: Manifest, revision: int, min_serving: int) -> bool:
        """Switch to a version that is held whole; return whether it serves."""
        state = self.engine.state()
        if state.digest == manifest.digest:
            self.admit(manifest, "the engine has it already")
            return True
        for index in range(len(manifest.chunks)):
            self.hand_over(manifest, index)
        self.orders += 1
        plan = SwitchPlan(
            manifest.digest,
            revision,
            fencing_number(revision, self.orders, state.fencing),
            clock.now() + PLAN_VALID_S,
        )
        refusal = self.refusal(plan, min_serving)
        if refusal is not None:
            self.postpone(manifest, refusal)
            return False
        return self.carry_out(manifest, plan)

    def refusal(self, plan: SwitchPlan, min_serving: int) -> Wait | None:
        """Return why the engine must go on with its old version for now."""
        serving = self.section.serving
        if serving is not None and min_serving > 0:
            mine = PeerState(self.board.identity.vm_id, serving)
            peers = self.peers.states()
            waits = may_stop_serving(mine, peers, plan.digest, min_serving)
            if waits is not None:
                return waits
        return self.objection(plan)

    def objection(self, plan: SwitchPlan) -> Wait | None:
        """Return why a plan must not be carried out any more, or None."""
        if not may_give_orders(self.board, clock.now()):
            return Wait("started or paused, and nobody was heard since")
        wanted = self.section.wanted
        revision = self.board.profiles.revision.number
        digest = wanted.digest if wanted is not None else None
        return objection(plan, digest, revision, clock.now())

    def carry_out(self, manifest: Manifest, plan: SwitchPlan) -> bool:
        """Stop admission, drain, order, read back, admit again."""
        started = clock.now()
        before, self.section.serving = self.section.serving, None
        try:
            refusal = self.drained(plan) or self.objection(plan)
            if refusal is None:
                self.engine.load(manifest, plan.fencing)
            else:
                self.postpone(manifest, refusal)
            self.read_back(manifest, before, plan)
        except OrderError as exc:
            self.handed.pop(manifest.digest, None)
            self.postpone(manifest, Wait(str(exc)))
            self.read_back(manifest, before, plan)
        self.instruments.switch_time.record(clock.now() - started)
        return self.section.serving == manifest.digest

    def drained(self, plan: SwitchPlan) -> Wait | None:
        """Wait for the runs in flight; return why the switch is off, or None."""
        deadline = clock.now() + DRAIN_S
        while self.registry.in_flight():
            refusal = self.objection(plan)
            if refusal is not None:
                return refusal
            if clock.now() >= deadline:
                return Wait("runs in flight did not end")
            eventlet.sleep(DRAIN_POLL_S)
        return None

    def read_back(
        self, manifest: Manifest, before: WeightsDigest | None, plan: SwitchPlan
    ) -> None:
        """Admit again if the engine has the new version, or still the old one."""
        digest = self.engine.state().digest
        if digest == manifest.digest:
            self.admit(manifest, "read back", fencing=plan.fencing)
        elif before is not None and digest == before:
            self.section.serving = before
        else:
            self.postpone(manifest, Wait(f"the engine has {digest or 'nothing'}"))

    def admit(self, manifest: Manifest, reason: str, **more: object) -> None:
        """Serve a version that was read back."""
        self.section.serving = manifest.digest
        self.section.problem = self.last_reason = ""
        self.instruments.switches.add(1, {"outcome": "serving"})
        log_decision("switch", self.peers.group, manifest.version, reason, **more)

    def postpone(self, manifest: Manifest, refusal: Wait) -> None:
        """Say why a switch waits, once for each reason."""
        self.section.problem = refusal.reason
        if refusal.reason != self.last_reason:
            self.last_reason = refusal.reason
            self.instruments.switches.add(1, {"outcome": "postponed"})
            log_decision("switch", self.peers.group, "postponed", refusal.reason)

    def watch(self) -> None:
        """Stop admission when the engine no longer has what is served here."""
        serving = self.section.serving
        if serving is None:
            return
        try:
            digest = self.engine.state().digest
        except OrderError as exc:
            self.silent_reads += 1
            if (
                self.silent_reads >= MAX_SILENT_READS
                and self.section.serving == serving
            ):
                self.stop_serving(f"the engine does not answer: {exc}")
            return
        self.silent_reads = 0
        if digest != serving and self.section.serving == serving:
            self.stop_serving(f"somebody else loaded {digest or 'nothing'}")

    def stop_serving(self, reason: str) -> None:
        """Stop admission; the rollout orders the wanted version again."""
        self.section.serving = None
        self.silent_reads = 0
        self.handed.clear()
        log_decision("switch", self.peers.group, "admission stopped", reason)
