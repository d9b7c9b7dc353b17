"""Faults beside corrupted pieces that the drawn sequences of loads do not contain."""

from __future__ import annotations

from dataclasses import replace

import eventlet
import pytest

from primroselever_core.dispatch.backend import Backend, EngineReport, keep_closed
from primroselever_core.filling.loads import PENDING_ORDER_S, Load, Loads, OrderAnswer
from primroselever_node import clock

from .simulated_engine import PIECE_COUNT, make_piece
from .test_loads import STOP_S, assert_newest_is_served, run_drawn_sequence, spoil_once


def test_an_engine_with_one_layer_is_filled_after_an_agent_restart(make_world):
    # A load of one layer was verified, counted as the whole version, and stayed.
    world = make_world()
    world.run(1.0)
    world.publish(2)
    world.run(10.0)
    assert_newest_is_served(world)
    world.agent.kill()
    engine = world.engine
    engine.layers = {0: ""}
    engine.sequence += 1
    world.restart_agent(0.5)
    world.run(15.0)
    assert_newest_is_served(world)


def test_a_load_with_corruption_in_every_layer_is_replaced_completely(make_world):
    # The second of three orders was verified, and the third one was not sent.
    world = make_world()
    world.run(1.0)
    world.stops.append(("before order", STOP_S))

    def on_call(_agent, name):
        if name == "before order":
            for index in range(0, PIECE_COUNT, 2):
                world.engine.spoil(index)
            world.on_call = lambda _agent, _name: None

    world.on_call = on_call
    world.publish(2)
    world.run(15.0)
    assert_newest_is_served(world)


def test_a_repaired_area_does_not_prove_the_load_before_the_repair(make_world):
    # The agent was killed after it had repaired the area, and before it dropped the
    # load. The next process read a valid area and trusted the load.
    world = make_world()
    world.run(1.0)
    world.stops.append(("before order", STOP_S))
    loads = world.engine.counts

    def on_call(agent, name):
        if name == "before order" and not loads["wrong loads"]:
            world.engine.spoil(2)
        if name == "after put" and loads["wrong loads"]:
            world.on_call = lambda _agent, _name: None
            agent.stopped_until = float("inf")
            eventlet.spawn(world.restart_agent, 0.1)

    world.on_call = on_call
    world.publish(2)
    world.run(20.0)
    assert loads["wrong loads"]
    assert_newest_is_served(world)


def test_a_late_piece_does_not_prove_a_load(make_world):
    # A piece was corrupt when the engine accepted an order without an answer. The call
    # that had staged it, which had timed out, was carried out after that.
    world = make_world()
    world.run(1.0)
    engine = world.engine
    take_delay, delays = world.take_delay, [8.0]
    world.take_delay = lambda name: (
        delays.pop() if name == "put" and delays else take_delay(name)
    )

    def on_call(agent, name):
        if name == "before order":
            engine.spoil(0)
            agent.stopped_until = clock.now() + STOP_S
            world.stops.append(("after order", 5.0))
            world.on_call = lambda _agent, _name: None

    world.on_call = on_call
    world.publish(2)
    world.run(20.0)
    assert not delays
    assert_newest_is_served(world)


def test_a_restarted_agent_verifies_a_complete_load(make_world):
    # Without a check of a load that an earlier process ordered, it served after 10 s.
    world = make_world()
    world.run(1.0)
    world.stops += [("before order", STOP_S), ("after order", 100.0)]
    spoil_once(world, "before order")
    world.publish(2)
    while not world.engine.counts["wrong loads"]:
        world.run(0.01)
    world.run(1.0)
    world.restart_agent(0.1)
    world.run(20.0)
    assert_newest_is_served(world)


def test_an_empty_engine_stays_closed_for_an_order_on_its_way(make_world):
    # The order of a process that had ended was accepted late. The next process found an
    # engine without weights and reported it as open, and was stopped.
    world = make_world()
    world.publish(2)
    world.order_delays.append(STOP_S)

    def restart():
        world.restart_agent(0.5)
        eventlet.sleep(0.0)
        world.entries_down_until = clock.now() + 10.0
        eventlet.sleep(0.2)
        world.agent.stopped_until = clock.now() + 8.0

    def on_call(_agent, name):
        if name == "before order":
            world.engine.spoil(2)
            world.on_call = lambda _agent, _name: None
            eventlet.spawn_after(0.01, restart)

    world.on_call = on_call
    world.restart_engine(0.1)
    world.run(30.0)
    assert_newest_is_served(world)


