"""Filling an engine: fetching, staging, verifying and loading pieces."""

from __future__ import annotations

import hashlib
from dataclasses import replace
from types import SimpleNamespace

import eventlet
import pytest

from primroselever_agent.direct import fetching, filling, staging_area
from primroselever_agent.direct.filling import FillingController
from primroselever_core.filling import closing, plan, progress, switching
from primroselever_core.filling.loads import LoadOrder, OrderAnswer
from primroselever_core.filling.section import FillingBoard, WantedWeights
from primroselever_core.identity import Identity
from primroselever_node import clock
from primroselever_node.direct.sources import EngineState, SourceError

HOSTS = ("e1", "e2")


def make_pieces(version: int) -> list[bytes]:
    return [f"{version}/{index}/".encode() * 3000 for index in range(6)]


def make_digests(version: int) -> list[str]:
    return [hashlib.sha256(piece).hexdigest() for piece in make_pieces(version)]


class FakeEngine:
    """An engine that loads the staged pieces when ordered to."""

    def __init__(self, version: int) -> None:
        self.staging_area: dict[int, bytes] = {}
        self.engine_state = EngineState(1, "m", version, False, 0, 0, 0, 1.0)
        self.loaded: list[int] = []
        self.loaded_bytes: list[dict[int, bytes]] = []

    def read_state(self) -> EngineState:
        return self.engine_state

    def list_staged(self, model: str) -> set[int]:
        return set(self.staging_area)

    def read_staged(self, model: str, index: int) -> bytes | None:
        return self.staging_area.get(index)

    def stage_piece(self, model: str, index: int, data: bytes) -> None:
        self.staging_area[index] = data

    def order_load(self, order: LoadOrder) -> OrderAnswer:
        version, sequence = order.weights.version, order.previous.sequence
        self.loaded.append(version)
        self.loaded_bytes.append(dict(self.staging_area))
        self.engine_state = replace(
            self.engine_state, version=version, sequence=sequence + 1
        )
        return OrderAnswer.STARTED


class FakeEntries:
    """Entries that reply to calls; ``corrupt_replies`` counts bad replies by host."""

    def __init__(self) -> None:
        self.unavailable_versions: set[int] = set()
        self.missing_pieces: set[tuple[int, int]] = set()
        self.corrupt_replies: dict[str, int] = {}
        self.silent_hosts: set[str] = set()
        self.calls: list[tuple] = []

    def call_entry(self, host: str, method: str, *args):
        self.calls.append((host, method, *args))
        eventlet.sleep(0)
        if host in self.silent_hosts:
            return None
        model, version = args[:2]
        if method == "fetch_digests":
            return [] if version in self.unavailable_versions else make_digests(version)
        index, _relayed, offset, length, _hops = args[2:]
        missing = (version, index) in self.missing_pieces
        if missing or version in self.unavailable_versions:
            return SimpleNamespace(state="pending", data=b"", size=0)
        data = make_pieces(version)[index]
        if self.corrupt_replies.get(host, 0) > 0:
            self.corrupt_replies[host] -= 1
            data = b"x" * len(data)
        end = offset + length if length else len(data)
        return SimpleNamespace(state="held", data=data[offset:end], size=len(data))


@pytest.fixture
def make_controller(monkeypatch):
    monkeypatch.setattr(filling, "RETRY_DELAY_S", 0.005)
    monkeypatch.setattr(filling, "STEP_INTERVAL_S", 0.002)
    monkeypatch.setattr(fetching, "PLAN_INTERVAL_S", 0.002)
    monkeypatch.setattr(filling, "ORDER_EFFECT_S", 0.02)
    monkeypatch.setattr(progress, "FIRST_RETRY_S", 0.005)
    monkeypatch.setattr(progress, "MAX_RETRY_S", 0.01)
    monkeypatch.setattr(progress, "RETRY_INTERVAL_S", 0.002)

    def build(version: int = 0):
        engine, entries = FakeEngine(version), FakeEntries()
        board = FillingBoard(Identity("v", "a", "r", 1), ())
        for host in HOSTS:
            board.record_entry(host, "a", clock.now() + 100)

        class FakeReportController:
            @property
            def state(self):
                state, loads = engine.engine_state, board.loads
                loads.observe(
                    state.load, state.loading, state.layers, loads.writes, clock.now()
                )
                return state

            def report_state(self) -> None:
                entries.calls.append(("report", board.switching))

        controller = FillingController(board, engine, FakeReportController(), 1)
        controller.reader.call_entry = entries.call_entry
        return controller, board, engine, entries

    return build


