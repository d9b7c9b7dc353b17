"""The control section of /status."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.membership.contact import confirmed, cut_off
from primroselever_core.membership.peers import place_of

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
    place = place_of(board, now)
    evidence_items = members.evidence.items()
    return {
        "revision": profiles.revision.number,
        "revision_digest": profiles.revision.digest,
        "revision_age_s": now - profiles.accepted_at,
        "revision_from": profiles.accepted_from,
        "service_age_s": age_s(profiles.service.heard_at),
        "position": place.position,
        "watches": place.watches,
        "parents": list(place.parents),
        "suspects": [
            vm_id for vm_id, evidence in evidence_items if evidence.suspect_until > now
        ],
        "leaving": [vm_id for vm_id, evidence in evidence_items if evidence.leaving],
        "in_touch": confirmed(members.contact, now),
        "cut_off": cut_off(members.contact, now),
        "pauses": members.contact.pauses,
        "platform_bytes": platform_traffic.bytes,
        "rpc_bytes": rpc_traffic.bytes,
    }
