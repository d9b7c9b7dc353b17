"""Filling an engine: pieces from entries, verified, staged, verified again, loaded."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import eventlet
from opentelemetry.metrics import get_meter

from primroselever_core.filling.pieces import PieceDigests, Staging, piece_owners
from primroselever_core.filling.switching import (
    CLOSE_AHEAD_S,
    closing_time,
    expected_complete_at,
)
from primroselever_node import clock
from primroselever_node.direct.schema import schema
from primroselever_node.direct.sources import SourceError
from primroselever_node.logs import log_decision
from primroselever_node.rpc.client_pool import (
    ClientPool,
    LostReplyError,
    NeverSentError,
)

if TYPE_CHECKING:
    from primroselever_core.filling.section import FillingBoard, WantedWeights
    from primroselever_node.direct.sources import EngineState, ModelServer

    from .news import NewsController

STEP_S = 0.05
RETRY_S = 0.3  # an entry that lacks a piece waits for it itself
PIECES_AT_ONCE = 6  # keeps a link of 4 Mbit/s busy over a delay of some 10 ms
PIECE_TIMEOUT_S = 2.0  # six pieces of 32 KiB on such a link take 0.4 s
# While an engine serves, requests share the link with what is in flight of a fill:
# two slices delay them by 35 ms at most on a link of 4 Mbit/s.
SLICE_BYTES = 8192
SLICES_AT_ONCE = 2
VERIFIED_FOR_S = 1.0  # what lies in the staging area may turn bad at any time
ANNOUNCE_S = 0.03  # datagrams arrive, so that entries send nothing that is refused
PLANNED_FROM_SHARE = 0.4  # of the pieces; before that the pace is not known well
PLAN_CHANGE_S = 0.15  # smaller changes of a plan are not worth telling
CLOSE_GIVEN_UP_S = 0.5
LOAD_TIMEOUT_S = 15.0  # the longest answers take some seconds, loading under one

logger = logging.getLogger(__name__)


class WantedChangedError(Exception):
    """Other weights are wanted than those that are being filled."""


class FillingController:
    """Writes the staging section and gives the engine its orders."""

    def __init__(
        self,
        board: FillingBoard,
        server: ModelServer,
        news: NewsController,
        control_port: int,
    ) -> None:
        self.board = board
        self.server = server
        self.news = news
        self.control_port = control_port
        self.pool = ClientPool(schema.DirectPeer)
        self.manifest: PieceDigests | None = None
        self.verified_at = 0.0
        meter = get_meter("primroselever.direct")
        self.fill_times = meter.create_histogram(
            "primroselever.direct.fill.duration", "s", "From wanted to loaded"
        )

    def start(self) -> None:
        """Work in a greenlet of its own."""
        eventlet.spawn(self.run)

    def run(self) -> None:
        """Fill and switch for good."""
        while True:
            try:
                self.step()
            except WantedChangedError:
                continue
            except SourceError as exc:
                logger.warning("filling is interrupted", extra={"error": str(exc)})
                eventlet.sleep(RETRY_S)
            except Exception:
                logger.exception("a step of filling failed")
                eventlet.sleep(RETRY_S)
            finally:
                self.board.switching = False
                self.board.closes_at = None
            eventlet.sleep(STEP_S)

    def step(self) -> None:
        """Bring the engine to the wanted weights, if it does not serve them."""
        wanted, state = self.target(), self.news.state
        if wanted is None or state is None or state.loading:
            return
        begun_at = clock.now()
        staging = self.begin(wanted)
        self.fill(wanted, staging)
        completed_at = clock.now()
        log_decision(
            "staging complete",
            f"{wanted.model}/{wanted.version}",
            "verified",
            "all digests fit",
            took_s=round(completed_at - begun_at, 3),
        )
        self.await_turn(wanted)
        self.switch(wanted, staging)
        self.fill_times.record(clock.now() - begun_at)

    def target(self) -> WantedWeights | None:
        """Return what the engine is to be filled with now, None for nothing."""
        state, staging = self.news.state, self.board.staging
        newest = self.board.targets.newest
        if state is None or newest is None:
            return None
        served = state.version if state.model == newest.model else 0
        filling, share = 0, 0.0
        if staging is not None:
            filling = staging.wanted.version
            share = len(staging.held) / max(1, len(staging.wanted.digests))
        return self.board.targets.choose(served, filling, share, clock.now())

    def begin(self, wanted: WantedWeights) -> Staging:
        """Return the staging area with what it holds of the wanted version."""
        manifest = self.manifest
        if manifest is None or (manifest.model, manifest.version) != (
            wanted.model,
            wanted.version,
        ):
            try:
                manifest = self.manifest = self.read_manifest(wanted)
            except SourceError:
                self.board.targets.unavailable(wanted.version, clock.now())
                raise
        staging = self.board.staging = Staging(manifest)
        self.verify(wanted, staging)
        return staging

    def read_manifest(self, wanted: WantedWeights) -> PieceDigests:
        """Return the digests from an entry, or raise ``SourceError``."""
        for host in self.sources(wanted, -1):
            digests = self.ask(
                host, "fetch_digests", wanted.model, wanted.version, False
            )
            if digests:
                return PieceDigests(wanted.model, wanted.version, tuple(digests))
        raise SourceError("no entry has the digests")

    def verify(self, wanted: WantedWeights, staging: Staging) -> None:
        """Read the staging area back and keep what fits."""
        staging.held.clear()
        for index in sorted(self.server.staged(wanted.model)):
            if index >= len(staging.wanted.digests):
                continue
            data = self.server.read_staged(wanted.model, index)
            if data is not None and staging.wanted.fits(index, data):
                staging.held.add(index)
        self.verified_at = clock.now()

    def fill(self, wanted: WantedWeights, staging: Staging) -> None:
        """Fetch and stage what is missing, several pieces at once."""
        begun_at, at_begin = clock.now(), len(staging.held)
        while not staging.complete:
            self.check_wanted(wanted)
            self.plan(wanted, staging, begun_at, at_begin)
            workers = SLICES_AT_ONCE if self.serving() else PIECES_AT_ONCE
            pool = eventlet.GreenPool(workers)
            failures: list[str] = []
            for _ in range(workers):
                pool.spawn(self.work, wanted, staging, failures)
            while pool.running():
                self.plan(wanted, staging, begun_at, at_begin)
                eventlet.sleep(STEP_S)
            if failures and not staging.complete:
                self.board.targets.unavailable(wanted.version, clock.now())
                log_decision(
                    "pieces missing",
                    f"{wanted.model}/{wanted.version}",
                    f"{len(staging.held)} of {len(staging.wanted.digests)}",
                    failures[0],
                )
                eventlet.sleep(RETRY_S)
        self.plan(wanted, staging, begun_at, at_begin)

    def work(
        self, wanted: WantedWeights, staging: Staging, failures: list[str]
    ) -> None:
        """Fetch pieces one after the other until none is left or one fails."""
        while wanted.same_version(self.target()):
            index = staging.next_piece()
            if index is None:
                return
            staging.asked.add(index)
            try:
                self.fetch(wanted, staging, index)
            except SourceError as exc:
                failures.append(str(exc))
                return
            finally:
                staging.asked.discard(index)

    def fetch(self, wanted: WantedWeights, staging: Staging, index: int) -> None:
        """Fetch one piece from its owners in turn and stage it."""
        reason = "no entry is known"
        for host in self.sources(wanted, index):
            data = self.read_from(host, wanted, index)
            if data is None:
                reason = f"{host} did not answer, or does not have it yet"
            elif not staging.wanted.fits(index, data):
                reason = f"{host} sent other bytes"
            else:
                self.server.stage(wanted.model, index, data)
                staging.held.add(index)
                return
        raise SourceError(f"piece {index}: {reason}")

    def read_from(self, host: str, wanted: WantedWeights, index: int) -> bytes | None:
        """Return a piece as an entry sends it, in slices while the engine serves."""
        length = SLICE_BYTES if self.serving() else 0
        data = b""
        while True:
            reply = self.ask(
                host,
                "fetch_piece",
                wanted.model,
                wanted.version,
                index,
                False,
                len(data),
                length,
            )
            if reply is not None and reply.state == "reading":
                if not wanted.same_version(self.target()):
                    return None
                continue
            if reply is None or reply.state != "held":
                return None
            data += reply.data
            if not reply.data or len(data) >= reply.size:
                return data

    def serving(self) -> bool:
        """Return whether the engine may answer requests now."""
        state = self.news.state
        if state is None or state.version == 0:
            return False
        wanted = self.target()
        return wanted is None or clock.now() < wanted.bound_at

    def sources(self, wanted: WantedWeights, index: int) -> list[str]:
        """Return the entries to ask, owners in this failure domain first."""
        here = self.board.hosts_here()
        elsewhere = self.board.hosts_elsewhere()
        ranked = piece_owners(wanted.model, wanted.version, index, here)[:3]
        ranked += piece_owners(wanted.model, wanted.version, index, elsewhere)[:1]
        return ranked

    def ask(self, host: str, method: str, *args: Any) -> Any:
        """Call an entry; return None when it does not answer."""
        try:
            return self.pool.call_again(
                (host, self.control_port), method, *args, timeout_s=PIECE_TIMEOUT_S
            )
        except (NeverSentError, LostReplyError) as exc:
            logger.info("an entry did not answer", extra={"error": str(exc)})
            return None

    def await_turn(self, wanted: WantedWeights) -> None:
        """Wait until it is this engine's turn to load."""
        while (closes_at := self.board.closes_at) is not None and self.serving():
            left = closes_at - clock.now()
            if left <= 0:
                return
            self.check_wanted(wanted)
            eventlet.sleep(min(STEP_S, left))

    def plan(
        self, wanted: WantedWeights, staging: Staging, begun_at: float, at_begin: int
    ) -> None:
        """Plan when the engine closes, and close it when that time has come."""
        if not self.serving():
            self.board.closes_at = None
            return
        now = clock.now()
        total, held = len(staging.wanted.digests), len(staging.held)
        if held < PLANNED_FROM_SHARE * total:
            return
        complete_at = expected_complete_at(begun_at, at_begin, held, total, now)
        if complete_at is None:
            return
        planned = closing_time(
            complete_at, wanted.bound_at, wanted.rank, wanted.group_size
        )
        known = self.board.closes_at
        if known is None:
            log_decision(
                "switch planned",
                f"{wanted.model}/{wanted.version}",
                f"in {planned - now:.2f} s",
                "engines of a group close one after the other",
                rank=wanted.rank,
                group_size=wanted.group_size,
                complete_in_s=round(complete_at - now, 2),
            )
        if known is None or abs(known - planned) > PLAN_CHANGE_S:
            self.board.closes_at = planned
        closing = planned <= now and complete_at - now <= CLOSE_AHEAD_S
        if closing and not self.board.switching:
            self.board.switching = True
            self.news.report()
        elif (
            not closing
            and self.board.switching
            and complete_at - now > (CLOSE_AHEAD_S + CLOSE_GIVEN_UP_S)
        ):
            # The last pieces do not come: better serve old weights than none.
            self.board.switching = False
            self.news.report()

    def check_wanted(self, wanted: WantedWeights) -> None:
        """Raise ``WantedChangedError`` when other weights are wanted."""
        if not wanted.same_version(self.target()):
            raise WantedChangedError

    def switch(self, wanted: WantedWeights, staging: Staging) -> None:
        """Order the engine to load, and wait until it serves what was ordered."""
        if clock.now() - self.verified_at > VERIFIED_FOR_S:
            self.verify(wanted, staging)
            if not staging.complete:
                missing = len(staging.wanted.digests) - len(staging.held)
                log_decision(
                    "staging spoilt",
                    f"{wanted.model}/{wanted.version}",
                    "fetch again",
                    f"{missing} pieces do not fit any more",
                )
                self.fill(wanted, staging)
        state = self.news.state
        if state is None:
            return
        if state.version > 0:
            self.board.switching = True
            self.news.report()
            eventlet.sleep(ANNOUNCE_S)
        begun = self.server.load(wanted.model, wanted.version, state.sequence)
        log_decision(
            "engine ordered",
            f"{wanted.model}/{wanted.version}",
            "begun" if begun else "refused",
            "staging verified",
            sequence=state.sequence,
            verified_ms=round((clock.now() - self.verified_at) * 1000),
        )
        if begun:
            self.await_loaded(wanted, state)

    def await_loaded(self, wanted: WantedWeights, before: EngineState) -> None:
        """Wait until the engine says that it serves the wanted weights."""
        deadline = clock.now() + LOAD_TIMEOUT_S
        while clock.now() < deadline:
            eventlet.sleep(STEP_S)
            state = self.news.state
            if state is None or state.born_ms != before.born_ms:
                return
            if state.version == wanted.version and not state.loading:
                self.board.switching = False
                self.news.report()
                return
        logger.warning("the engine did not load in time")
