"""Filling an engine, from its staging area to the version that it serves."""

from __future__ import annotations

import hashlib
from dataclasses import replace
from types import SimpleNamespace

import eventlet
import pytest

from primroselever_agent.direct import filling as module
from primroselever_agent.direct.filling import FillingController
from primroselever_core.board import Identity
from primroselever_core.filling.section import FillingBoard, WantedWeights
from primroselever_node import clock
from primroselever_node.direct.sources import EngineState, SourceError

HOSTS = ("e1", "e2")


def pieces_of(version: int) -> list[bytes]:
    return [f"{version}/{index}/".encode() * 3000 for index in range(6)]


def digests_of(version: int) -> list[str]:
    return [hashlib.sha256(piece).hexdigest() for piece in pieces_of(version)]


class FakeEngine:
    """An engine that loads what is staged when it is ordered to."""

    def __init__(self, version: int) -> None:
        self.area: dict[int, bytes] = {}
        self.engine_state = EngineState(1, "m", version, False, 0, 0, 0, 1.0)
        self.loaded: list[int] = []
        self.loaded_bytes: list[dict[int, bytes]] = []

    def state(self) -> EngineState:
        return self.engine_state

    def staged(self, model: str) -> set[int]:
        return set(self.area)

    def read_staged(self, model: str, index: int) -> bytes | None:
        return self.area.get(index)

    def stage(self, model: str, index: int, data: bytes) -> None:
        self.area[index] = data

    def load(self, model: str, version: int, sequence: int) -> bool:
        self.loaded.append(version)
        self.loaded_bytes.append(dict(self.area))
        self.engine_state = replace(
            self.engine_state, version=version, sequence=sequence + 1
        )
        return True


class Entries:
    """What the entries answer; versions in ``missing`` are not to be had."""

    def __init__(self) -> None:
        self.missing: set[int] = set()
        self.spoils: dict[str, int] = {}
        self.silent: set[str] = set()
        self.asked: list[tuple] = []

    def answer(self, host: str, method: str, *args):
        self.asked.append((host, method, *args))
        eventlet.sleep(0)
        if host in self.silent:
            return None
        model, version = args[:2]
        if method == "fetch_digests":
            return [] if version in self.missing else digests_of(version)
        index, _relayed, offset, length = args[2:]
        if version in self.missing:
            return SimpleNamespace(state="pending", data=b"", size=0)
        data = pieces_of(version)[index]
        if self.spoils.get(host, 0) > 0:
            self.spoils[host] -= 1
            data = b"x" * len(data)
        end = offset + length if length else len(data)
        return SimpleNamespace(state="held", data=data[offset:end], size=len(data))


@pytest.fixture
def make(monkeypatch):
    monkeypatch.setattr(module, "RETRY_S", 0.005)
    monkeypatch.setattr(module, "STEP_S", 0.002)

    def build(version: int = 0):
        engine, entries = FakeEngine(version), Entries()
        board = FillingBoard(Identity("v", "a", "r", 1), ())
        for host in HOSTS:
            board.hear_entry(host, "a", clock.now() + 100)

        class News:
            @property
            def state(self):
                return engine.engine_state

            def report(self) -> None:
                entries.asked.append(("report", board.switching))

        controller = FillingController(board, engine, News(), 1)
        controller.ask = entries.answer
        return controller, board, engine, entries

    return build


def want(board: FillingBoard, version: int, in_s: float = 8.0) -> None:
    board.targets.name(WantedWeights("m", version, clock.now() + in_s, 0, 1))


def run(controller: FillingController, engine: FakeEngine, loads: int) -> None:
    greenlet = eventlet.spawn(controller.run)
    with eventlet.Timeout(5):
        while len(engine.loaded) < loads:
            eventlet.sleep(0.002)
    greenlet.kill()


def assert_loaded_whole(engine: FakeEngine) -> None:
    for version, area in zip(engine.loaded, engine.loaded_bytes, strict=True):
        assert [area[i] for i in sorted(area)] == pieces_of(version)


def test_an_empty_engine_is_filled_and_loaded(make):
    controller, board, engine, _entries = make()
    want(board, 1)
    run(controller, engine, 1)
    assert engine.loaded == [1]
    assert_loaded_whole(engine)


def test_what_is_staged_and_good_is_not_fetched_again(make):
    controller, board, engine, entries = make()
    engine.area = dict(enumerate(pieces_of(1)))
    engine.area[3] = b"rotten"
    want(board, 1)
    run(controller, engine, 1)
    fetched = {asked[4] for asked in entries.asked if asked[1] == "fetch_piece"}
    assert fetched == {3}
    assert_loaded_whole(engine)


def test_an_engine_that_serves_is_closed_before_it_loads(make, monkeypatch):
    monkeypatch.setattr(module, "CLOSE_AHEAD_S", 0.0)
    controller, board, engine, entries = make(1)
    want(board, 2, 1.2)
    run(controller, engine, 1)
    assert ("report", True) in entries.asked
    lengths = {asked[7] for asked in entries.asked if asked[1] == "fetch_piece"}
    assert lengths == {module.SLICE_BYTES}
    assert_loaded_whole(engine)


def test_a_spoilt_or_silent_entry_is_passed_over(make):
    controller, board, engine, entries = make()
    entries.spoils["e1"] = 3
    entries.silent.add("e2")
    want(board, 1)
    run(controller, engine, 1)
    assert_loaded_whole(engine)


def test_what_turned_bad_before_the_order_is_fetched_again(make, monkeypatch):
    monkeypatch.setattr(module, "VERIFIED_FOR_S", 0.0)
    controller, board, engine, _entries = make()
    fill = controller.fill
    spoilt = []

    def fill_then_rot(wanted, staging):
        fill(wanted, staging)
        if not spoilt:
            spoilt.append(True)
            engine.area[2] = b"rotten"

    controller.fill = fill_then_rot
    want(board, 1)
    run(controller, engine, 1)
    assert spoilt
    assert_loaded_whole(engine)


def test_while_the_newest_version_is_not_to_be_had_an_older_one_serves(make):
    controller, board, engine, entries = make()
    entries.missing.add(3)
    want(board, 2)
    want(board, 3)
    run(controller, engine, 1)
    assert engine.loaded == [2]
    entries.missing.clear()
    run(controller, engine, 2)
    assert engine.loaded == [2, 3]
    assert_loaded_whole(engine)


def test_an_engine_that_fails_is_tried_again(make):
    controller, board, engine, _entries = make()
    stage = engine.stage
    failures = [SourceError("down")] * 3

    def failing_stage(model, index, data):
        if failures:
            raise failures.pop()
        stage(model, index, data)

    engine.stage = failing_stage
    want(board, 1)
    run(controller, engine, 1)
    assert_loaded_whole(engine)
