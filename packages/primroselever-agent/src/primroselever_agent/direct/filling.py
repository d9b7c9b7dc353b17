"""
Filling an engine with weights.

Pieces are fetched from entries, verified, staged, verified again and loaded.
"""

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
from primroselever_node.process import spawn_task
from primroselever_node.rpc.client_pool import (
    ClientPool,
    LostReplyError,
    NeverSentError,
)

if TYPE_CHECKING:
    from primroselever_core.filling.section import FillingBoard, WantedWeights
    from primroselever_node.direct.sources import EngineState, ModelServer

    from .news import ReportController

STEP_INTERVAL_S = 0.05
RETRY_DELAY_S = 0.3  # entries also wait for missing pieces before they reply
MAX_CONCURRENT_PIECES = 6  # keeps a 4 Mbit/s link with about 10 ms delay busy
PIECE_TIMEOUT_S = 2.0  # six pieces of 32 KiB take 0.4 s on a 4 Mbit/s link
# While an engine serves, requests share the link with the slices in flight. Two slices
# delay requests by at most 35 ms on a 4 Mbit/s link.
SLICE_BYTES = 8192
MAX_CONCURRENT_SLICES = 2
VERIFICATION_VALID_S = 1.0  # staged data may become corrupt at any time
# Time for the report of a switch to reach entries before the engine refuses requests.
ANNOUNCE_DELAY_S = 0.03
MIN_SHARE_FOR_PLAN = 0.4  # of the pieces; with fewer, the rate is uncertain
MIN_PLAN_CHANGE_S = 0.15  # smaller changes of a plan are not reported
REOPEN_MARGIN_S = 0.5  # a closed engine reopens if its fill is this much delayed
PROBE_INTERVAL_S = 0.3  # between attempts to fetch the first piece of a newer version
LOAD_TIMEOUT_S = 15.0  # the longest answers take several seconds, loading under 1 s

logger = logging.getLogger(__name__)


class WantedChangedError(Exception):
    """The wanted weights changed during a fill."""


