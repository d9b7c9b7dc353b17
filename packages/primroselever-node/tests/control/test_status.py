from __future__ import annotations

from typing import TYPE_CHECKING

from primroselever_core.board import Blackboard
from primroselever_core.identifiers import FailureDomain, Incarnation, Region, VmId
from primroselever_core.identity import Identity
from primroselever_core.profiles.adopt import Adoption, adopt
from primroselever_node import clock
from primroselever_node.control.status import control_status

if TYPE_CHECKING:
    import pytest


def test_the_age_of_a_service_that_never_answered_is_unknown() -> None:
    board = Blackboard(
        Identity(VmId("a-0"), FailureDomain("a"), Region("west"), Incarnation(7))
    )

    status = control_status(board)

    assert status["service_age_s"] is None


def test_the_age_of_a_revision_is_unknown_before_one_is_accepted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Counted from time 0 it would be the uptime of the machine."""
    monkeypatch.setattr(clock, "now", lambda: 1000.0)
    board = Blackboard(
        Identity(VmId("a-0"), FailureDomain("a"), Region("west"), Incarnation(7))
    )

    assert control_status(board)["revision_age_s"] is None

    assert adopt(board.profiles, 1, "{}", "a peer", 990.0) is Adoption.ACCEPTED
    assert control_status(board)["revision_age_s"] == 10.0
