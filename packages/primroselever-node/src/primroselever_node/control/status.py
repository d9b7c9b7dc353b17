"""What /status says of control."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .. import clock
from .traffic import traffic

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard


def control_status(board: Blackboard) -> dict[str, Any]:
    """Return what is in force, what was refused, and how old it is, in seconds."""
    now = clock.now()
    profiles = board.profiles
    return {
        "revision": profiles.revision.number,
        "revision_digest": profiles.revision.digest,
        "revision_age_s": now - profiles.accepted_at,
        "refused_revision": profiles.refused_revision.number,
        "refused_findings": [str(finding) for finding in profiles.refused_findings],
        "vm_list_age_s": now - board.members.listed_at,
        "vms": len(board.members.vms),
        "control_bytes": traffic.bytes,
        "control_calls": traffic.calls,
    }
