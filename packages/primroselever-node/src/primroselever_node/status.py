"""The part of /status that both binaries have in common."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from . import clock

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard


def age_s(since: float) -> float | None:
    """Return the seconds since a time, or None if the time is not set."""
    return round(clock.now() - since, 1) if since else None


def common_status(board: Blackboard) -> dict[str, Any]:
    """Return the identity of the process and the state and age of its sections."""
    profiles, members, identity = board.profiles, board.members, board.identity
    return {
        "vm_id": identity.vm_id,
        "failure_domain": identity.failure_domain,
        "region": identity.region,
        "incarnation": identity.incarnation,
        "leaving": board.leaving,
        "revision": profiles.revision.number,
        "revision_age_s": age_s(profiles.accepted_at),
        "refused_revision": profiles.refused_revision.number,
        "refused_findings": [str(finding) for finding in profiles.refused_findings],
        "vms": len(members.vms),
        "vm_list_age_s": age_s(members.listed_at),
    }
