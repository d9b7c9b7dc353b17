"""Serving chunks and manifests to other agents."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import eventlet
from eventlet.event import Event

from primroselever_core.transfer.manifest import VersionName
from primroselever_core.transfer.uploads import Busy, Send, SendElsewhere
from primroselever_node import clock
from primroselever_node.rpc.schema import schema

from .chunk_state import ChunkState

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard
    from primroselever_core.identifiers import ChunkDigest, VmId, WeightsDigest
    from primroselever_core.transfer.section import TransfersSection
    from primroselever_core.transfer.uploads import UploadPlanner

    from .instruments import TransferInstruments

MAX_WAIT_S = 2.0


@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """
    A peer's request for a chunk.

    ``wait_s`` is how long the call may be held open, ``asker`` the peer, and ``hops``
    how many holders have already named another one to it.
    """

    weights_digest: WeightsDigest
    index: int
    wait_s: float
    asker: VmId
    hops: int
    chunk_digest: ChunkDigest


class ChunkServing:
    """Answers other agents from the verified chunks held here."""

    def __init__(
        self,
        board: Blackboard,
        section: TransfersSection,
        uploads: UploadPlanner,
        instruments: TransferInstruments,
    ) -> None:
        self.board = board
        self.section = section
        self.uploads = uploads
        self.instruments = instruments
        self.waiting: dict[ChunkDigest, set[Event]] = {}

    def find_manifest(self, model: str, adapter: str, version: str) -> bytes:
        """Return the text of the manifest that is wanted for a version."""
        wanted = self.section.wanted
        name = VersionName(model, adapter or None, version)
        return wanted.text if wanted is not None and wanted.name == name else b""

    def chunk(self, request: ChunkRequest) -> Any:
        """
        Return a chunk, a holder to ask, or when to ask again.

        The call is held open for a chunk that is still on its way. A chunk that
        stands in several versions is the same in all of them.
        """
        digest = request.chunk_digest
        data = self.section.store.get(digest)
        if data is None and not self.wanted(request.weights_digest):
            self.section.other_asked = True
            return self.reply(ChunkState.UNKNOWN)
        if data is None and request.wait_s > 0:
            self.wait(digest, min(MAX_WAIT_S, request.wait_s))
            data = self.section.store.get(digest)
        if data is not None:
            return self.send(data, request)
        planner = self.section.planner
        reading = planner is not None and planner.reading_outside(request.index)
        return self.reply(ChunkState.READING if reading else ChunkState.PENDING)

    def wanted(self, weights_digest: WeightsDigest) -> bool:
        """Return whether this agent is after a version itself."""
        wanted = self.section.wanted
        return wanted is not None and wanted.digest == weights_digest

    def send(self, data: bytes, request: ChunkRequest) -> Any:
        """Return a chunk once the link is free for it, or whom to ask."""
        now = clock.now()
        asker, near = request.asker, self.is_near(request.asker)
        answer = self.uploads.decide(
            request.chunk_digest, len(data), asker, near, request.hops, now
        )
        if isinstance(answer, SendElsewhere):
            return self.reply(ChunkState.ELSEWHERE, ask_vm_id=answer.vm_id)
        if isinstance(answer, Busy):
            wait_ms = int((answer.retry_at - now) * 1000)
            return self.reply(ChunkState.READING, retry_after_ms=wait_ms)
        assert isinstance(answer, Send)
        eventlet.sleep(max(0.0, answer.at - now))
        self.instruments.sent.add(len(data))
        return self.reply(ChunkState.HELD, data)

    def is_near(self, vm_id: VmId) -> bool:
        """Return whether a VM stands in this failure domain."""
        vm = self.board.members.vms.get(vm_id)
        home = self.board.identity.failure_domain
        return vm is not None and vm.failure_domain == home

    def wait(self, digest: ChunkDigest, timeout_s: float) -> None:
        """Block until a chunk is held, or the time is over."""
        event = Event()
        events = self.waiting.setdefault(digest, set())
        events.add(event)
        with eventlet.Timeout(timeout_s, False):
            event.wait()
        events.discard(event)
        if not events and self.waiting.get(digest) is events:
            del self.waiting[digest]

    def arrived(self, digest: ChunkDigest) -> None:
        """Wake whoever waits for a chunk."""
        for event in self.waiting.pop(digest, ()):
            event.send()

    def reply(
        self,
        state: ChunkState,
        data: bytes = b"",
        retry_after_ms: int = 0,
        ask_vm_id: str = "",
    ) -> Any:
        """Return a reply."""
        return schema.ChunkReply(
            state=state, data=data, retry_after_ms=retry_after_ms, ask_vm_id=ask_vm_id
        )
