"""A simulated model server: its staging area, its loads and its streams."""

from __future__ import annotations

import itertools
import random
import select
import time
from dataclasses import dataclass
from enum import StrEnum
from math import inf
from typing import TYPE_CHECKING, Any

import eventlet
from eventlet import patcher

from bench.standins.base import Reply, Request, json_reply, not_found

from .backends import (
    PIECE_COUNT,
    SLOTS,
    Backend,
    CrashedError,
    UnframedResponse,
    make_piece,
    piece_version,
)
from .ledger import make_event

if TYPE_CHECKING:
    from collections.abc import Callable, Generator, Iterable

    from .ledger import Ledger, Run

MODEL_NAME = "m"
LAYER_COUNT = 4
EVENT_INTERVAL_S = 0.03
LOAD_DURATION_S = 0.2
ENDLESS_BLOCK = b"x" * 65536
ENDLESS_BLOCK_COUNT = 1600  # 100 MiB, much more than all buffers may hold
# A piece that was corrupted this recently may have been verified before.
CORRUPTION_GRACE_S = 3.0
RESTART_KINDS = ("kill", "terminate")
QUEUE_POLL_INTERVAL_S = 0.01


class UnframedEnd(StrEnum):
    """How a response ends that has neither a length nor chunks."""

    WHOLE = "whole"
    INSIDE = "inside an event"
    EMPTY = "before the first event"
    ENDLESS = "an event without end"


class Moment(StrEnum):
    """
    Moments of a fill at which a fault may begin.

    ``CHECKED`` is when the agent has read all pieces of a version that the engine does
    not hold, and ``ORDERED`` when an order to load such a version has arrived.
    """

    CHECKED = "checked"
    ORDERED = "ordered"


@dataclass(eq=False, slots=True)
class Load:
    """
    The layers that one order loads.

    ``bad_pieces`` maps layers to those of their pieces that were missing, of another
    version, or corrupt for too long, when the engine accepted the order. ``generated``
    is set once a bad one of them generated an event.
    """

    version: int
    bad_pieces: dict[int, list[int]]
    generated: bool = False


@dataclass(eq=False, slots=True)
class OpenOrder:
    """An order that the engine has not accepted yet and may still accept."""

    version: int
    precondition: int
    arrived_at: float


