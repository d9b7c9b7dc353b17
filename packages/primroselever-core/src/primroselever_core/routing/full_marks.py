"""
Servers that recently refused a workspace as full, to avoid further refusals.

A mark applies to one workspace and priority only: a server that is full for a
workspace above its share still accepts the work of other workspaces.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..identifiers import VmId, WorkspaceName

MAX_MARK_S = 0.25
MAX_KEYS = 4096


@dataclass(slots=True)
class FullMarks:
    """The end time of each server's mark, by workspace and priority."""

    marked_until: dict[tuple[WorkspaceName, int], dict[VmId, float]] = field(
        default_factory=dict
    )

    def mark_full(
        self,
        workspace: WorkspaceName,
        priority: int,
        vm_id: VmId,
        retry_after_s: float | None,
        now: float,
    ) -> None:
        """Mark a server as full for at most ``MAX_MARK_S`` seconds."""
        key = workspace, priority
        if key not in self.marked_until and len(self.marked_until) >= MAX_KEYS:
            del self.marked_until[next(iter(self.marked_until))]
        wait_s = min(MAX_MARK_S, retry_after_s or MAX_MARK_S)
        self.marked_until.setdefault(key, {})[vm_id] = now + wait_s

    def full_servers(
        self, workspace: WorkspaceName, priority: int, now: float
    ) -> set[VmId]:
        """Return the servers that are full for a workspace and priority."""
        marks = self.marked_until.get((workspace, priority))
        if not marks:
            return set()
        for vm_id in [vm_id for vm_id, until in marks.items() if until <= now]:
            del marks[vm_id]
        return set(marks)