class FillingController:
    """Writes the blackboard's staging section and orders the engine to load."""

    def __init__(
        self,
        board: FillingBoard,
        model_server: ModelServer,
        report_controller: ReportController,
        control_port: int,
    ) -> None:
        self.board = board
        self.model_server = model_server
        self.report_controller = report_controller
        self.control_port = control_port
        self.entry_clients = ClientPool(schema.DirectPeer)
        self.manifest: PieceDigests | None = None
        self.verified_at = 0.0
        self.probing = False
        self.probe_again_at = 0.0
        meter = get_meter("primroselever.direct")
        self.fill_durations = meter.create_histogram(
            "primroselever.direct.fill.duration", "s", "From wanted to loaded"
        )

    def start(self) -> None:
        """Start filling in a separate greenlet."""
        eventlet.spawn(self.run)

    def run(self) -> None:
        """Fill and switch the engine until the process ends."""
        while True:
            try:
                self.fill_and_switch()
            except WantedChangedError:
                continue
            except SourceError as exc:
                logger.warning(
                    "filling the engine failed, it is retried",
                    extra={"error": str(exc)},
                )
                eventlet.sleep(RETRY_DELAY_S)
            except Exception:
                logger.exception("unexpected error while filling the engine")
                eventlet.sleep(RETRY_DELAY_S)
            finally:
                self.board.switching = False
                self.board.closes_at = None
            eventlet.sleep(STEP_INTERVAL_S)

    def fill_and_switch(self) -> None:
        """Fill the engine with the wanted weights, unless it serves them already."""
        wanted, state = self.current_target(), self.report_controller.state
        if wanted is None or state is None or state.loading:
            return
        started_at = clock.now()
        staging = self.prepare_staging(wanted)
        self.fetch_missing_pieces(wanted, staging)
        completed_at = clock.now()
        log_decision(
            "staging complete",
            f"{wanted.model}/{wanted.version}",
            "verified",
            "all digests match",
            took_s=round(completed_at - started_at, 3),
        )
        self.wait_for_closing_time(wanted)
        self.switch_weights(wanted, staging)
        self.fill_durations.record(clock.now() - started_at)

    def current_target(self) -> WantedWeights | None:
        """Return the weights to fill the engine with now, or None."""
        state, staging = self.report_controller.state, self.board.staging
        newest = self.board.targets.newest
        if state is None or newest is None:
            return None
        served_version = state.version if state.model == newest.model else 0
        filling_version, held_share = 0, 0.0
        if staging is not None:
            filling_version = staging.wanted.version
            held_share = len(staging.held) / max(1, len(staging.wanted.digests))
        return self.board.targets.choose_version(
            served_version, filling_version, held_share, clock.now()
        )

    def prepare_staging(self, wanted: WantedWeights) -> Staging:
        """Return the staging area with the valid pieces of the wanted version."""
        manifest = self.manifest
        if manifest is None or (manifest.model, manifest.version) != (
            wanted.model,
            wanted.version,
        ):
            try:
                manifest = self.manifest = self.read_manifest(wanted)
            except SourceError:
                self.board.targets.mark_unavailable(wanted.version, clock.now())
                raise
        staging = self.board.staging = Staging(manifest)
        self.verify_staging(wanted, staging)
        return staging

    def read_manifest(self, wanted: WantedWeights) -> PieceDigests:
        """Return the digests from an entry; raise ``SourceError`` if none has them."""
        # The index -1 takes the place of a piece index in the ranking of owners.
        for host in self.source_hosts(wanted, -1):
            digests = self.call_entry(
                host, "fetch_digests", wanted.model, wanted.version, False, 0
            )
            if digests:
                return PieceDigests(wanted.model, wanted.version, tuple(digests))
        raise SourceError("no entry has the digests")

    def verify_staging(self, wanted: WantedWeights, staging: Staging) -> None:
        """Read the staging area back and mark the pieces with valid digests as held."""
        staging.held.clear()
        for index in sorted(self.model_server.list_staged(wanted.model)):
            if index >= len(staging.wanted.digests):
                continue
            data = self.model_server.read_staged(wanted.model, index)
            if data is not None and staging.wanted.matches(index, data):
                staging.held.add(index)
        self.verified_at = clock.now()

    def fetch_missing_pieces(self, wanted: WantedWeights, staging: Staging) -> None:
        """Fetch and stage the missing pieces, several at a time."""
        started_at, held_at_start = clock.now(), len(staging.held)
        while not staging.complete:
            self.check_still_wanted(wanted)
            self.plan_closing(wanted, staging, started_at, held_at_start)
            worker_count = (
                MAX_CONCURRENT_SLICES if self.may_serve() else MAX_CONCURRENT_PIECES
            )
            failures: list[str] = []
            workers = [
                eventlet.spawn(self.fetch_pieces, wanted, staging, failures)
                for _ in range(worker_count)
            ]
            try:
                while not all(worker.dead for worker in workers):
                    self.check_still_wanted(wanted)
                    self.plan_closing(wanted, staging, started_at, held_at_start)
                    self.probe_newer_version(wanted)
                    eventlet.sleep(STEP_INTERVAL_S)
            finally:
                for worker in workers:
                    worker.kill()
            if failures and not staging.complete:
                self.board.targets.mark_unavailable(wanted.version, clock.now())
                log_decision(
                    "pieces missing",
                    f"{wanted.model}/{wanted.version}",
                    f"{len(staging.held)} of {len(staging.wanted.digests)}",
                    failures[0],
                )
                eventlet.sleep(RETRY_DELAY_S)
        if not held_at_start:
            self.board.targets.fill_s = clock.now() - started_at
        self.plan_closing(wanted, staging, started_at, held_at_start)

    def probe_newer_version(self, wanted: WantedWeights) -> None:
        """
        Start to fetch the first piece of a newer version, to learn if it is available.

        The fill in progress continues meanwhile. It is not replaced by one whose
        pieces no entry can send yet.
        """
        newer = self.board.targets.find_unconfirmed(wanted.version)
        if newer is None or self.probing or clock.now() < self.probe_again_at:
            return
        self.probing = True
        spawn_task(self.run_probe, newer)

    def run_probe(self, newer: WantedWeights) -> None:
        """Fetch the first piece of a newer version and record that it arrived."""
        try:
            self.fetch_piece(self.read_manifest(newer), newer, 0)
        except SourceError as exc:
            logger.info(
                "a newer version is not available yet", extra={"error": str(exc)}
            )
        else:
            self.board.targets.confirm_available(newer.version)
            log_decision(
                "weights available",
                f"{newer.model}/{newer.version}",
                "confirmed",
                "an entry sent the first piece",
            )
        finally:
            self.probing = False
            self.probe_again_at = clock.now() + PROBE_INTERVAL_S

    def fetch_pieces(
        self, wanted: WantedWeights, staging: Staging, failures: list[str]
    ) -> None:
        """Fetch pieces one by one until none is left or one fails."""
        while True:
            index = staging.next_piece()
            if index is None:
                return
            staging.requested.add(index)
            try:
                self.fetch_and_stage_piece(wanted, staging, index)
            except SourceError as exc:
                failures.append(str(exc))
                return
            except Exception as exc:
                logger.exception("unexpected error while fetching a piece")
                failures.append(f"{type(exc).__name__}: {exc}")
                return
            finally:
                staging.requested.discard(index)

    def fetch_and_stage_piece(
        self, wanted: WantedWeights, staging: Staging, index: int
    ) -> None:
        """Fetch one piece and stage it, or raise ``SourceError``."""
        data = self.fetch_piece(staging.wanted, wanted, index)
        self.model_server.stage_piece(wanted.model, index, data)
        staging.held.add(index)
        staging.last_piece_at = clock.now()

    def fetch_piece(
        self, manifest: PieceDigests, wanted: WantedWeights, index: int
    ) -> bytes:
        """
        Return one piece from the first owner that has it.

        Raise ``SourceError`` if no owner sends the correct bytes.
        """
        reason = "no entry is known"
        for host in self.source_hosts(wanted, index):
            data = self.read_piece_from(host, wanted, index)
            if data is None:
                reason = f"{host} did not answer or does not have the piece yet"
            elif not manifest.matches(index, data):
                reason = f"{host} sent bytes that do not match the digest"
            else:
                return data
        raise SourceError(f"piece {index}: {reason}")

    def read_piece_from(
        self, host: str, wanted: WantedWeights, index: int
    ) -> bytes | None:
        """Return a piece from an entry, or None; read in slices if ``may_serve``."""
        slice_bytes = SLICE_BYTES if self.may_serve() else 0
        data = b""
        while True:
            reply = self.call_entry(
                host,
                "fetch_piece",
                wanted.model,
                wanted.version,
                index,
                False,
                len(data),
                slice_bytes,
                0,
            )
            if reply is not None and reply.state == "reading":
                if not wanted.same_version(self.current_target()):
                    return None
                continue
            if reply is None or reply.state != "held":
                return None
            if reply.data is None or reply.size is None:
                logger.warning("entry %s sent a piece without bytes or size", host)
                return None
            data += reply.data
            if not reply.data or len(data) >= reply.size:
                return data

    def may_serve(self) -> bool:
        """Return whether the engine has weights on which requests may start now."""
        state = self.report_controller.state
        if state is None or state.version == 0:
            return False
        wanted = self.current_target()
        return wanted is None or clock.now() < wanted.bound_at

    def source_hosts(self, wanted: WantedWeights, index: int) -> list[str]:
        """Return the owners to ask: up to three in this domain, then one elsewhere."""
        own_domain_hosts = self.board.own_domain_hosts()
        other_domain_hosts = self.board.other_domain_hosts()
        hosts = piece_owners(wanted.model, wanted.version, index, own_domain_hosts)[:3]
        hosts += piece_owners(wanted.model, wanted.version, index, other_domain_hosts)[
            :1
        ]
        return hosts

    def call_entry(self, host: str, method: str, *args: Any) -> Any:
        """Call a method of an entry; return None if it does not answer."""
        try:
            return self.entry_clients.call_with_retry(
                (host, self.control_port), method, *args, timeout_s=PIECE_TIMEOUT_S
            )
        except (NeverSentError, LostReplyError) as exc:
            logger.info("an entry did not answer a call", extra={"error": str(exc)})
            return None

    def wait_for_closing_time(self, wanted: WantedWeights) -> None:
        """Wait until the planned closing time, unless no requests may start anyway."""
        while (closes_at := self.board.closes_at) is not None and self.may_serve():
            remaining_s = closes_at - clock.now()
            if remaining_s <= 0:
                return
            self.check_still_wanted(wanted)
            eventlet.sleep(min(STEP_INTERVAL_S, remaining_s))

    def plan_closing(
        self,
        wanted: WantedWeights,
        staging: Staging,
        started_at: float,
        held_at_start: int,
    ) -> None:
        """Plan when the engine closes, and report it as switching from that time on."""
        if not self.may_serve():
            self.board.closes_at = None
            return
        now = clock.now()
        total, held = len(staging.wanted.digests), len(staging.held)
        if held < MIN_SHARE_FOR_PLAN * total:
            return
        complete_at = expected_complete_at(
            started_at, held_at_start, held, total, staging.last_piece_at, now
        )
        if complete_at is None:
            self.reopen(wanted)
            return
        new_closes_at = closing_time(
            complete_at, wanted.bound_at, wanted.rank, wanted.group_size
        )
        previous_closes_at = self.board.closes_at
        if previous_closes_at is None:
            log_decision(
                "switch planned",
                f"{wanted.model}/{wanted.version}",
                f"in {new_closes_at - now:.2f} s",
                "engines of a group close one after the other",
                rank=wanted.rank,
                group_size=wanted.group_size,
                complete_in_s=round(complete_at - now, 2),
            )
        if (
            previous_closes_at is None
            or abs(previous_closes_at - new_closes_at) > MIN_PLAN_CHANGE_S
        ):
            self.board.closes_at = new_closes_at
        should_close = new_closes_at <= now and complete_at - now <= CLOSE_AHEAD_S
        if should_close and not self.board.switching:
            self.board.switching = True
            self.report_controller.report_state()
        elif (
            not should_close
            and self.board.switching
            and complete_at - now > (CLOSE_AHEAD_S + REOPEN_MARGIN_S)
        ):
            self.reopen(wanted)

    def reopen(self, wanted: WantedWeights) -> None:
        """
        Have the engine accept work again and cancel the plan to close it.

        The last pieces are delayed, and serving old weights is better than serving
        nothing.
        """
        if self.board.closes_at is None and not self.board.switching:
            return
        self.board.closes_at = None
        self.board.switching = False
        self.report_controller.report_state()
        log_decision(
            "switch delayed",
            f"{wanted.model}/{wanted.version}",
            "open",
            "the last pieces have not arrived",
        )

    def check_still_wanted(self, wanted: WantedWeights) -> None:
        """Raise ``WantedChangedError`` if other weights are wanted now."""
        if not wanted.same_version(self.current_target()):
            raise WantedChangedError

    def switch_weights(self, wanted: WantedWeights, staging: Staging) -> None:
        """Order the engine to load the staged weights and wait until it serves them."""
        if clock.now() - self.verified_at > VERIFICATION_VALID_S:
            self.verify_staging(wanted, staging)
            if not staging.complete:
                missing_count = len(staging.wanted.digests) - len(staging.held)
                log_decision(
                    "staging corrupted",
                    f"{wanted.model}/{wanted.version}",
                    "fetch again",
                    f"{missing_count} pieces no longer match their digests",
                )
                self.fetch_missing_pieces(wanted, staging)
        state = self.report_controller.state
        if state is None:
            return
        if state.version > 0:
            self.board.switching = True
            self.report_controller.report_state()
            eventlet.sleep(ANNOUNCE_DELAY_S)
        accepted = self.model_server.order_load(
            wanted.model, wanted.version, state.sequence
        )
        log_decision(
            "engine ordered",
            f"{wanted.model}/{wanted.version}",
            "begun" if accepted else "refused",
            "staging verified",
            sequence=state.sequence,
            verified_ms=round((clock.now() - self.verified_at) * 1000),
        )
        if accepted:
            self.wait_until_loaded(wanted, state)

    def wait_until_loaded(
        self, wanted: WantedWeights, previous_state: EngineState
    ) -> None:
        """Wait until the engine reports the wanted weights, restarts or times out."""
        deadline = clock.now() + LOAD_TIMEOUT_S
        while clock.now() < deadline:
            eventlet.sleep(STEP_INTERVAL_S)
            state = self.report_controller.state
            if state is None or state.born_ms != previous_state.born_ms:
                return
            if state.version == wanted.version and not state.loading:
                self.board.switching = False
                self.report_controller.report_state()
                return
        logger.warning("the engine did not load the weights in time")
