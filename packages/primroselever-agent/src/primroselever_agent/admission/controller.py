"""Admits, queues and refuses runs, and says which were there at a crash."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING

from primroselever_core.admission.fair_queue import Waiting
from primroselever_core.outcomes import NotRun, Reason
from primroselever_core.runs.registry import RunState
from primroselever_core.suspects.section import Standing
from primroselever_node import clock
from primroselever_node.logs import log_decision

from .instruments import AdmissionInstruments

if TYPE_CHECKING:
    from primroselever_core.admission.admission import Admission
    from primroselever_core.board import Blackboard
    from primroselever_core.identifiers import RunId, WorkspaceName
    from primroselever_core.runs.registry import Run
    from primroselever_core.suspects.section import CrashId

    from ..exceptions import BackendError
    from ..runs.runner import Runner
    from .crash_watch import CrashWatch

CRASH_RETRY_S = 1.0
DEFAULT_SHARE = 1.0


@dataclass(frozen=True, slots=True)
class HeldRun:
    """An admitted run that waits for its turn, with what it is started with."""

    run: Run
    body: bytes
    priority: int


class AdmissionController:
    """Stands between the handler, which is asked for runs, and the runner."""

    def __init__(
        self,
        board: Blackboard,
        runner: Runner,
        admission: Admission,
        crashes: CrashWatch,
    ) -> None:
        self.board = board
        self.runner = runner
        self.admission = admission
        self.crashes = crashes
        self.numbers = count()
        self.held: dict[RunId, HeldRun] = {}
        self.known_crashes: dict[RunId, frozenset[CrashId]] = {}
        runner.observer = self
        self.instruments = AdmissionInstruments(admission, board.suspects)

    def offer(self, run: Run, priority: int) -> NotRun | None:
        """
        Return why a new run is refused, or None and let it start or wait.

        ``begin`` or ``forget`` must follow before the greenlet yields.
        """
        now = clock.now()
        standing = self.board.suspects.standing(run.fingerprint, now)
        if standing is Standing.QUARANTINED:
            record = self.board.suspects.records[run.fingerprint]
            return self.refuse(run, NotRun(Reason.QUARANTINED, record.deadline - now))
        waiting = Waiting(
            priority,
            run.deadline,
            next(self.numbers),
            run.run_id,
            run.workspace,
            run.fingerprint,
        )
        suspect = standing is Standing.SUSPECT
        share = self.share_of(run.workspace)
        verdict = self.admission.offer(waiting, share, suspect, now)
        if isinstance(verdict, NotRun):
            return self.refuse(run, verdict)
        self.instruments.decisions.add(1, {"decision": verdict, "reason": ""})
        if suspect:
            log_decision("admit", run.run_id, verdict, "suspects run one by one")
        return None

    def forget(self, run: Run) -> None:
        """Take back an offer whose run is not to begin after all."""
        self.admission.ended(run.run_id, False, clock.now())
        self.carry_out_refusals()

    def begin(self, run: Run, body: bytes, priority: int) -> None:
        """Start a run that was not refused, or hold it until its turn."""
        if run.run_id in self.admission.in_flight:
            self.start(run, body, priority)
        else:
            self.held[run.run_id] = HeldRun(run, body, priority)
        # Ending a run starts those that have room, perhaps this one: it must be
        # held by then.
        self.carry_out_refusals()

    def start(self, run: Run, body: bytes, priority: int) -> None:
        """Hand a run to the runner."""
        known = self.board.suspects.known_crashes(run.fingerprint)
        if known:
            self.known_crashes[run.run_id] = known
        self.runner.start(run, body, priority)

    def step(self) -> None:
        """Start what has its turn; refuse what can no longer be in time."""
        for waiting in self.admission.startable(clock.now()):
            held = self.held.pop(waiting.run_id)
            self.start(held.run, held.body, held.priority)
        self.carry_out_refusals()

    def carry_out_refusals(self) -> None:
        """End the waiting runs that the decisions refused."""
        for refused in self.admission.take_refused():
            held = self.held.pop(refused.run.run_id)
            self.end_unrun(held.run, refused.refusal)

    def end_unrun(self, run: Run, refusal: NotRun) -> None:
        """End a run that waited and never started."""
        self.refuse(run, refusal)
        run.retry_after_s = refusal.retry_after_s
        self.runner.end(run, RunState.NOT_RUN, refusal.reason)

    def refuse(self, run: Run, refusal: NotRun) -> NotRun:
        """Log and count a refusal, and return it."""
        self.instruments.decisions.add(
            1, {"decision": "refused", "reason": refusal.reason}
        )
        log_decision(
            "admit", run.run_id, "refused", refusal.reason, workspace=run.workspace
        )
        return refusal

    def cancel(self, run: Run) -> bool:
        """Take a waiting run out for its caller; return whether it waited."""
        if self.held.pop(run.run_id, None) is None:
            return False
        self.admission.ended(run.run_id, False, clock.now())
        self.runner.end(run, RunState.NOT_RUN, Reason.CANCELLED)
        return True

    def first_data(self, run: Run) -> None:
        """Take in that a run's answer has begun; the limit may have grown by it."""
        self.admission.first_token(run.run_id, clock.now())
        self.step()

    def failed(self, run: Run, error: BackendError) -> None:
        """Find out whether the engine crashed, before the run's end is told."""
        if error.reason is not Reason.ENGINE_FAILED:
            return
        present = [w for w, _ in self.admission.in_flight.values()]
        if error.never_ran:
            present = [w for w in present if w.run_id != run.run_id]
        names = [w.fingerprint for w in present]
        if self.crashes.check(run.weights_digest, names):
            self.instruments.crashes.add(1)
            self.refuse_held(NotRun(Reason.NO_WEIGHTS, CRASH_RETRY_S))

    def refuse_held(self, refusal: NotRun) -> None:
        """
        End all waiting runs.

        All are withdrawn before the first end is told: an end starts or refuses
        the runs that still wait.
        """
        held_runs, self.held = self.held, {}
        for run_id in held_runs:
            self.admission.ended(run_id, False, clock.now())
        for held in held_runs.values():
            self.end_unrun(held.run, refusal)

    def ended(self, run: Run, state: RunState) -> None:
        """Take in a run's end; a success clears its request."""
        done = state is RunState.DONE
        self.admission.ended(run.run_id, done, clock.now())
        known = self.known_crashes.pop(run.run_id, None)
        if (
            done
            and known
            and self.board.suspects.record_success(run.fingerprint, known)
        ):
            log_decision("suspect", run.fingerprint, "cleared", "ran to its end")
        self.step()

    def share_of(self, workspace: WorkspaceName) -> float:
        """Return the weight of a workspace's share."""
        accepted = self.board.profiles.accepted
        if accepted is not None:
            for published in accepted.profiles.workspaces:
                if published.name == workspace:
                    return published.share
        return DEFAULT_SHARE