@pytest.mark.parametrize("index", range(0, PIECE_COUNT, 2))
def test_no_layer_with_a_corrupt_piece_is_kept(make_world, index):
    # The layer that stays while the others are loaded anew must be a valid one.
    world = make_world()
    world.run(1.0)
    world.stops.append(("before order", STOP_S))
    spoil_once(world, "before order", index)
    world.publish(2)
    world.run(15.0)
    assert_newest_is_served(world)


def test_a_piece_staged_after_a_load_was_accepted_does_not_prove_it():
    # The order was not answered, and a piece was repaired before its load was seen.
    loads = Loads()
    loads.observe(Load(1000, 1), False, None, 0, 100.0)
    loads.record_write()
    loads.observe(Load(1000, 2), False, None, 1, 100.1)
    assert not loads.verify(Load(1000, 2), ())
    assert not loads.trusts(Load(1000, 2))


def test_a_load_without_manifest_stays_closed_after_an_agent_restart(make_world):
    # Entries opened the engine 10 s after the last report of the process before.
    world = make_world()
    world.run(1.0)
    world.stops += [("before order", STOP_S), ("after order", 100.0)]
    spoil_once(world, "before order")
    world.publish(2)
    while not world.engine.counts["wrong loads"]:
        world.run(0.01)
    world.run(1.0)
    world.entries_down_until = clock.now() + 15.0
    world.restart_agent(0.1)
    world.run(40.0)
    assert_newest_is_served(world)


def test_a_load_stays_closed_while_its_agent_is_stopped_for_longer(make_world):
    # Entries opened the engine 10 s after the last report of its agent.
    world = make_world()
    world.run(1.0)
    world.stops += [("before order", STOP_S), ("after order", 14.0)]
    spoil_once(world, "before order")
    world.publish(2)
    world.run(30.0)
    assert_newest_is_served(world)


def test_a_load_stays_closed_if_the_report_of_its_order_is_lost(make_world):
    # The reports that the engine is closed were lost until the agent was stopped for
    # the second time.
    world = make_world()
    world.run(1.0)
    world.stops += [("before order", STOP_S), ("after order", STOP_S)]
    spoil_once(world, "before order")
    receive, lost = world.receive_report, []

    def receive_report(news):
        if news.switching and world.stops:
            lost.append(news)
        else:
            receive(news)

    world.receive_report = receive_report
    world.publish(2)
    world.run(25.0)
    assert lost
    assert_newest_is_served(world)


def test_a_load_stays_closed_if_reports_are_reordered(make_world):
    # An older report that the engine is open arrived after the one that closed it, and
    # none followed before the agent was stopped for the second time. Its process is old
    # enough for entries to believe it at once.
    world = make_world()
    world.run(PENDING_ORDER_S + 2.0)
    world.stops += [("before order", STOP_S), ("after order", STOP_S)]
    receive, last_open, replayed = world.receive_report, [], []

    def receive_report(news):
        if not news.switching:
            last_open[:] = [news]
        if not replayed or not world.stops:
            receive(news)

    def on_call(_agent, name):
        if name == "before order":
            world.engine.spoil(2)
            receive(last_open[0])
            replayed.append(name)
            world.on_call = lambda _agent, _name: None

    world.receive_report = receive_report
    world.on_call = on_call
    world.publish(2)
    world.run(25.0)
    assert_newest_is_served(world)


def test_no_wrong_load_is_complete_for_entries_without_reports(make_world):
    # Entries of other failure domains that get no reports, and entries that start, know
    # only the list of back ends. A load that is not valid is complete until the order
    # that drops it.
    world = make_world()
    world.run(1.0)
    world.stops.append(("before order", STOP_S))
    spoil_once(world, "before order")
    world.publish(2)
    wrong_s = 0.0
    for _ in range(1500):
        world.run(0.01)
        wrong_s += 0.01 * bool(world.engine.fault)
    assert_newest_is_served(world)
    assert wrong_s == 0.0


def test_an_engine_without_layers_does_not_stay_closed(make_world):
    # Orders for the version in effect loaded nothing, about once a second.
    world = make_world()
    engine = world.engine
    read_state = engine.read_state
    engine.read_state = lambda: replace(read_state(), layers=None)
    world.run(1.0)
    world.stops.append(("before order", STOP_S))
    spoil_once(world, "before order")
    world.publish(2)
    world.run(40.0)
    assert_newest_is_served(world)


def test_an_engine_without_sequence_numbers_is_opened(make_world):
    # An accepted order counted as the next sequence, which the engine never reported.
    world = make_world()
    engine = world.engine
    read_state = engine.read_state
    order_load = engine.order_load
    engine.read_state = lambda: replace(read_state(), sequence=0)
    engine.order_load = lambda order: order_load(
        replace(order, previous=order.previous._replace(sequence=engine.sequence))
    )
    world.run(1.0)
    world.publish(2)
    world.run(10.0)
    assert_newest_is_served(world)


