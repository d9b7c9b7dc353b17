from __future__ import annotations

from primroselever_core.board import Blackboard
from primroselever_core.identifiers import FailureDomain, Incarnation, Region, VmId
from primroselever_core.identity import Identity
from primroselever_node.control.status import control_status


def test_the_age_of_a_service_that_never_answered_is_unknown() -> None:
    board = Blackboard(
        Identity(VmId("a-0"), FailureDomain("a"), Region("west"), Incarnation(7))
    )

    status = control_status(board)

    assert status["service_age_s"] is None
