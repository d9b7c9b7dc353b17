"""What an engine loads if its staged pieces are corrupted beside other faults."""

from __future__ import annotations

import os
from collections import Counter

import eventlet
import pytest

from primroselever_agent.direct.filling import FillingController
from primroselever_agent.direct.staging_area import StagingArea
from primroselever_core.dispatch import backend
from primroselever_core.filling.loads import Loads
from primroselever_node import clock

from .simulated_engine import LAYER_COUNT, PIECE_COUNT, World, make_piece

STOP_S = 4.5
PIECE = make_piece(2, 7)
# By hand: LOAD_SEQUENCES=0:20000.
FIRST_SEQUENCE, END_SEQUENCE = map(
    int, os.environ.get("LOAD_SEQUENCES", "0:100").split(":")
)


def spoil_once(world: World, when: str, index: int = 2) -> None:
    """Corrupt a piece at the first call of a kind."""

    def on_call(_agent, name):
        if name == when:
            world.engine.spoil(index)
            world.on_call = lambda _agent, _name: None

    world.on_call = on_call


def assert_newest_is_served(world: World) -> None:
    engine = world.engine
    assert not world.violations
    assert engine.version == world.published[-1][0]
    assert not any(engine.layers.values())
    assert len(engine.layers) == LAYER_COUNT  # with some, it refuses requests
    assert world.is_open()


def test_an_agent_stopped_between_check_and_order_loads_no_old_corruption(make_world):
    # The order was sent as planned, however long ago the area had been read.
    world = make_world()
    world.run(1.0)
    world.stops.append(("before order", STOP_S))
    spoil_once(world, "before order")
    world.publish(2)
    world.run(15.0)
    assert not world.stops
    assert_newest_is_served(world)


def test_an_order_that_the_engine_accepts_late_is_not_trusted(make_world):
    # The engine was stopped when it got the order, and accepted it seconds later.
    world = make_world()
    world.run(1.0)

    def on_call(_agent, name):
        if name == "before order":
            world.engine.paused_until = clock.now() + STOP_S
            world.engine.spoil(2)
            world.on_call = lambda _agent, _name: None

    world.on_call = on_call
    world.publish(2)
    world.run(20.0)
    assert_newest_is_served(world)


def test_no_version_is_staged_over_an_order_on_its_way(make_world):
    # Orders for version 2 timed out. The engine accepted one after version 3 had been
    # staged, and loaded version 3 as version 2.
    world = make_world()
    world.publish(2)
    world.order_delays += [3.0, 3.0]

    def on_call(_agent, name):
        if name == "before order":
            world.publish(3)
            world.entry_call_s = 1.1
            world.on_call = lambda _agent, _name: None

    world.on_call = on_call
    world.restart_engine(0.1)
    world.run(20.0)
    assert_newest_is_served(world)
    assert not world.engine.counts["wrong loads"]


def test_an_area_is_read_again_if_the_agent_was_stopped_after_reading_it(make_world):
    # Each such load would have to be dropped, and the engine closed for longer.
    world = make_world()
    world.run(1.0)
    whole = {index: make_piece(2, index) for index in range(PIECE_COUNT)}

    def on_call(agent, name):
        if name == f"after get {PIECE_COUNT - 1}" and world.engine.area == whole:
            agent.stopped_until = clock.now() + STOP_S
            world.engine.spoil(2)
            world.on_call = lambda _agent, _name: None

    world.on_call = on_call
    world.publish(2)
    world.run(15.0)
    assert_newest_is_served(world)
    assert not world.engine.counts["wrong loads"]


def test_corruption_before_the_order_is_repaired(make_world):
    # Staged pieces were loaded unread.
    world = make_world()
    world.run(1.0)
    writes = []

    def on_call(_agent, name):
        if name == "after put":
            writes.append(name)
            world.engine.spoil(len(writes) - 2)

    world.on_call = on_call
    world.publish(2)
    world.run(15.0)
    assert_newest_is_served(world)
    assert not world.engine.counts["wrong loads"]


def test_a_load_costs_one_more_read_of_the_area_and_no_piece(make_world):
    # The check may take a tenth of the time of a fill and nothing of the link.
    world = make_world()
    world.run(1.0)
    calls, times = Counter(), {}

    def on_call(_agent, name):
        calls[name] += 1
        times[name] = clock.now()

    world.on_call = on_call
    pieces_before = world.entry_calls
    world.publish(2)
    world.run(10.0)
    assert_newest_is_served(world)
    assert calls["before order"] == 1
    assert world.entry_calls - pieces_before == PIECE_COUNT + 1
    assert times[f"after get {PIECE_COUNT - 1}"] - times["after order"] < 0.02
    assert calls["before get 0"] <= 4  # found, prepared, before and after the order


def test_the_age_of_a_check_counts_from_its_first_read(make_world):
    # A pass over the area took seconds, and its end counted.
    world = make_world()
    world.run(1.0)

    def on_call(_agent, name):
        if name == "after get 0":
            world.call_s = 0.6
        if name == f"after get {PIECE_COUNT - 1}" and world.engine.area[7] == PIECE:
            world.call_s = 0.001
            world.on_call = lambda _agent, _name: None
        if name == "after get 1":
            world.engine.spoil(0)

    world.on_call = on_call
    world.publish(2)
    world.run(30.0)
    assert_newest_is_served(world)