def name_wanted_version(
    board: FillingBoard, version: int, bound_in_s: float = 8.0
) -> None:
    board.targets.add_version(
        WantedWeights("m", version, clock.now() + bound_in_s, 0, 1)
    )


class StartedController:
    """The greenlets of a controller, which end together."""

    def __init__(self, *greenlets) -> None:
        self.greenlets = greenlets

    def kill(self) -> None:
        for greenlet in self.greenlets:
            greenlet.kill()


def start_controller(controller: FillingController) -> StartedController:
    return StartedController(
        eventlet.spawn(controller.run), eventlet.spawn(controller.fetcher.run)
    )


def run_until_loaded(
    controller: FillingController, engine: FakeEngine, load_count: int
) -> None:
    greenlet = start_controller(controller)
    with eventlet.Timeout(5):
        while len(engine.loaded) < load_count:
            eventlet.sleep(0.002)
    greenlet.kill()


def assert_loaded_pieces_match(engine: FakeEngine) -> None:
    for version, area in zip(engine.loaded, engine.loaded_bytes, strict=True):
        assert [area[i] for i in sorted(area)] == make_pieces(version)


def test_empty_engine_is_filled_and_loaded(make_controller):
    controller, board, engine, _entries = make_controller()
    name_wanted_version(board, 1)
    run_until_loaded(controller, engine, 1)
    assert engine.loaded == [1]
    assert_loaded_pieces_match(engine)


def test_valid_staged_pieces_are_not_fetched_again(make_controller):
    controller, board, engine, entries = make_controller()
    engine.staging_area = dict(enumerate(make_pieces(1)))
    engine.staging_area[3] = b"rotten"
    name_wanted_version(board, 1)
    run_until_loaded(controller, engine, 1)
    fetched = {call[4] for call in entries.calls if call[1] == "fetch_piece"}
    assert fetched == {3}
    assert_loaded_pieces_match(engine)


@pytest.mark.parametrize(
    ("bound_in_s", "slice_bytes"),
    [(8.0, plan.SLICE_BYTES), (1.2, plan.FULL_SLICE_BYTES)],
)
def test_serving_engine_is_closed_before_it_loads(
    make_controller, monkeypatch, bound_in_s, slice_bytes
):
    # Entries stop using old weights 1.2 s before the bound. Without requests that share
    # the link, small slices would only delay the fill.
    monkeypatch.setattr(closing, "CLOSE_AHEAD_S", 0.0)
    controller, board, engine, entries = make_controller(1)
    name_wanted_version(board, 2, bound_in_s)
    run_until_loaded(controller, engine, 1)
    assert ("report", True) in entries.calls
    lengths = {call[7] for call in entries.calls if call[1] == "fetch_piece"}
    assert lengths == {slice_bytes}
    assert_loaded_pieces_match(engine)


def test_pieces_are_fetched_despite_corrupt_and_silent_entries(make_controller):
    controller, board, engine, entries = make_controller()
    entries.corrupt_replies["e1"] = 3
    entries.silent_hosts.add("e2")
    name_wanted_version(board, 1)
    run_until_loaded(controller, engine, 1)
    assert_loaded_pieces_match(engine)


def test_piece_corrupted_before_the_load_order_is_replaced_from_memory(
    make_controller, monkeypatch
):
    monkeypatch.setattr(staging_area, "VERIFICATION_VALID_S", 0.0)
    controller, board, engine, entries = make_controller()
    stage_all = controller.stage_all
    corrupted = []

    def stage_then_corrupt(wanted, staging):
        stage_all(wanted, staging)
        if not corrupted:
            corrupted.append(True)
            engine.staging_area[2] = b"rotten"

    controller.stage_all = stage_then_corrupt
    name_wanted_version(board, 1)
    run_until_loaded(controller, engine, 1)
    assert corrupted
    assert_loaded_pieces_match(engine)
    fetched = [call[4] for call in entries.calls if call[1] == "fetch_piece"]
    assert len(fetched) == len(set(fetched)), "memory still held the piece"


def test_older_version_is_loaded_while_the_newest_is_unavailable(make_controller):
    controller, board, engine, entries = make_controller()
    entries.unavailable_versions.add(3)
    name_wanted_version(board, 2)
    name_wanted_version(board, 3)
    run_until_loaded(controller, engine, 1)
    assert engine.loaded == [2]
    entries.unavailable_versions.clear()
    run_until_loaded(controller, engine, 2)
    assert engine.loaded == [2, 3]
    assert_loaded_pieces_match(engine)


