"""Protection of the back ends from parts of prompts that crash servers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from primroselever_core.suspects.prompt_parts import part_fingerprint
from primroselever_node import clock
from primroselever_node.logs import log_decision

from .crash_watch import server_start_name

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroselever_core.direct_board import DirectBoard
    from primroselever_core.dispatch.backend import Backend
    from primroselever_core.identifiers import Fingerprint, PromptPart
    from primroselever_core.suspects.prompt_parts import HeldPart, KnownCrashes

    from .caller_request import CallerRequest

CRASHING_PART_REASON = "requests with a part of its prompt crash servers"


@dataclass(slots=True)
class PartRun:
    """What was known of the parts of a prompt when its request was sent."""

    known_crashes: KnownCrashes = field(default_factory=dict)
    trials: list[PromptPart] = field(default_factory=list)


class PartWatch:
    """Writes what the runs of one entry show of the parts of prompts."""

    def __init__(
        self, board: DirectBoard, publish_suspicion: Callable[[Fingerprint], None]
    ) -> None:
        self.board = board
        self.publish_suspicion = publish_suspicion

    def held_part(self, request: CallerRequest) -> HeldPart | None:
        """Return the part that keeps a request from being sent now, None if none."""
        records = self.board.suspects.records
        if not any(part_fingerprint(part) in records for part in request.shared_parts):
            return None
        now = clock.now()
        held = self.board.prompt_parts.held_part(
            request.shared_parts, self.live_entries(now), now
        )
        if held is not None:
            log_decision(
                "crashing prompt part",
                request.log_id,
                "not sent",
                f"the part is {held.standing}",
                part=held.part,
                crashes=held.crashes,
                retry_after_s=round(held.retry_after_s, 1),
            )
        return held

    def live_entries(self, now: float) -> list[str]:
        """Return the hosts of the live entries that do not leave."""
        peers = self.board.peers
        hosts = [peer.host for peer in peers.live(now) if not peer.leaving]
        return hosts if self.board.leaving else [*hosts, peers.own_host]

    def begin_run(self, request: CallerRequest, until: float) -> PartRun:
        """Note that a request is sent, and runs until a time at most."""
        parts = self.board.prompt_parts
        shared = request.shared_parts
        run = PartRun(
            parts.known_crashes(shared), parts.begin_trials(shared, until, clock.now())
        )
        if run.trials:
            log_decision(
                "crashing prompt part",
                request.log_id,
                "tried",
                "one request shows whether a suspect part crashes servers",
                part=run.trials[0],
            )
        return run

    def end_run(self, run: PartRun) -> None:
        """Note that a run ended, so that another one may try the same part."""
        self.board.prompt_parts.end_trials(run.trials)

    def record_broken_run(
        self, request: CallerRequest, backend: Backend, run: PartRun
    ) -> None:
        """Record a run whose connection broke, as it does when the server crashes."""
        changed = self.board.prompt_parts.record_crash(
            request.shared_parts,
            run.known_crashes,
            server_start_name(backend),
            clock.now(),
        )
        self.publish(request, changed, "suspected")

    def record_answer(self, request: CallerRequest) -> None:
        """Clear the parts of a request that was answered."""
        changed = self.board.prompt_parts.record_answer(
            request.shared_parts, clock.now()
        )
        self.publish(request, changed, "cleared")

    def publish(
        self, request: CallerRequest, fingerprints: list[Fingerprint], choice: str
    ) -> None:
        """Log and publish the records of parts that changed."""
        for fingerprint in fingerprints:
            log_decision(
                "prompt part noted",
                request.log_id,
                choice,
                "a server crashed during a run"
                if choice == "suspected"
                else "a request with the part was answered",
                fingerprint=fingerprint,
                crashes=sorted(self.board.suspects.known_crashes(fingerprint)),
            )
            self.publish_suspicion(fingerprint)
