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

from .chunk_state import ChunkReplyState

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard
    from primroselever_core.identifiers import ChunkDigest, VmId, WeightsDigest
    from primroselever_core.transfer.section import TransfersSection
    from primroselever_core.transfer.uploads import UploadPlanner

    from .instruments import TransferInstruments

MAX_CHUNK_WAIT_S = 2.0


@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """
    A peer's request for a chunk.

    ``wait_s`` is how long the call may be held open, in seconds, ``asker`` the peer
    that sends the request, and ``hops`` how often the peer was already referred to
    another holder.
    """

    weights_digest: WeightsDigest
    index: int
    wait_s: float
    asker: VmId
    hops: int
    chunk_digest: ChunkDigest


class ChunkServing:
    """Serves verified chunks and manifests to other agents."""

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
        """Return the text of a version's manifest if it is wanted here, or nothing."""
        wanted = self.section.wanted
        name = VersionName(model, adapter or None, version)
        return wanted.text if wanted is not None and wanted.name == name else b""

    def answer_request(self, request: ChunkRequest) -> Any:
        """
        Reply with a chunk, another holder to ask, or when to ask again.

        The call is held open while the chunk is still being fetched. Chunks are
        looked up by digest, so a chunk that several versions share serves them all.
        """
        digest = request.chunk_digest
        data = self.section.store.get(digest)
        if data is None and not self.is_wanted(request.weights_digest):
            self.section.unknown_digest_requested = True
            return self.new_reply(ChunkReplyState.UNKNOWN)
        if data is None and request.wait_s > 0:
            self.wait_for_chunk(digest, min(MAX_CHUNK_WAIT_S, request.wait_s))
            data = self.section.store.get(digest)
        if data is not None:
            return self.send_chunk(data, request)
        planner = self.section.planner
        reading = planner is not None and planner.is_reading_outside(request.index)
        return self.new_reply(
            ChunkReplyState.READING if reading else ChunkReplyState.PENDING
        )

    def is_wanted(self, weights_digest: WeightsDigest) -> bool:
        """Return whether this agent wants these weights itself."""
        wanted = self.section.wanted
        return wanted is not None and wanted.digest == weights_digest

    def send_chunk(self, data: bytes, request: ChunkRequest) -> Any:
        """Send a chunk once the link is free, or name a holder or a retry time."""
        now = clock.now()
        asker, near = request.asker, self.is_in_own_domain(request.asker)
        upload = self.uploads.decide(
            request.chunk_digest, len(data), asker, near, request.hops, now
        )
        if isinstance(upload, SendElsewhere):
            return self.new_reply(ChunkReplyState.ELSEWHERE, ask_vm_id=upload.vm_id)
        if isinstance(upload, Busy):
            wait_ms = int((upload.retry_at - now) * 1000)
            return self.new_reply(ChunkReplyState.READING, retry_after_ms=wait_ms)
        assert isinstance(upload, Send)
        eventlet.sleep(max(0.0, upload.at - now))
        self.instruments.sent.add(len(data))
        return self.new_reply(ChunkReplyState.HELD, data)

    def is_in_own_domain(self, vm_id: VmId) -> bool:
        """Return whether a VM is in this failure domain."""
        vm = self.board.members.vms.get(vm_id)
        own_domain = self.board.identity.failure_domain
        return vm is not None and vm.failure_domain == own_domain

    def wait_for_chunk(self, digest: ChunkDigest, timeout_s: float) -> None:
        """Block until a chunk is held or the timeout passes."""
        event = Event()
        events = self.waiting.setdefault(digest, set())
        events.add(event)
        with eventlet.Timeout(timeout_s, False):
            event.wait()
        events.discard(event)
        if not events and self.waiting.get(digest) is events:
            del self.waiting[digest]

    def wake_waiting_calls(self, digest: ChunkDigest) -> None:
        """Wake the calls that wait for a chunk that is now held."""
        for event in self.waiting.pop(digest, ()):
            event.send()

    def new_reply(
        self,
        state: ChunkReplyState,
        data: bytes = b"",
        retry_after_ms: int = 0,
        ask_vm_id: str = "",
    ) -> Any:
        """Return a reply to a request for a chunk."""
        return schema.ChunkReply(
            state=state, data=data, retry_after_ms=retry_after_ms, ask_vm_id=ask_vm_id
        )