def test_filling_is_retried_after_engine_errors(make_controller):
    controller, board, engine, _entries = make_controller()
    stage_piece = engine.stage_piece
    failures = [SourceError("down")] * 3

    def failing_stage(model, index, data):
        if failures:
            raise failures.pop()
        stage_piece(model, index, data)

    engine.stage_piece = failing_stage
    name_wanted_version(board, 1)
    run_until_loaded(controller, engine, 1)
    assert_loaded_pieces_match(engine)


def test_a_fill_continues_while_the_newer_version_is_not_available(make_controller):
    # Versions named in quick succession while the origin is down: entries have the
    # digests of the newer one but none of its pieces, and lack one of the older.
    controller, board, engine, entries = make_controller()
    entries.missing_pieces = {(2, 4)} | {(3, index) for index in range(6)}
    name_wanted_version(board, 2)
    greenlet = start_controller(controller)
    eventlet.sleep(0.02)
    name_wanted_version(board, 3)
    eventlet.sleep(0.05)
    greenlet.kill()
    assert engine.loaded == []
    assert board.staging.wanted.version == 2
    assert len(board.staging.held) == 5
    entries.missing_pieces.discard((2, 4))
    run_until_loaded(controller, engine, 1)
    assert engine.loaded == [2]
    entries.missing_pieces.clear()
    run_until_loaded(controller, engine, 2)
    assert engine.loaded == [2, 3]
    assert_loaded_pieces_match(engine)


def test_an_engine_serves_old_weights_while_the_last_pieces_are_missing(
    make_controller, monkeypatch
):
    # The origin fails when entries have all but the last piece.
    monkeypatch.setattr(switching, "STALL_S", 0.05)
    controller, board, engine, entries = make_controller(1)
    entries.missing_pieces = {(2, 5)}
    name_wanted_version(board, 2, 3.0)
    greenlet = start_controller(controller)
    with eventlet.Timeout(5):
        while ("report", True) not in entries.calls:
            eventlet.sleep(0.002)
        while ("report", False) not in entries.calls:
            eventlet.sleep(0.002)
    assert not board.switching
    assert board.closes_at is None
    greenlet.kill()
    entries.missing_pieces.clear()
    run_until_loaded(controller, engine, 1)
    assert_loaded_pieces_match(engine)


def test_a_read_that_hangs_does_not_delay_a_fill_of_the_next_version(make_controller):
    controller, board, engine, entries = make_controller()
    call_entry = entries.call_entry

    def call_or_hang(host, method, *args):
        if method == "fetch_piece" and args[1] == 2 and args[2] > 1:
            eventlet.event.Event().wait()
        return call_entry(host, method, *args)

    controller.reader.call_entry = call_or_hang
    name_wanted_version(board, 2)
    greenlet = start_controller(controller)
    eventlet.sleep(0.05)
    name_wanted_version(board, 3)
    with eventlet.Timeout(3):
        while not engine.loaded:
            eventlet.sleep(0.002)
    greenlet.kill()
    assert engine.loaded == [3]
    assert_loaded_pieces_match(engine)


def test_an_engine_is_filled_although_one_entry_sends_unreadable_replies(
    make_controller, caplog
):
    """
    An unexpected error ended the worker that fetched the piece.

    Each new worker began with the same entry, so the engine was never filled, and no
    log line said so.
    """
    controller, board, engine, entries = make_controller()
    call_entry = entries.call_entry

    def call_or_fail(host, method, *args):
        if host == "e1" and method == "fetch_piece":
            return SimpleNamespace(state="held", data=None, size=None)
        return call_entry(host, method, *args)

    controller.reader.call_entry = call_or_fail
    name_wanted_version(board, 1)
    run_until_loaded(controller, engine, 1)

    assert_loaded_pieces_match(engine)
    assert "e1" in caplog.text


def test_an_unexpected_error_while_staging_is_logged_and_retried(
    make_controller, caplog
):
    controller, board, engine, _entries = make_controller()
    errors = [ValueError("no such area")] * 8
    stage_piece = engine.stage_piece

    def fail_then_stage(model, index, data):
        if errors:
            raise errors.pop()
        stage_piece(model, index, data)

    engine.stage_piece = fail_then_stage
    name_wanted_version(board, 1)
    run_until_loaded(controller, engine, 1)

    assert_loaded_pieces_match(engine)
    assert "no such area" in caplog.text


