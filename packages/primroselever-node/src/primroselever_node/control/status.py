"""The control section of /status."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.membership.contact import is_cut_off, is_in_touch
from primroselever_core.membership.peers import own_tree_place

from .. import clock
from ..status import age_s
from ..traffic import platform_traffic, rpc_traffic

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard


def control_status(board: Blackboard) -> dict[str, Any]:
    """
    Return the source and the age in seconds of the control state.

    The binaries add it to ``common_status``.
    """
    now = clock.now()
    profiles = board.profiles
    members = board.members
    place = own_tree_place(board, now)
    evidence_items = members.evidence.items()
    return {
        "revision": profiles.revision.number,
        "revision_digest": profiles.revision.digest,
        "revision_age_s": age_s(profiles.accepted_at),
        "revision_from": profiles.accepted_from,
        "service_age_s": age_s(profiles.service.last_answer_at),
        "position": place.position,
        "watches": place.watches,
        "parents": list(place.parents),
        "suspects": [
            vm_id for vm_id, evidence in evidence_items if evidence.suspect_until > now
        ],
        "leaving": [vm_id for vm_id, evidence in evidence_items if evidence.leaving],
        "in_touch": is_in_touch(members.contact, now),
        "cut_off": is_cut_off(members.contact, now),
        "pauses": members.contact.pauses,
        "platform_bytes": platform_traffic.bytes,
        "rpc_bytes": rpc_traffic.bytes,
    }
