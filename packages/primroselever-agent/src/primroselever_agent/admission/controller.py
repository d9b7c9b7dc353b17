"""Admitting, queueing and refusing runs, and finding suspects after a crash."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING

import eventlet

from primroselever_core.admission.fair_queue import WaitingRun
from primroselever_core.outcomes import NotRun, Reason
from primroselever_core.runs.registry import RunState
from primroselever_core.suspects.section import Standing
from primroselever_node import clock
from primroselever_node.logs import log_decision

from .instruments import AdmissionInstruments

if TYPE_CHECKING:
    from primroselever_core.admission.admission import Admission
    from primroselever_core.board import Blackboard
    from primroselever_core.identifiers import Fingerprint, RunId, WorkspaceName
    from primroselever_core.runs.registry import Run
    from primroselever_core.suspects.section import CrashId

    from ..exceptions import BackendError
    from ..runs.runner import Runner
    from .crash_watch import CrashWatch

CRASH_RETRY_AFTER_S = 1.0
DEFAULT_SHARE = 1.0  # relative to the shares of other workspaces


@dataclass(frozen=True, slots=True)
class WaitingStart:
    """An admitted run that waits to be started, with its request body and priority."""

    run: Run
    body: bytes
    priority: int


class AdmissionController:
    """Decides for the handler which runs the runner starts, and when."""

    def __init__(
        self,
        board: Blackboard,
        runner: Runner,
        admission: Admission,
        crash_watch: CrashWatch,
    ) -> None:
        self.board = board
        self.runner = runner
        self.admission = admission
        self.crash_watch = crash_watch
        self.arrival_numbers = count()
        self.waiting_starts: dict[RunId, WaitingStart] = {}
        self.known_crashes: dict[RunId, frozenset[CrashId]] = {}
        runner.observer = self
        self.instruments = AdmissionInstruments(admission, board.suspects)

    def offer(self, run: Run, priority: int) -> NotRun | None:
        """
        Admit a new run to start or wait, or return why it is refused.

        ``begin`` or ``withdraw`` must follow before the greenlet yields.
        """
        now = clock.now()
        standing = self.board.suspects.standing(run.fingerprint, now)
        if standing is Standing.QUARANTINED:
            record = self.board.suspects.records[run.fingerprint]
            return self.record_refusal(
                run, NotRun(Reason.QUARANTINED, record.deadline - now)
            )
        waiting = WaitingRun(
            priority,
            run.deadline,
            next(self.arrival_numbers),
            run.run_id,
            run.workspace,
            run.fingerprint,
        )
        suspect = standing is Standing.SUSPECT
        share = self.workspace_share(run.workspace)
        verdict = self.admission.offer(waiting, share, suspect, now)
        if isinstance(verdict, NotRun):
            return self.record_refusal(run, verdict)
        self.instruments.decisions.add(1, {"decision": verdict, "reason": ""})
        if suspect:
            log_decision("admit", run.run_id, verdict, "suspects run one by one")
        return None

    def withdraw(self, run: Run) -> None:
        """Withdraw an offered run that is not going to begin."""
        self.admission.record_end(run.run_id, False, clock.now())
        self.end_refused_runs()

    def begin(self, run: Run, body: bytes, priority: int) -> None:
        """Start a run that was not refused, or keep it until it may start."""
        if run.run_id in self.admission.in_flight:
            self.start_run(run, body, priority)
        else:
            self.waiting_starts[run.run_id] = WaitingStart(run, body, priority)
        # Ending a refused run starts waiting runs that now have room. This run may
        # be one of them, so it is added before the refused runs are ended.
        self.end_refused_runs()

    def start_run(self, run: Run, body: bytes, priority: int) -> None:
        """Hand a run to the runner."""
        known_crashes = self.board.suspects.known_crashes(run.fingerprint)
        if known_crashes:
            self.known_crashes[run.run_id] = known_crashes
        self.runner.start(run, body, priority)

    def step(self) -> None:
        """Start the waiting runs that may start, and end those that are too late."""
        for waiting in self.admission.start_waiting_runs(clock.now()):
            waiting_start = self.waiting_starts.pop(waiting.run_id)
            self.start_run(
                waiting_start.run, waiting_start.body, waiting_start.priority
            )
        self.end_refused_runs()

    def end_refused_runs(self) -> None:
        """End the waiting runs that the core's admission has refused."""
        for refused in self.admission.take_refused():
            waiting_start = self.waiting_starts.pop(refused.run.run_id)
            self.end_waiting_run(waiting_start.run, refused.refusal)

    def end_waiting_run(self, run: Run, refusal: NotRun) -> None:
        """End a waiting run that never started."""
        self.record_refusal(run, refusal)
        run.retry_after_s = refusal.retry_after_s
        self.runner.end(run, RunState.NOT_RUN, refusal.reason)

    def record_refusal(self, run: Run, refusal: NotRun) -> NotRun:
        """Log and count a refusal, and return it."""
        self.instruments.decisions.add(
            1, {"decision": "refused", "reason": refusal.reason}
        )
        log_decision(
            "admit", run.run_id, "refused", refusal.reason, workspace=run.workspace
        )
        return refusal

    def cancel_waiting(self, run: Run) -> bool:
        """Cancel a waiting run for its caller; return whether it was waiting."""
        if self.waiting_starts.pop(run.run_id, None) is None:
            return False
        self.admission.record_end(run.run_id, False, clock.now())
        self.runner.end(run, RunState.NOT_RUN, Reason.CANCELLED)
        return True

    def on_first_data(self, run: Run) -> None:
        """Record that a run's answer began, which may raise the concurrency limit."""
        self.admission.record_first_token(run.run_id, clock.now())
        self.step()

    def on_failure(self, run: Run, error: BackendError) -> None:
        """
        Check whether the engine crashed, before the run's end is reported.

        The check goes on if this greenlet is killed because the run's caller left.
        """
        if error.reason is not Reason.ENGINE_FAILED:
            return
        runs_in_flight = [started for started, _ in self.admission.in_flight.values()]
        if error.never_ran:
            runs_in_flight = [
                started for started in runs_in_flight if started.run_id != run.run_id
            ]
        fingerprints = [started.fingerprint for started in runs_in_flight]
        eventlet.spawn(self.check_for_crash, run.weights_digest, fingerprints).wait()

    def check_for_crash(self, digest: str, fingerprints: list[Fingerprint]) -> None:
        """Count a crash that was not detected before, and end all waiting runs."""
        if self.crash_watch.detect_new_crash(digest, fingerprints):
            self.instruments.crashes.add(1)
            self.refuse_waiting_runs(NotRun(Reason.NO_WEIGHTS, CRASH_RETRY_AFTER_S))

    def refuse_waiting_runs(self, refusal: NotRun) -> None:
        """
        End all waiting runs.

        All are withdrawn before the first one ends, since the end of a run starts
        or refuses runs that still wait.
        """
        waiting_starts, self.waiting_starts = self.waiting_starts, {}
        for run_id in waiting_starts:
            self.admission.record_end(run_id, False, clock.now())
        for waiting_start in waiting_starts.values():
            self.end_waiting_run(waiting_start.run, refusal)

    def on_end(self, run: Run, state: RunState) -> None:
        """Record a run's end; a success clears its request of suspicion."""
        done = state is RunState.DONE
        self.admission.record_end(run.run_id, done, clock.now())
        known_crashes = self.known_crashes.pop(run.run_id, None)
        if (
            done
            and known_crashes
            and self.board.suspects.record_success(run.fingerprint, known_crashes)
        ):
            log_decision("suspect", run.fingerprint, "cleared", "ran to its end")
        self.step()

    def workspace_share(self, workspace: WorkspaceName) -> float:
        """Return the share of a workspace in the fair queue, relative to the others."""
        accepted = self.board.profiles.accepted
        if accepted is not None:
            for published_workspace in accepted.profiles.workspaces:
                if published_workspace.name == workspace:
                    return published_workspace.share
        return DEFAULT_SHARE