def test_a_load_that_is_not_carried_out_is_ordered_again(make_controller, caplog):
    """
    After a loss of power, no engine was filled for 15 s.

    The agent waited that long for a load that the engine had accepted and given up.
    """
    controller, board, engine, _entries = make_controller()
    order_load = engine.order_load

    def accept_then_load(order):
        if "did not load" in caplog.text:
            return order_load(order)
        engine.engine_state = replace(engine.engine_state, sequence=order.load.sequence)
        return OrderAnswer.STARTED

    engine.order_load = accept_then_load
    name_wanted_version(board, 1)
    run_until_loaded(controller, engine, 1)
    assert_loaded_pieces_match(engine)


def test_a_load_waits_for_running_requests_without_another_order(make_controller):
    # Another order, and reports that the engine is open, would prolong the wait.
    controller, board, engine, entries = make_controller(1)
    orders = []

    def accept(order):
        orders.append(order.weights.version)
        engine.engine_state = replace(
            engine.engine_state, sequence=order.load.sequence, running=3
        )
        return OrderAnswer.STARTED

    engine.order_load = accept
    name_wanted_version(board, 2, 1.0)
    greenlet = start_controller(controller)
    eventlet.sleep(0.3)
    greenlet.kill()
    assert orders == [2]
    assert [call for call in entries.calls if call[0] == "report"][-1][1]


def test_an_agent_that_restarts_begins_with_the_staged_pieces(make_controller):
    # The newest version's digests arrive first, and its pieces would be staged over
    # those of the version before it.
    controller, board, engine, entries = make_controller()
    engine.staging_area = dict(enumerate(make_pieces(2)))
    entries.missing_pieces = {(2, index) for index in range(6)}
    entries.missing_pieces |= {(3, index) for index in range(3, 6)}
    call_entry = entries.call_entry

    def call_or_delay(host, method, *args):
        staged_over = engine.staging_area[0] == make_pieces(3)[0]
        if method == "fetch_digests" and args[1] == 2 and not staged_over:
            return []
        return call_entry(host, method, *args)

    controller.reader.call_entry = call_or_delay
    name_wanted_version(board, 2)
    name_wanted_version(board, 3)
    run_until_loaded(controller, engine, 1)
    assert engine.loaded == [2]
    entries.missing_pieces.clear()
    run_until_loaded(controller, engine, 2)
    assert engine.loaded == [2, 3]
    assert_loaded_pieces_match(engine)


def test_the_link_fetches_the_next_version_while_pieces_are_missing(make_controller):
    # The origin fails when entries have all but one piece of version 2.
    controller, board, engine, entries = make_controller()
    entries.missing_pieces = {(2, 4), (3, 5)}
    name_wanted_version(board, 2)
    name_wanted_version(board, 3)
    greenlet = start_controller(controller)
    with eventlet.Timeout(3):
        while len(controller.plan.held(2)) < 5 or len(controller.plan.held(3)) < 5:
            eventlet.sleep(0.002)
    greenlet.kill()
    assert engine.loaded == []
    assert controller.status()["held"] == {2: "5 of 6", 3: "5 of 6"}
    entries.missing_pieces.clear()
    run_until_loaded(controller, engine, 1)
    assert_loaded_pieces_match(engine)
    entries_sent = [call[2:5] for call in entries.calls if call[1] == "fetch_piece"]
    assert entries_sent.count(("m", 3, 0)) == 1


def test_a_version_that_exceeds_the_memory_is_staged_directly(make_controller):
    controller, board, engine, _entries = make_controller()
    controller.plan.cache.max_bytes = 2 * len(make_pieces(1)[0])
    name_wanted_version(board, 1)
    run_until_loaded(controller, engine, 1)
    assert controller.plan.cache.used_bytes <= controller.plan.cache.max_bytes
    assert_loaded_pieces_match(engine)


def test_staged_pieces_beyond_the_memory_of_a_new_process_are_used(make_controller):
    controller, board, engine, _entries = make_controller()
    piece_bytes = len(make_pieces(1)[0])
    controller.plan.cache.max_bytes = 2 * piece_bytes
    engine.staging_area = dict(enumerate(make_pieces(1)))
    name_wanted_version(board, 1)
    run_until_loaded(controller, engine, 1)
    assert sum(map(len, (controller.area.found or {}).values())) <= 2 * piece_bytes
    assert_loaded_pieces_match(engine)


