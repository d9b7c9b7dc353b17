"""
Queue of waiting runs with a weighted fair share for each workspace.

Workspaces are served by start-time fair queueing. Within a workspace, runs are
ordered by priority, where the lowest number goes first, and then by deadline.
Priorities order the runs of one workspace only: they do not affect the share of the
other workspaces.

Source: Goyal, Vin and Cheng, "Start-time fair queuing", SIGCOMM 1996.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sortedcontainers import SortedList

if TYPE_CHECKING:
    from ..identifiers import Fingerprint, RunId, WorkspaceName


@dataclass(frozen=True, slots=True, order=True)
class WaitingRun:
    """A waiting run; sorts by priority, then deadline, then arrival ``number``."""

    priority: int
    deadline: float
    number: int
    run_id: RunId = field(compare=False)
    workspace: WorkspaceName = field(compare=False)
    fingerprint: Fingerprint = field(compare=False)


@dataclass(slots=True)
class WorkspaceQueue:
    """A workspace's waiting runs, and the start tag of its next run."""

    weight: float
    start_tag: float
    waiting: SortedList = field(default_factory=SortedList)
    running: int = 0


@dataclass(slots=True)
class FairQueue:
    """
    The queues of all workspaces that have runs waiting or in flight.

    ``by_start_tag`` orders the workspaces that have runs waiting, ``by_deadline`` all
    waiting runs. ``size`` counts the waiting runs, ``running`` those in flight.
    """

    queues: dict[WorkspaceName, WorkspaceQueue] = field(default_factory=dict)
    by_start_tag: SortedList = field(default_factory=SortedList)
    by_deadline: SortedList = field(default_factory=SortedList)
    virtual_time: float = 0.0
    active_weight: float = 0.0
    size: int = 0
    running: int = 0

    def ensure_queue(self, workspace: WorkspaceName, weight: float) -> WorkspaceQueue:
        """Return a workspace's queue; create it if the workspace was not active."""
        queue = self.queues.get(workspace)
        if queue is None:
            queue = self.queues[workspace] = WorkspaceQueue(weight, self.virtual_time)
            self.active_weight += weight
        return queue

    def set_weight(self, workspace: WorkspaceName, weight: float) -> None:
        """Change the weight of a workspace if it is active."""
        queue = self.queues.get(workspace)
        if queue is not None:
            self.active_weight += weight - queue.weight
            queue.weight = weight

    def weight_of(self, run: WaitingRun) -> float:
        """Return the weight of a waiting run's workspace."""
        return self.queues[run.workspace].weight

    def push(self, run: WaitingRun, weight: float) -> None:
        """Add a run to its workspace's queue."""
        queue = self.ensure_queue(run.workspace, weight)
        if not queue.waiting:
            queue.start_tag = max(queue.start_tag, self.virtual_time)
            self.by_start_tag.add((queue.start_tag, run.workspace))
        queue.waiting.add(run)
        self.by_deadline.add((run.deadline, run.number, run))
        self.size += 1

    def remove(self, run: WaitingRun) -> None:
        """Remove a run from any position in the queue."""
        queue = self.queues[run.workspace]
        queue.waiting.remove(run)
        self.by_deadline.remove((run.deadline, run.number, run))
        self.size -= 1
        if not queue.waiting:
            self.by_start_tag.remove((queue.start_tag, run.workspace))
        self.remove_if_idle(run.workspace)

    def pop(self) -> WaitingRun:
        """Remove and return the next run, and count it as in flight."""
        _, workspace = self.by_start_tag[0]
        queue = self.queues[workspace]
        run: WaitingRun = queue.waiting[0]
        self.record_start(run, queue.weight)
        self.remove(run)
        return run

    def record_start(self, run: WaitingRun, weight: float) -> None:
        """Count a run as in flight and advance its workspace's start tag."""
        queue = self.ensure_queue(run.workspace, weight)
        start_tag = max(queue.start_tag, self.virtual_time)
        if queue.waiting:
            self.by_start_tag.remove((queue.start_tag, run.workspace))
            self.by_start_tag.add((start_tag + 1 / queue.weight, run.workspace))
        queue.start_tag = start_tag + 1 / queue.weight
        self.virtual_time = start_tag
        queue.running += 1
        self.running += 1

    def record_end(self, workspace: WorkspaceName) -> None:
        """Count a run of a workspace as no longer in flight."""
        self.queues[workspace].running -= 1
        self.running -= 1
        self.remove_if_idle(workspace)

    def remove_if_idle(self, workspace: WorkspaceName) -> None:
        """Remove a workspace's queue if it has no runs waiting or in flight."""
        queue = self.queues[workspace]
        if not queue.waiting and not queue.running:
            self.active_weight -= queue.weight
            del self.queues[workspace]

    def count_ahead(self, run: WaitingRun) -> int:
        """Return how many runs of the same workspace would start before a new run."""
        queue = self.queues.get(run.workspace)
        return queue.waiting.bisect_left(run) if queue else 0

    def share(self, workspace: WorkspaceName, weight: float) -> float:
        """Return a workspace's share of the server, counting it as active."""
        others = self.active_weight
        if workspace in self.queues:
            others -= self.queues[workspace].weight
        return weight / (max(0.0, others) + weight)

    def exceeds_share(self, workspace: WorkspaceName, weight: float) -> bool:
        """Return whether a workspace has more than its share of all runs here."""
        queue = self.queues.get(workspace)
        if queue is None:
            return False
        own_runs = queue.running + len(queue.waiting)
        return own_runs > self.share(workspace, weight) * (self.size + self.running)

    def last_waiting(self, workspace: WorkspaceName) -> WaitingRun | None:
        """Return the waiting run of a workspace that would start last, or None."""
        queue = self.queues.get(workspace)
        return queue.waiting[-1] if queue and queue.waiting else None

    def last_of_longest_queue(self) -> WaitingRun:
        """Return the last run of the queue that is longest relative to its weight."""
        queue = max(
            (queue for queue in self.queues.values() if queue.waiting),
            key=lambda queue: len(queue.waiting) / queue.weight,
        )
        return queue.waiting[-1]
