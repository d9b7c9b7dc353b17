"""Which loads of an engine are trusted, and how a load is replaced."""

from __future__ import annotations

import pytest

from primroselever_core.filling.loads import (
    PENDING_ORDER_S,
    LayerRange,
    Load,
    LoadOrder,
    Loads,
    OrderAnswer,
    pieces_of_layer,
    plan_reload,
)
from primroselever_core.filling.pieces import PieceDigests

WEIGHTS = PieceDigests("m", 2, ("a", "b", "c"))
ALL = LayerRange(0, 4)


def observe(loads: Loads, load: Load, *, loading=False, layers=ALL, now=100.0) -> bool:
    return loads.observe(load, loading, layers, loads.writes, now)


def order(loads: Loads, previous: Load) -> Load:
    accepted = LoadOrder(WEIGHTS, previous)
    loads.record_order(accepted, OrderAnswer.STARTED, loads.writes)
    return accepted.load


def test_weights_of_an_engine_without_orders_are_trusted():
    # Engines that were started with weights have not loaded staged pieces.
    loads = Loads()
    assert not observe(loads, Load(1, 0))
    assert loads.trusts(Load(1, 0))


def test_an_accepted_order_is_trusted_only_after_valid_pieces_were_read():
    loads = Loads()
    observe(loads, Load(1, 0))
    load = order(loads, Load(1, 0))
    assert not observe(loads, load)
    assert not loads.trusts(load)
    assert loads.verify(load, ())
    assert loads.trusts(load)


def test_pieces_staged_since_the_order_prove_nothing():
    # A piece that was staged again would hide that the engine loaded a corrupt one.
    loads = Loads()
    observe(loads, Load(1, 0))
    load = order(loads, Load(1, 0))
    loads.record_write()
    assert not loads.verify(load, ())


def test_a_load_that_was_not_valid_once_is_not_trusted_after_a_repair():
    loads = Loads()
    observe(loads, Load(1, 0))
    load = order(loads, Load(1, 0))
    assert not loads.verify(load, {2})
    assert not loads.verify(load, ())
    assert loads.invalid == {2}


def test_a_load_that_nobody_ordered_is_closed():
    # An order of an earlier process, or of another one, was accepted.
    loads = Loads()
    observe(loads, Load(1, 0))
    assert observe(loads, Load(1, 1))
    assert not loads.trusts(Load(1, 1))


def test_a_late_answer_does_not_bring_back_an_earlier_load():
    loads = Loads()
    observe(loads, Load(1, 0))
    load = order(loads, Load(1, 0))
    observe(loads, Load(1, 0))
    assert loads.current == load


@pytest.mark.parametrize(
    ("loading", "layers", "missed"),
    [(True, None, False), (False, LayerRange(2, 3), False), (False, ALL, True)],
)
def test_a_new_process_trusts_no_load_that_may_be_under_way(loading, layers, missed):
    loads = Loads()
    if missed:
        loads.record_unreachable()
    assert observe(loads, Load(1, 3), loading=loading, layers=layers)
    assert not loads.trusts(Load(1, 3))


def test_a_new_process_says_for_a_while_that_an_order_may_be_on_its_way():
    # Entries keep an engine closed that the process before had closed.
    loads = Loads()
    observe(loads, Load(1, 0), now=100.0)
    assert loads.may_be_inherited(Load(1, 0), 100.0 + PENDING_ORDER_S / 2)
    assert not loads.may_be_inherited(Load(1, 0), 100.0 + PENDING_ORDER_S)
    load = order(loads, Load(1, 0))
    assert not loads.may_be_inherited(load, 100.0)


def test_an_order_without_an_answer_is_pending_until_another_load_is_seen():
    loads = Loads()
    observe(loads, Load(1, 0))
    loads.record_unanswered(LoadOrder(WEIGHTS, Load(1, 0)), 100.0)
    observe(loads, Load(1, 0))
    assert loads.waits_for_order(100.0)
    assert not loads.waits_for_order(100.0 + PENDING_ORDER_S)
    assert observe(loads, Load(1, 1))
    assert not loads.waits_for_order(100.0)
    assert loads.is_uncertain


def test_a_restarted_engine_has_no_pending_order():
    loads = Loads()
    observe(loads, Load(1, 0))
    loads.record_unanswered(LoadOrder(WEIGHTS, Load(1, 0)), 100.0)
    observe(loads, Load(2, 0))
    assert not loads.waits_for_order(100.0)
    assert loads.trusts(Load(2, 0))


def test_an_order_may_be_accepted_by_the_next_start_of_the_engine():
    # It was sent after a restart that the agent had not noticed.
    loads = Loads()
    observe(loads, Load(1, 0))
    observe(loads, Load(2, 0))
    loads.record_unanswered(LoadOrder(WEIGHTS, Load(1, 0)), 100.0)
    assert loads.waits_for_order(100.0)


def test_neighbouring_layers_share_a_piece():
    assert [list(pieces_of_layer(layer, 3, 4)) for layer in range(3)] == [
        [0, 1],
        [1, 2],
        [2, 3],
    ]


@pytest.mark.parametrize(
    ("layers", "invalid", "orders"),
    [
        (ALL, {0}, [(1, 2), None]),
        (ALL, {0, 2, 4}, [(3, 4), None]),
        (ALL, {0, 2, 4, 6}, [(0, 1), (1, 2), None]),
        (ALL, None, [(0, 1), (1, 2), None]),
        (LayerRange(2, 3), None, [(1, 2), None]),
        (LayerRange(0, 1), None, [(1, 2), None]),
    ],
)
def test_a_reload_keeps_only_a_layer_of_valid_pieces(layers, invalid, orders):
    assert plan_reload(layers, 8, invalid) == orders