def test_an_engine_that_refuses_layers_is_not_ordered_without_pause(make_world):
    # Each refusal was followed by the next order as soon as the area had been read.
    world = make_world()
    engine = world.engine
    order_load = engine.order_load
    refused = []

    def refuse_layers(order):
        if order.layers is not None:
            refused.append(clock.now())
            return OrderAnswer.REFUSED
        return order_load(order)

    engine.order_load = refuse_layers
    world.run(1.0)
    world.stops.append(("before order", STOP_S))
    spoil_once(world, "before order")
    world.publish(2)
    world.run(20.0)
    assert refused
    assert len(refused) <= refused[-1] - refused[0] + 2


def test_another_model_is_loaded_over_an_unverified_load(make_world):
    # The wanted version was dropped, as its number is lower than that of the model that
    # the engine held.
    world = make_world()
    world.run(1.0)
    world.publish(2)
    world.run(10.0)
    world.agent.kill()
    engine = world.engine
    read_state = engine.read_state
    engine.version = 9  # of another model
    engine.sequence += 1
    engine.loaded_at = clock.now() + 0.5  # seen by the next process while it loads
    engine.loads_other = False

    def read_other():
        state = read_state()
        return replace(state, model="other") if state.version == 9 else state

    engine.read_state = read_other
    world.restart_agent(0.2)
    world.run(15.0)
    assert_newest_is_served(world)


def test_a_restarted_agent_does_not_abort_an_engine_that_is_in_use(make_world):
    # A piece that became corrupt long after the load closed the engine at once. All
    # engines of a fleet close together if all agents are killed.
    world = make_world()
    world.run(1.0)
    world.publish(2)
    world.run(10.0)
    assert_newest_is_served(world)
    world.engine.spoil(2)
    world.run(5.0)
    orders = []
    order_load = world.engine.order_load
    world.engine.order_load = lambda order: orders.append(order) or order_load(order)
    eventlet.spawn(world.restart_agent, 0.5)
    world.run(15.0)
    assert orders
    assert not any(order.aborts_requests for order in orders)


def test_an_engine_in_use_is_not_closed_for_pieces_that_cannot_be_fetched(make_world):
    # The engine was emptied for a piece that had become corrupt long after the load,
    # and stayed empty while entries lacked that piece.
    world = make_world()
    world.run(1.0)
    world.publish(2)
    world.run(10.0)
    world.engine.spoil(2)
    world.run(5.0)
    world.pieces_missing_until = clock.now() + 20.0
    eventlet.spawn(world.restart_agent, 0.5)
    for _ in range(150):
        world.run(0.1)
        assert world.is_open()
        assert not world.engine.loading
    world.run(15.0)
    assert_newest_is_served(world)
    assert world.engine.area[2] == make_piece(2, 2)


def test_an_agent_that_restarts_before_the_order_reopens_the_engine(make_world):
    # The engine was closed for an order that was not sent, and holds verified weights.
    # Entries kept it closed for 10 s while the next version could not be fetched.
    world = make_world()
    world.run(1.0)
    world.publish(2)
    world.run(10.0)
    assert_newest_is_served(world)

    def on_call(agent, name):
        if name == "before order":
            world.on_call = lambda _agent, _name: None
            world.entries_down_until = clock.now() + 30.0
            world.engine.spoil(0)
            agent.stopped_until = float("inf")
            eventlet.spawn(world.restart_agent, 0.2)

    world.on_call = on_call
    world.publish(3)
    closed_s = 0.0
    for _ in range(700):  # until version 2 may not be served any more
        world.run(0.01)
        closed_s += 0.01 * (not world.is_open())
    assert world.engine.version == 2
    assert closed_s < 3.0


def test_drawn_sequences_end_with_all_layers(make_world):
    # A sequence ended with an engine of one layer, which refuses requests.
    for seed in (2, 20, 71):
        world = make_world(seed)
        run_drawn_sequence(world)
        assert_newest_is_served(world)


def test_a_process_that_closes_an_inherited_load_keeps_it_closed():
    # The time counted from the last report of the process before, and ended while the
    # new one was stopped after its own order.
    report = EngineReport(100.0, 1, "m", 1, True, 0, 0, 1.0, unverified=True)
    previous = keep_closed(None, report)
    report = keep_closed(previous, replace(report, received_at=108.0))
    assert Backend(None, report).switching(117.0)