def test_a_load_whose_answer_is_lost_is_not_open_before_it_is_verified(make_world):
    # The order was repeated and refused, and the load counted as somebody else's.
    world = make_world()
    world.run(1.0)
    world.lost_order_answers = 1
    world.stops.append(("before order", STOP_S))
    spoil_once(world, "before order")
    world.publish(2)
    world.run(15.0)
    assert not world.lost_order_answers
    assert_newest_is_served(world)


def test_a_restarted_agent_does_not_trust_a_load_under_way(make_world):
    # The engine accepted the order of a process that had ended meanwhile.
    world = make_world()
    world.run(1.0)
    world.order_delays.append(STOP_S)

    def on_call(agent, name):
        if name == "before order":
            world.engine.spoil(2)
            world.on_call = lambda _agent, _name: None
            eventlet.spawn_after(0.01, world.restart_agent, STOP_S)

    world.on_call = on_call
    world.publish(2)
    world.run(20.0)
    assert not world.order_delays
    assert_newest_is_served(world)


def test_a_load_stays_closed_while_its_agent_is_stopped(make_world):
    # Entries relied on the list of back ends 1.5 s after the agent's last report.
    world = make_world()
    world.run(1.0)
    world.stops += [("before order", STOP_S), ("after order", STOP_S)]
    spoil_once(world, "before order")
    world.publish(2)
    world.run(20.0)
    assert not world.stops
    assert_newest_is_served(world)


def draw_faults(world: World, until: float) -> None:
    """Inject random faults in a random order, also several at a time."""
    random, engine = world.random, world.engine
    version = 1
    while clock.now() < until:
        eventlet.sleep(random.choice((0.05, 0.3, 1.0, 2.0)) * random.random())
        long_s = random.choice((0.5, 2.0, 6.0)) * random.random()
        match random.randrange(13):
            case 0 | 1 | 2:
                version += 1
                world.publish(version)
            case 3 | 4 | 5:
                for index in random.sample(range(PIECE_COUNT), random.randint(1, 3)):
                    engine.spoil(index)
            case 6:
                world.agent.stopped_until = clock.now() + long_s
            case 7:
                call = random.choice(("order", "order", f"get {PIECE_COUNT - 1}"))
                when = random.choice(("before", "after"))
                world.stops = [(f"{when} {call}", long_s)]
            case 8:
                engine.paused_until = clock.now() + long_s
            case 9:
                world.order_delays = [long_s] * random.randint(1, 2)
            case 10:
                if random.random() < 0.5:
                    world.lost_order_answers += 1
                else:
                    world.lost_orders += 1
            case 11:
                world.restart_agent(long_s)
            case 12:
                if random.random() < 0.5:
                    world.restart_engine(long_s)
                else:
                    world.entries_down_until = clock.now() + long_s


def run_drawn_sequence(world: World) -> None:
    world.run(1.0)
    draw_faults(world, clock.now() + 20.0)
    world.stops.clear()
    world.order_delays.clear()
    world.lost_order_answers = world.lost_orders = 0
    world.run(25.0)


@pytest.mark.parametrize("first", range(FIRST_SEQUENCE, END_SEQUENCE, 10))
def test_no_drawn_sequence_of_faults_serves_wrong_weights(make_world, first):
    # Each fault of the incident, and combinations of them.
    for seed in range(first, first + 10):
        world = make_world(seed)
        run_drawn_sequence(world)
        assert not world.violations, seed
        assert_newest_is_served(world)


@pytest.mark.parametrize("seed", [10076, 10091, 10201, 20152, 50049])
def test_no_order_of_a_stopped_or_killed_agent_serves_wrong_weights(make_world, seed):
    # The agent was killed twice, or the engine restarted, before an order was accepted.
    world = make_world(seed)
    run_drawn_sequence(world)
    assert_newest_is_served(world)


def test_no_drawn_order_on_its_way_loads_another_version(make_world):
    # The agent staged the next version after an order that timed out.
    for seed in (5, 7, 62):
        world = make_world(seed)
        run_drawn_sequence(world)
        assert not world.engine.counts["mixed loads"], seed


def skip_check(_self, _wanted, _staging):
    """Order a load although the area was not read."""


def trust_unread(self, order, _staging):
    """Trust a load without reading the area after its order."""
    self.loads.trusted = order.load


def verify_for_ever(self, staging):
    """Read the area, and allow orders for any time afterwards."""
    lost = VERIFY(self, staging)
    self.order_by = float("inf") if self.order_by else 0.0
    return lost


VERIFY = StagingArea.verify
MUTANTS = {
    "order without a check": (
        FillingController,
        "verify_before_order",
        skip_check,
        test_corruption_before_the_order_is_repaired,
    ),
    "check without an age": (
        StagingArea,
        "verify",
        verify_for_ever,
        test_an_area_is_read_again_if_the_agent_was_stopped_after_reading_it,
    ),
    "no read after the order": (
        FillingController,
        "prove_load",
        trust_unread,
        test_an_agent_stopped_between_check_and_order_loads_no_old_corruption,
    ),
    "staging over an order on its way": (
        Loads,
        "waits_for_order",
        lambda _self, _now: False,
        test_no_drawn_order_on_its_way_loads_another_version,
    ),
    "closed for as long as reports are fresh": (
        backend,
        "CLOSED_VALID_S",
        backend.REPORT_VALID_S,
        test_a_load_stays_closed_while_its_agent_is_stopped,
    ),
}


@pytest.mark.parametrize("mutant", MUTANTS)
def test_each_faulty_program_fails_a_test(make_world, monkeypatch, mutant):
    owner, name, replacement, test = MUTANTS[mutant]
    monkeypatch.setattr(owner, name, replacement)
    with pytest.raises(AssertionError):
        test(make_world)
