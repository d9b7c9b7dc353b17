"""
Which servers just refused a workspace, so that nothing is sent there in vain.

A mark holds for one workspace and priority only: servers that are full for a
workspace beyond its share still take the work of others.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..identifiers import VmId, WorkspaceName

LONGEST_MARK_S = 0.25
MAX_KEYS = 4096


@dataclass(slots=True)
class FullMarks:
    """For each workspace and priority, the servers and until when they are full."""

    until: dict[tuple[WorkspaceName, int], dict[VmId, float]] = field(
        default_factory=dict
    )

    def mark(
        self,
        workspace: WorkspaceName,
        priority: int,
        vm_id: VmId,
        retry_after_s: float | None,
        now: float,
    ) -> None:
        """Mark a server as full for a short while."""
        key = workspace, priority
        if key not in self.until and len(self.until) >= MAX_KEYS:
            del self.until[next(iter(self.until))]
        wait_s = min(LONGEST_MARK_S, retry_after_s or LONGEST_MARK_S)
        self.until.setdefault(key, {})[vm_id] = now + wait_s

    def full(self, workspace: WorkspaceName, priority: int, now: float) -> set[VmId]:
        """Return the servers that are full for a request."""
        marks = self.until.get((workspace, priority))
        if not marks:
            return set()
        for vm_id in [vm_id for vm_id, until in marks.items() if until <= now]:
            del marks[vm_id]
        return set(marks)
