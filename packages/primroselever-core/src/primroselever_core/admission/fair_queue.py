"""
Waiting runs, with a fair share for each workspace.

Workspaces take turns by start-time fair queueing; within a workspace the first
priority and the earliest deadline go first. Priorities order a workspace's own
runs: they cannot take from other workspaces.

Source: Goyal, Vin and Cheng, "Start-time fair queuing", SIGCOMM 1996.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sortedcontainers import SortedList

if TYPE_CHECKING:
    from ..identifiers import Fingerprint, RunId, WorkspaceName


@dataclass(frozen=True, slots=True, order=True)
class Waiting:
    """One run; sorts by priority, then deadline, then the order of arrival."""

    priority: int
    deadline: float
    number: int
    run_id: RunId = field(compare=False)
    workspace: WorkspaceName = field(compare=False)
    fingerprint: Fingerprint = field(compare=False)


@dataclass(slots=True)
class Turn:
    """A workspace's waiting runs, and the virtual time of its next start."""

    weight: float
    virtual_time: float
    waiting: SortedList = field(default_factory=SortedList)
    running: int = 0


@dataclass(slots=True)
class FairQueue:
    """All workspaces that have runs waiting or in flight."""

    turns: dict[WorkspaceName, Turn] = field(default_factory=dict)
    order: SortedList = field(default_factory=SortedList)
    by_deadline: SortedList = field(default_factory=SortedList)
    virtual_time: float = 0.0
    active_weight: float = 0.0
    size: int = 0
    running: int = 0

    def turn(self, workspace: WorkspaceName, weight: float) -> Turn:
        """Return a workspace's turn, made when it becomes active."""
        turn = self.turns.get(workspace)
        if turn is None:
            turn = self.turns[workspace] = Turn(weight, self.virtual_time)
            self.active_weight += weight
        return turn

    def reweigh(self, workspace: WorkspaceName, weight: float) -> None:
        """Let a workspace that is active already have the weight that it has now."""
        turn = self.turns.get(workspace)
        if turn is not None:
            self.active_weight += weight - turn.weight
            turn.weight = weight

    def weight_of(self, run: Waiting) -> float:
        """Return the weight of a waiting run's workspace."""
        return self.turns[run.workspace].weight

    def push(self, run: Waiting, weight: float) -> None:
        """Let a run wait."""
        turn = self.turn(run.workspace, weight)
        if not turn.waiting:
            turn.virtual_time = max(turn.virtual_time, self.virtual_time)
            self.order.add((turn.virtual_time, run.workspace))
        turn.waiting.add(run)
        self.by_deadline.add((run.deadline, run.number, run))
        self.size += 1

    def remove(self, run: Waiting) -> None:
        """Take a run out, whatever its place."""
        turn = self.turns[run.workspace]
        turn.waiting.remove(run)
        self.by_deadline.remove((run.deadline, run.number, run))
        self.size -= 1
        if not turn.waiting:
            self.order.remove((turn.virtual_time, run.workspace))
        self.forget_idle(run.workspace)

    def pop(self) -> Waiting:
        """Return the run whose turn it is, and count it as running."""
        _, workspace = self.order[0]
        turn = self.turns[workspace]
        run: Waiting = turn.waiting[0]
        self.start(run, turn.weight)
        self.remove(run)
        return run

    def start(self, run: Waiting, weight: float) -> None:
        """Count a run as started; its workspace's next turn comes later for it."""
        turn = self.turn(run.workspace, weight)
        began = max(turn.virtual_time, self.virtual_time)
        if turn.waiting:
            self.order.remove((turn.virtual_time, run.workspace))
            self.order.add((began + 1 / turn.weight, run.workspace))
        turn.virtual_time = began + 1 / turn.weight
        self.virtual_time = began
        turn.running += 1
        self.running += 1

    def ended(self, workspace: WorkspaceName) -> None:
        """Count a run as no longer in flight."""
        self.turns[workspace].running -= 1
        self.running -= 1
        self.forget_idle(workspace)

    def forget_idle(self, workspace: WorkspaceName) -> None:
        """Forget a workspace with nothing waiting or in flight."""
        turn = self.turns[workspace]
        if not turn.waiting and not turn.running:
            self.active_weight -= turn.weight
            del self.turns[workspace]

    def ahead(self, run: Waiting) -> int:
        """Return how many runs of the same workspace would go before a new one."""
        turn = self.turns.get(run.workspace)
        return turn.waiting.bisect_left(run) if turn else 0

    def share(self, workspace: WorkspaceName, weight: float) -> float:
        """Return a workspace's part of the server, with it among the active ones."""
        others = self.active_weight
        if workspace in self.turns:
            others -= self.turns[workspace].weight
        return weight / (max(0.0, others) + weight)

    def beyond_share(self, workspace: WorkspaceName, weight: float) -> bool:
        """Return whether a workspace has more than its part of all runs here."""
        turn = self.turns.get(workspace)
        if turn is None:
            return False
        own = turn.running + len(turn.waiting)
        return own > self.share(workspace, weight) * (self.size + self.running)

    def last(self, workspace: WorkspaceName) -> Waiting | None:
        """Return the run of a workspace that is to go last."""
        turn = self.turns.get(workspace)
        return turn.waiting[-1] if turn and turn.waiting else None

    def longest(self) -> Waiting:
        """Return the last run of the workspace with most waiting for its weight."""
        turn = max(
            (turn for turn in self.turns.values() if turn.waiting),
            key=lambda turn: len(turn.waiting) / turn.weight,
        )
        return turn.waiting[-1]