def test_pieces_that_rot_while_an_engine_waits_for_its_turn_are_replaced(
    make_controller,
):
    controller, board, engine, entries = make_controller(1)
    board.targets.add_version(WantedWeights("m", 2, clock.now() + 2.0, 13, 14))
    greenlet = start_controller(controller)
    with eventlet.Timeout(3):
        while board.staging is None or not board.staging.complete:
            eventlet.sleep(0.002)
    engine.staging_area[1] = b"rotten"
    del engine.staging_area[4]
    greenlet.kill()
    fetched_count = len(entries.calls)
    run_until_loaded(controller, engine, 1)
    assert_loaded_pieces_match(engine)
    assert not [c for c in entries.calls[fetched_count:] if c[1] == "fetch_piece"]


def test_an_entry_that_does_not_answer_is_asked_last(make_controller):
    # After a loss of power of all VMs each call to an entry that has not started yet
    # takes up to 2 s, and a piece has up to four entries to ask.
    controller, board, _engine, _entries = make_controller()
    name_wanted_version(board, 1)
    reader, wanted = controller.reader, board.targets.newest
    first, second = reader.source_hosts(wanted, 0)
    reader.silent_until[first] = clock.now() + 1.0
    assert reader.source_hosts(wanted, 0) == [second, first]


def test_a_piece_that_is_corrupt_right_after_it_was_staged_is_not_loaded(
    make_controller,
):
    # The area is read back before the fill. That result was still considered valid
    # after pieces had been staged, so that a fast fill was loaded without a check.
    controller, board, engine, _entries = make_controller()
    stage_piece = engine.stage_piece
    corrupted = []

    def stage_or_corrupt(model, index, data):
        if index == 3 and not corrupted:
            corrupted.append(index)
            data = b"rotten"
        stage_piece(model, index, data)

    engine.stage_piece = stage_or_corrupt
    name_wanted_version(board, 1)
    run_until_loaded(controller, engine, 1)
    assert corrupted
    assert_loaded_pieces_match(engine)


def test_a_late_piece_of_an_earlier_model_is_not_kept(make_controller):
    # The next model may have a version of the same number. With a foreign piece in
    # memory, its staging area never matched and the engine was not filled.
    controller, board, _engine, _entries = make_controller()
    targets, fetcher = board.targets, controller.fetcher
    name_wanted_version(board, 1)
    controller.plan.update("m", 0, clock.now())
    earlier, wanted = controller.plan.progress[1], targets.newest
    fetcher.fetch(earlier, progress.MANIFEST, wanted)
    read_piece = controller.reader.read_piece

    def read_while_the_model_changes(*args):
        data = read_piece(*args)
        targets.add_version(replace(wanted, model="n"))
        controller.plan.update("m", 0, clock.now())
        return data

    controller.reader.read_piece = read_while_the_model_changes
    with pytest.raises(SourceError):
        fetcher.fetch(earlier, 0, wanted)
    assert not controller.plan.held(1)


def test_pieces_that_do_not_fit_into_memory_are_not_fetched_again_and_again(
    make_controller,
):
    # A second version beyond the limit of memory used the link without end.
    controller, board, _engine, entries = make_controller()
    controller.plan.cache.max_bytes = 2 * len(make_pieces(1)[0])
    missing = entries.missing_pieces = {(2, 4), (3, 5)}
    name_wanted_version(board, 2)
    name_wanted_version(board, 3)
    greenlet = start_controller(controller)
    eventlet.sleep(0.3)
    greenlet.kill()
    sent = [call[3:5] for call in entries.calls if call[1] == "fetch_piece"]
    assert all(sent.count(piece) <= 2 for piece in set(sent) - missing)


def test_found_pieces_of_an_earlier_model_are_not_kept(make_controller):
    # The wanted model changed while the staging area was read, and pieces of the
    # earlier one stayed in memory under the number of the new one's version.
    controller, board, engine, _entries = make_controller()
    targets, fetcher = board.targets, controller.fetcher
    engine.staging_area = dict(enumerate(make_pieces(1)))
    name_wanted_version(board, 1)
    controller.plan.update("m", 0, clock.now())
    earlier, wanted = controller.plan.progress[1], targets.newest
    list_staged = engine.list_staged

    def list_while_the_model_changes(model):
        targets.add_version(replace(wanted, model="n"))
        controller.plan.update("m", 0, clock.now())
        return list_staged(model)

    engine.list_staged = list_while_the_model_changes
    with pytest.raises(SourceError):
        fetcher.fetch(earlier, progress.MANIFEST, wanted)
    assert not controller.plan.held(1)
