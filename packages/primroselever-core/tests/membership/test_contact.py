from __future__ import annotations

import pytest

from primroselever_core.board import Blackboard
from primroselever_core.identifiers import FailureDomain, Incarnation, Region, VmId
from primroselever_core.identity import Identity
from primroselever_core.membership.contact import (
    CUT_OFF_FAILURES,
    PAUSE_THRESHOLD_S,
    Contact,
    may_give_orders,
    record_answer,
    record_failed_call,
    record_tick,
    refuses_starts,
)


@pytest.fixture
def board() -> Blackboard:
    return Blackboard(
        Identity(VmId("a"), FailureDomain("lag-a"), Region("west"), Incarnation(1))
    )


@pytest.fixture
def contact(board: Blackboard) -> Contact:
    contact = board.members.contact
    record_tick(contact, 100.0)
    record_answer(contact, 100.1)
    record_tick(contact, 100.25)
    return contact


def test_no_orders_before_the_first_answer(board: Blackboard) -> None:
    assert not may_give_orders(board, 100.0)
    record_tick(board.members.contact, 100.0)
    assert not may_give_orders(board, 100.1)
    assert not refuses_starts(board, 100.1)
    record_answer(board.members.contact, 100.2)
    assert may_give_orders(board, 100.2)


def test_a_pause_is_detected_before_the_next_tick(
    board: Blackboard, contact: Contact
) -> None:
    resumed_at = 100.25 + PAUSE_THRESHOLD_S + 0.1
    assert refuses_starts(board, resumed_at)
    assert not may_give_orders(board, resumed_at)


def test_an_answer_buffered_during_a_pause_is_ignored(
    board: Blackboard, contact: Contact
) -> None:
    record_answer(contact, 160.0)
    assert record_tick(contact, 160.01)
    assert not may_give_orders(board, 160.02)
    assert refuses_starts(board, 160.02)
    record_answer(contact, 160.2)
    assert may_give_orders(board, 160.2)
    assert not refuses_starts(board, 160.2)


def test_a_process_that_is_cut_off_may_give_orders(
    board: Blackboard, contact: Contact
) -> None:
    record_tick(contact, 160.0)
    for number in range(CUT_OFF_FAILURES):
        record_failed_call(contact, 160.1 + number / 10)
    assert not may_give_orders(board, 161.0)
    for tick_time in (161.5, 163.0, 164.0):
        record_tick(contact, tick_time)
    assert may_give_orders(board, 164.1)
    assert not refuses_starts(board, 164.1)


@pytest.mark.parametrize("delay_s", [0.3, 1.0, 1.9])
def test_a_delayed_tick_is_not_a_pause(
    board: Blackboard, contact: Contact, delay_s: float
) -> None:
    assert not record_tick(contact, 100.25 + delay_s)
    assert may_give_orders(board, 100.25 + delay_s)
