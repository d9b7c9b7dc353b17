"""Switching the engine on this VM to another version, and checking what it serves."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import eventlet

from primroselever_core.membership.contact import may_give_orders
from primroselever_core.transfer.switching import (
    PLAN_VALID_S,
    PeerState,
    SwitchDelay,
    SwitchPlan,
    fencing_number,
    plan_objection,
    reason_to_keep_serving,
)
from primroselever_node import clock
from primroselever_node.logs import log_decision

from ..exceptions import EngineCallError, UnansweredCallError

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard
    from primroselever_core.identifiers import WeightsDigest
    from primroselever_core.runs.registry import RunRegistry
    from primroselever_core.transfer.manifest import Manifest
    from primroselever_core.transfer.section import TransfersSection

    from ..engine.engine_client import EngineClient, EngineState
    from .instruments import TransferInstruments
    from .peers import Peers

DRAIN_TIMEOUT_S = 20.0
DRAIN_POLL_INTERVAL_S = 0.02
# The engine's copy of a chunk cannot be read back and may become corrupted. A load of
# chunks that were intact within this time before the order is within the requirement.
HANDED_VALID_S = 3.0
FAILED_READS_TO_STOP = 2  # consecutive failures

logger = logging.getLogger(__name__)


class EngineSwitch:
    """
    Hands chunks to the engine, switches its version and reads its state back.

    ``unanswered`` is the latest order of which the engine did not state the outcome. It
    may be accepted until the engine has accepted a later one, so that the engine serves
    nothing until then.
    """

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
        self.handed_chunks: dict[WeightsDigest, dict[int, float]] = {}
        self.order_count = 0
        self.unanswered: SwitchPlan | None = None
        self.failed_state_reads = 0
        self.logged_reason = ""

    def hand_over_chunk(self, manifest: Manifest, index: int) -> None:
        """Hand one verified chunk to the engine unless it already has it."""
        handed_until = self.handed_chunks.setdefault(manifest.digest, {})
        data = self.section.store.get(manifest.chunks[index])
        if index not in handed_until and data is not None:
            valid_until = clock.now() + HANDED_VALID_S
            self.engine.put_chunk(manifest.digest, index, data)
            handed_until[index] = valid_until

    def hand_over_again(self, manifest: Manifest) -> None:
        """Hand the chunks over again that the engine has had for too long."""
        now = clock.now()
        handed_until = self.handed_chunks.get(manifest.digest, {})
        for index in [i for i, until in handed_until.items() if until <= now]:
            del handed_until[index]
        for index in range(len(manifest.chunks)):
            self.hand_over_chunk(manifest, index)

    def forget_other_versions(self, manifest: Manifest) -> None:
        """Forget which chunks of other versions the engine was handed."""
        self.handed_chunks = {
            digest: handed_until
            for digest, handed_until in self.handed_chunks.items()
            if digest == manifest.digest
        }

    def switch_version(
        self, manifest: Manifest, revision: int, min_serving: int
    ) -> bool:
        """Switch to a completely held version; return whether the engine serves it."""
        state = self.read_state()
        if state.digest == manifest.digest and self.unanswered is None:
            self.start_serving(manifest, "the engine already has this version")
            return True
        for index in range(len(manifest.chunks)):
            self.hand_over_chunk(manifest, index)
        self.order_count += 1
        plan = SwitchPlan(
            manifest.digest,
            revision,
            fencing_number(revision, self.order_count, state.fencing),
            clock.now() + PLAN_VALID_S,
        )
        delay = self.check_switch(plan, min_serving)
        if delay is not None:
            self.postpone_switch(manifest, delay)
            return False
        return self.execute_plan(manifest, plan)

    def check_switch(self, plan: SwitchPlan, min_serving: int) -> SwitchDelay | None:
        """Return why the engine must keep its old version for now, or None."""
        serving = self.section.serving
        if serving is not None and min_serving > 0:
            own_state = PeerState(self.board.identity.vm_id, serving)
            peers = self.peers.fetch_states()
            delay = reason_to_keep_serving(own_state, peers, plan.digest, min_serving)
            if delay is not None:
                return delay
        return self.check_plan(plan)

    def check_plan(self, plan: SwitchPlan) -> SwitchDelay | None:
        """Return why a plan may no longer be executed, or None."""
        if not may_give_orders(self.board, clock.now()):
            return SwitchDelay(
                "this process started or was paused, and no call to a peer or to the "
                "platform has succeeded since"
            )
        wanted = self.section.wanted
        revision = self.board.profiles.revision.number
        digest = wanted.digest if wanted is not None else None
        return plan_objection(plan, digest, revision, clock.now())

    def execute_plan(self, manifest: Manifest, plan: SwitchPlan) -> bool:
        """Stop admission, drain runs, order the switch, and start serving again."""
        started_at = clock.now()
        previous_digest, self.section.serving = self.section.serving, None
        try:
            delay = self.drain_runs(plan) or self.check_plan(plan)
            if delay is None:
                self.hand_over_again(manifest)
                delay = self.check_plan(plan)
            if delay is None:
                self.order_load(manifest, plan)
            else:
                self.postpone_switch(manifest, delay)
            self.read_back_version(manifest, previous_digest, plan)
        except EngineCallError as exc:
            self.handed_chunks.pop(manifest.digest, None)
            self.postpone_switch(manifest, SwitchDelay(str(exc)))
            self.read_back_version(manifest, previous_digest, plan)
        self.instruments.switch_duration.record(clock.now() - started_at)
        return self.section.serving == manifest.digest

    def order_load(self, manifest: Manifest, plan: SwitchPlan) -> None:
        """Order the engine to load a version; note an order without an answer."""
        try:
            self.engine.load(manifest, plan.fencing)
        except UnansweredCallError:
            self.unanswered = plan
            raise
        self.unanswered = None

    def read_state(self) -> EngineState:
        """Return the engine's state, which may settle an order without an answer."""
        state = self.engine.state()
        order = self.unanswered
        if order is not None and (
            state.fencing >= order.fencing or state.digest == order.digest
        ):
            self.unanswered = None
        return state

    def drain_runs(self, plan: SwitchPlan) -> SwitchDelay | None:
        """Wait until no run is in flight; return why the switch must wait, or None."""
        deadline = clock.now() + DRAIN_TIMEOUT_S
        while self.registry.in_flight():
            delay = self.check_plan(plan)
            if delay is not None:
                return delay
            if clock.now() >= deadline:
                return SwitchDelay(
                    "runs in flight did not end within the drain timeout"
                )
            eventlet.sleep(DRAIN_POLL_INTERVAL_S)
        return None

    def read_back_version(
        self,
        manifest: Manifest,
        previous_digest: WeightsDigest | None,
        plan: SwitchPlan,
    ) -> None:
        """Start serving if the engine reports the new or still the previous version."""
        digest = self.read_state().digest
        if self.unanswered is not None:
            self.postpone_switch(
                manifest,
                SwitchDelay("the engine may still accept an order that got no answer"),
            )
        elif digest == manifest.digest:
            self.start_serving(manifest, "read back", fencing=plan.fencing)
        elif previous_digest is not None and digest == previous_digest:
            self.section.serving = previous_digest
        else:
            self.postpone_switch(
                manifest, SwitchDelay(f"the engine has {digest or 'no weights'}")
            )

    def start_serving(self, manifest: Manifest, reason: str, **details: object) -> None:
        """Start serving a version that the engine has reported to have."""
        self.section.serving = manifest.digest
        self.section.problem = self.logged_reason = ""
        self.instruments.switches.add(1, {"outcome": "serving"})
        log_decision("switch", self.peers.group, manifest.version, reason, **details)

    def postpone_switch(self, manifest: Manifest, delay: SwitchDelay) -> None:
        """Record why a switch waits, and log each new reason once."""
        self.section.problem = delay.reason
        if delay.reason != self.logged_reason:
            self.logged_reason = delay.reason
            self.instruments.switches.add(1, {"outcome": "postponed"})
            log_decision("switch", self.peers.group, "postponed", delay.reason)

    def check_engine(self) -> None:
        """Stop admission when the engine no longer has the version that is served."""
        serving = self.section.serving
        if serving is None:
            return
        try:
            digest = self.engine.state().digest
        except EngineCallError as exc:
            self.failed_state_reads += 1
            logger.warning("the engine's state cannot be read: %s", exc)
            if (
                self.failed_state_reads >= FAILED_READS_TO_STOP
                and self.section.serving == serving
            ):
                self.stop_serving(f"the engine does not answer: {exc}")
            return
        self.failed_state_reads = 0
        if digest != serving and self.section.serving == serving:
            self.stop_serving(
                f"the engine has {digest or 'no weights'} instead of the served version"
            )

    def stop_serving(self, reason: str) -> None:
        """Stop admission; the rollout then orders the wanted version again."""
        self.section.serving = None
        self.failed_state_reads = 0
        self.handed_chunks.clear()
        log_decision("switch", self.peers.group, "admission stopped", reason)