class StagingArea:
    """
    The staged pieces of an engine, which survive its crashes.

    ``pieces`` holds the bytes as they were staged, and ``corrupted_at`` since when some
    are corrupt. ``read_indexes`` are those of the valid pieces that were read since the
    pieces were listed or changed last.
    """

    def __init__(self) -> None:
        self.pieces = {index: make_piece(1, index) for index in range(PIECE_COUNT)}
        self.corrupted_at: dict[int, float] = {}
        self.read_indexes: set[int] = set()

    def put(self, index: int, data: bytes) -> None:
        """Stage a piece."""
        self.pieces[index] = data
        self.corrupted_at.pop(index, None)
        self.read_indexes.clear()

    def get(self, index: int) -> bytes | None:
        """Return the present bytes of a piece, None if it is missing."""
        data = self.pieces.get(index)
        if data is None or index not in self.corrupted_at:
            self.read_indexes.add(index)
            return data
        return b"rot" + data[3:]

    def corrupt(self, index: int) -> None:
        """Corrupt a piece, unless it is corrupt or missing."""
        if index in self.pieces:
            self.corrupted_at.setdefault(index, time.monotonic())

    def checked_version(self) -> int:
        """Return the version whose pieces were all read in one pass, 0 for none."""
        if len(self.read_indexes) < PIECE_COUNT:
            return 0
        version = piece_version(self.pieces[0])
        pieces = self.pieces.items()
        is_whole = all(data == make_piece(version, index) for index, data in pieces)
        return version if is_whole else 0

    def find_bad_pieces(self, version: int, layer: int) -> list[int]:
        """Return the pieces of a layer that make a load of the version bad now."""
        limit = time.monotonic() - CORRUPTION_GRACE_S
        first = layer * PIECE_COUNT // LAYER_COUNT
        end = -(-(layer + 1) * PIECE_COUNT // LAYER_COUNT)
        return [
            index
            for index in range(first, end)
            if self.pieces.get(index) != make_piece(version, index)
            or self.corrupted_at.get(index, limit) < limit
        ]


class ModelServer(Backend):
    """
    A model server with a staging area and layers of weights.

    ``layers`` maps the layers that it holds to their loads. ``agent`` is the VM of its
    agent. Until ``orders_held_until`` it accepts and answers no order, and with
    ``loses_answer`` it does not answer the next one that it accepts. ``hooks`` are
    called once, at their moments. Until ``queue_held_until`` requests that arrive wait
    in its queue. The link of its VM delays requests and their cancellations by
    ``request_delay_s``, but no calls of the agent, which runs on the same VM.
    """

    def __init__(self, ledger: Ledger, address: tuple[str, int], domain: str) -> None:
        self.area = StagingArea()
        self.agent = ""
        self.layers: dict[int, Load] = {}
        self.loading: Load | None = None
        self.bad_loads: list[Load] = []
        self.hooks: dict[Moment, Callable[[], None]] = {}
        self.open_orders: set[OpenOrder] = set()
        super().__init__(ledger, address, domain)
        self.layers = dict.fromkeys(range(LAYER_COUNT), Load(1, {}))

    def restart(self) -> None:
        """Start a new incarnation without loaded weights."""
        super().restart()
        self.loading = None
        self.drop_layers(list(self.layers))
        self.loaded_at = 0.0
        self.aborted_at = 0.0
        self.orders_held_until = 0.0
        self.queue_held_until = 0.0
        self.request_delay_s = 0.0
        self.loses_answer = False
        self.order_count = 0

    @property
    def held_version(self) -> int:
        """Return the version of the layers that it holds, 0 if it holds none."""
        return next((load.version for load in self.layers.values()), 0)

    @property
    def switching(self) -> bool:
        """Return whether a load of another version is under way."""
        return self.loading is not None and self.loading.version != self.held_version

    @property
    def version(self) -> int:
        """Return the version that it serves, 0 if it serves none."""
        is_complete = len(self.layers) == LAYER_COUNT and not self.switching
        return self.held_version if is_complete else 0

    def trigger(self, moment: Moment) -> None:
        """Call the hook of a moment once."""
        hook = self.hooks.pop(moment, None)
        if hook is not None:
            hook()

    def answer(self, request: Request) -> Reply:
        """Handle a command of the agent, or run a request."""
        if self.down:
            raise CrashedError
        if request.path == "/order":
            return self.handle_order(request.json())
        if request.path.startswith(("/stream/", "/batch/")):
            return self.run_stream(request)
        self.wait_while_silent()
        if request.path.startswith("/stage-put/"):
            self.handle_stage_put(int(request.query["num"]), request.body)
            return json_reply({})
        if request.path.startswith("/stage-get/"):
            return self.handle_stage_get(request)
        return json_reply(self.make_report())

    def make_report(self) -> dict[str, Any]:
        """Return the load and loaded weights in the format of the server protocol."""
        version = self.held_version
        models = [{"name": MODEL_NAME, "version": version}] if version else []
        load = self.running + self.occupied
        return {
            "born": self.born_ms,
            "models": [] if self.switching else models,
            "layers": {
                "from": min(self.layers, default=0),
                "target": max(self.layers, default=-1) + 1,
                "version": version,
            },
            "busy": self.loading is not None,
            "seq": self.order_count,
            "running": min(load, SLOTS),
            "queued": max(0, load - SLOTS),
            "pace": 1.0,
        }

    def handle_stage_put(self, index: int, data: bytes) -> None:
        """Stage a piece; check that it replaces none of an order on its way."""
        now, staged = time.monotonic(), self.area.pieces.get(index)
        for order in list(self.open_orders):
            if (
                order.precondition == self.order_count
                and staged == make_piece(order.version, index) != data
                # An agent that restarted meanwhile cannot know of the order.
                and not self.ledger.had_fault(
                    (self.agent,), order.arrived_at, now, RESTART_KINDS
                )
            ):
                self.open_orders.discard(order)  # one violation for each order
                self.ledger.record_violation(
                    "staged over",
                    f"{self.server_id}: piece {index} of version {order.version},"
                    f" {now - order.arrived_at:.2f} s after its order",
                )
        self.area.put(index, data)

    def handle_stage_get(self, request: Request) -> Reply:
        """Return a staged piece, or the list of staged pieces."""
        if "num" not in request.query:
            self.area.read_indexes.clear()
            return json_reply({"held": sorted(self.area.pieces)})
        data = self.area.get(int(request.query["num"]))
        if data is None:
            return not_found()
        return Reply(
            body=self.send_piece(data), headers=[("Content-Length", str(len(data)))]
        )

    def send_piece(self, data: bytes) -> Generator[bytes, None, None]:
        """Send a piece, which may be the last one of a pass over the area."""
        yield data
        checked_version = self.area.checked_version()
        if checked_version not in (0, self.held_version) and self.loading is None:
            self.trigger(Moment.CHECKED)

    def handle_order(self, fields: dict[str, Any]) -> Reply:
        """Answer an order once the engine accepts orders."""
        if fields.get("op") != "start":
            return json_reply({}, "400 Bad Request")
        precondition = int(fields.get("precondition", self.order_count))
        order = OpenOrder(int(fields["version"]), precondition, time.monotonic())
        server_id = self.server_id
        self.open_orders.add(order)
        if order.version != self.held_version:
            self.trigger(Moment.ORDERED)
        while (end := max(self.orders_held_until, self.silent_until)) > (
            now := time.monotonic()
        ):
            eventlet.sleep(end - now)
        self.open_orders.discard(order)
        if server_id != self.server_id:
            raise CrashedError
        layers = range(
            int(fields.get("from", 0)), int(fields.get("target", LAYER_COUNT))
        )
        status = self.decide_order(order, layers, fields.get("stop_mode") == "abort")
        if status.startswith("202") and self.loses_answer:
            self.loses_answer = False
            raise CrashedError
        return json_reply({}, status)

    def decide_order(self, order: OpenOrder, layers: range, aborts: bool) -> str:
        """Return the status of the answer to an order; start loading if it is 202."""
        is_held = order.version == self.held_version
        if self.loading is not None:
            return "409 Conflict"
        if is_held and self.layers.keys() == set(layers):
            return "200 OK"
        if order.precondition != self.order_count:
            return "409 Conflict"
        self.order_count += 1
        if aborts:
            self.aborted_at = time.monotonic()
        if is_held:
            self.drop_layers(self.layers.keys() - layers)
        missing = [each for each in layers if not (is_held and each in self.layers)]
        found = {
            each: self.area.find_bad_pieces(order.version, each) for each in missing
        }
        bad_pieces = {layer: pieces for layer, pieces in found.items() if pieces}
        self.loading = Load(order.version, bad_pieces)
        if bad_pieces:
            self.ledger.counts["bad loads"] += 1
            self.bad_loads.append(self.loading)
        eventlet.spawn(self.load_layers, self.loading, missing)
        return "202 Accepted"

    def load_layers(self, load: Load, layers: list[int]) -> None:
        """
        Load layers, unless the engine crashes meanwhile.

        Layers of another version are loaded once no runs are left.
        """
        while self.running and self.switching and self.loading is load:
            eventlet.sleep(0.01)
        if self.loading is load and self.switching:
            self.drop_layers(list(self.layers))
        eventlet.sleep(LOAD_DURATION_S)
        if self.loading is load:
            self.loading = None
            self.layers.update(dict.fromkeys(layers, load))
            self.loaded_at = time.monotonic()

    def drop_layers(self, layers: Iterable[int]) -> None:
        """Drop layers; count the bad loads of which nothing is left."""
        for layer in layers:
            del self.layers[layer]
        for load in list(self.bad_loads):
            is_left = any(self.layers.get(each) is load for each in load.bad_pieces)
            if load is not self.loading and not is_left:
                self.bad_loads.remove(load)
                self.ledger.counts["bad loads dropped unused"] += not load.generated

    def record_event(self, layers: dict[int, Load]) -> None:
        """Record an event; report each bad load that generated it once."""
        bad_loads = {load for layer, load in layers.items() if layer in load.bad_pieces}
        self.ledger.counts["events from bad loads"] += bool(bad_loads)
        for load in bad_loads:
            if load.generated:
                continue
            load.generated = True
            self.ledger.record_violation(
                "whole",
                f"{self.server_id}: generated with version {load.version}, bad pieces"
                f" by layer: {load.bad_pieces}",
            )

    def simulate_work(self, run: Run, duration_s: float) -> None:
        """Sleep for a time; raise CrashedError if the run was ended meanwhile."""
        remaining_s = max(0.0, run.ends_at - time.monotonic())
        super().simulate_work(run, min(duration_s, remaining_s))
        if time.monotonic() >= run.ends_at:
            raise CrashedError
        if run.started_at <= self.aborted_at:
            run.interrupted = True
            raise CrashedError

    def wait_in_queue(self, request: Request, ends_at: float) -> None:
        """
        Wait until the queue moves, the time limit passes or a switch begins.

        Raise CrashedError if the engine crashed meanwhile or the request was cancelled.
        """
        server_id = self.server_id
        self.running += 1  # it occupies a place as runs do
        while time.monotonic() < min(self.queue_held_until, ends_at):
            if server_id != self.server_id or self.switching or is_cancelled(request):
                break
            eventlet.sleep(QUEUE_POLL_INTERVAL_S)
        if server_id != self.server_id:
            raise CrashedError
        self.running -= 1
        if is_cancelled(request):
            self.ledger.counts["cancelled in the queue"] += 1
            raise CrashedError

    def run_stream(self, request: Request) -> Reply:
        """Run a request whose path ends with the number of its last event."""
        delay_s = self.request_delay_s
        eventlet.sleep(delay_s)
        ends_at = read_time_limit(request)
        refusal = self.check_admission(request)
        if refusal is not None:
            return refusal
        # A cancellation is delayed as well, for longer than requests take here.
        if not delay_s:
            self.wait_in_queue(request, ends_at)
        if time.monotonic() >= ends_at:
            self.ledger.counts["refused in the queue at the time limit"] += 1
            return self.refuse(request, "503 Service Unavailable")
        if len(self.layers) < LAYER_COUNT:
            return self.refuse(request, "421 Misdirected Request")
        if self.switching:
            return self.refuse(request, "503 Service Unavailable")
        expected_version = request.headers.get("Expect-Version")
        if expected_version is not None and int(expected_version) != self.held_version:
            return self.refuse(request, "421 Misdirected Request")
        run = self.begin_run(request)
        run.ends_at = ends_at
        headers = [
            *self.make_headers(request, run),
            ("Content-Type", "text/event-stream"),
        ]
        if time.monotonic() < self.unframed_until:
            end = random.Random(run.seal).choice(list(UnframedEnd))
            events = self.stream_unframed_events(request, run, end)
            raise UnframedResponse(Reply("200 OK", events, headers))
        return Reply("200 OK", self.stream_events(request, run), headers)

    def stream_unframed_events(
        self, request: Request, run: Run, end: UnframedEnd
    ) -> Generator[bytes, None, None]:
        """Yield some of the events and then what comes before the given end."""
        events = self.stream_events(request, run)
        self.ledger.counts[f"unframed: {end}"] += 1
        if end is UnframedEnd.WHOLE:
            yield from events
            return
        run.interrupted = True
        event = next(events, b"")
        if end is not UnframedEnd.EMPTY:
            yield event
            yield next(events, event)[: len(event) // 2]
        events.close()
        if end is UnframedEnd.ENDLESS:
            # A link goes on reading after an entry has closed its side.
            yield from itertools.repeat(ENDLESS_BLOCK, ENDLESS_BLOCK_COUNT)

    def stream_events(self, request: Request, run: Run) -> Generator[bytes, None, None]:
        """Yield the events after ``Last-Event-Id`` up to the requested last one."""
        request_id = request.headers["Request-Id"]
        last = int(request.path.rsplit("/", 1)[1])
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        layers = dict(self.layers)  # a run keeps the layers with which it began
        try:
            for number in range(first, last + 1):
                self.simulate_work(run, EVENT_INTERVAL_S)
                if not run.begun_at:
                    run.begun_at = time.monotonic()
                    run.version = layers[0].version
                self.record_event(layers)
                yield make_event(request_id, number)
        finally:
            self.running = max(0, self.running - 1)


def read_time_limit(request: Request) -> float:
    """Return when a request that arrives now must have ended, infinity for never."""
    remaining_ms = request.headers.get("Deadline-Ms")
    return inf if remaining_ms is None else time.monotonic() + int(remaining_ms) / 1000


def is_cancelled(request: Request) -> bool:
    """Return whether the sender of a request has closed its connection."""
    if request.connection is None:
        return False
    poll = patcher.original("select").poll()
    poll.register(request.connection, select.POLLRDHUP)
    return bool(poll.poll(0))
