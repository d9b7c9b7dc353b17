"""Metrics on the age and the source of control state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.metrics import get_meter

from primroselever_core.membership.contact import is_in_touch
from primroselever_core.membership.peers import own_tree_place

from .. import clock
from ..metrics import register_gauge
from ..status import age_s

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard


def observe_control(board: Blackboard) -> None:
    """Register gauges for the source of control state and contact with other VMs."""
    meter = get_meter(__name__)
    members, profiles = board.members, board.profiles
    register_gauge(
        meter,
        "primroselever.control.service_age",
        "s",
        "Since the configuration service was heard, here or by a peer",
        lambda: age_s(profiles.service.last_answer_at),
    )
    register_gauge(
        meter,
        "primroselever.control.watching",
        "1",
        "1 when this process watches the configuration service itself",
        lambda: int(own_tree_place(board, clock.now()).watches),
    )
    register_gauge(
        meter,
        "primroselever.control.in_touch",
        "1",
        "0 while this process may give no orders, having heard nobody",
        lambda: int(is_in_touch(members.contact, clock.now())),
    )
    register_gauge(
        meter,
        "primroselever.control.suspects",
        "{vm}",
        "VMs that this process does not count on",
        lambda: count_suspects(board),
    )
    register_gauge(
        meter,
        "primroselever.control.pauses",
        "{pause}",
        "How often this process found that it had been paused",
        lambda: members.contact.pauses,
    )


def count_suspects(board: Blackboard) -> int:
    """Return the number of VMs that are currently suspected to be down."""
    now = clock.now()
    all_evidence = board.members.evidence.values()
    return sum(evidence.suspect_until > now for evidence in all_evidence)
