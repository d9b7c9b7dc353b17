"""The thrift methods that both the entry and the agent serve."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.identifiers import Incarnation, VmId
from primroselever_core.membership.events import PeerReported, apply

from .. import clock
from ..logs import log_decision
from .schema import schema
from .suspicions import merge_suspicions, most_severe_to_thrift

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroselever_core.board import Blackboard

    from .publications import Publications

MAX_SERVICE_AGE_MS = 1 << 40  # about 35 years, well within the i64 of the field
MAX_SENDERS = 64  # bounds how many VMs are told that this process is leaving


class NodeHandler:
    """
    Answers heartbeats and serves publications.

    A binary sets ``load`` to a function that returns its load, and ``on_heartbeat``
    to one that is called with each heartbeat received.
    """

    def __init__(self, board: Blackboard, publications: Publications) -> None:
        self.board = board
        self.publications = publications
        self.load: Callable[[], Any] = empty_load
        self.on_heartbeat: Callable[[Any], None] = ignore_heartbeat
        self.senders: dict[VmId, float] = {}

    def own_heartbeat(self) -> Any:
        """Return a complete heartbeat of this process."""
        board = self.board
        copy = board.members.copy
        listed = board.members.vms.get(board.identity.vm_id)
        age_ms = int((clock.now() - board.profiles.service.last_answer_at) * 1000)
        heartbeat = new_heartbeat(board)
        heartbeat.load = self.load()
        heartbeat.vm_list_revision = copy.version.counter if copy.version else 0
        heartbeat.service_age_ms = min(age_ms, MAX_SERVICE_AGE_MS)
        heartbeat.failure_domain = board.identity.failure_domain
        heartbeat.address = listed.address if listed else ""
        heartbeat.rpc_port = listed.rpc_port if listed else 0
        return heartbeat

    def heartbeat(self, sender: Any) -> Any:
        """Process a sender's heartbeat and reply with this process's own."""
        self.process_heartbeat(sender)
        self.record_sender(VmId(sender.vm_id))
        return self.own_heartbeat()

    def record_sender(self, sender: VmId) -> None:
        """Record the time of a sender's heartbeat; drop the oldest beyond the limit."""
        self.senders.pop(sender, None)
        self.senders[sender] = clock.now()
        while len(self.senders) > MAX_SENDERS:
            del self.senders[next(iter(self.senders))]

    def process_heartbeat(self, heartbeat: Any) -> None:
        """Update the blackboard from a heartbeat that was received as call or reply."""
        now = clock.now()
        event = PeerReported(
            VmId(heartbeat.vm_id), Incarnation(heartbeat.incarnation), heartbeat.leaving
        )
        evidence = self.board.members.evidence.get(event.vm_id)
        if evidence is not None and evidence.failures:
            log_decision("peer", event.vm_id, "reached", "it sent a heartbeat")
        apply(event, self.board.members, now)
        if heartbeat.service_age_ms is not None:
            age_s = heartbeat.service_age_ms / 1000
            self.board.profiles.service.record_peer_report(age_s, now)
        if heartbeat.failure_domain == self.board.identity.failure_domain:
            merge_suspicions(self.board.suspects, heartbeat.suspicions)
        self.on_heartbeat(heartbeat)

    def fetch_publication(
        self, name: str, known_revision: int, wait_ms: int, known_digest: str
    ) -> Any:
        """Return a publication if it is newer than the caller's."""
        return self.publications.fetch_newer(
            name, known_revision, wait_ms, known_digest or ""
        )


def empty_load() -> Any:
    """Return the load of a process that executes no requests."""
    return schema.Load(in_flight=0, queued=0, limit=0, engine_load=0.0, engine_age_ms=0)


def new_heartbeat(board: Blackboard) -> Any:
    """Return a minimal heartbeat, sent to obtain the receiver's heartbeat in reply."""
    revision = board.profiles.revision
    transfers = board.transfers
    return schema.Heartbeat(
        vm_id=board.identity.vm_id,
        incarnation=board.identity.incarnation,
        revision=revision.number,
        revision_digest=revision.digest,
        vm_list_revision=0,
        leaving=board.leaving,
        load=empty_load(),
        weights_digest=(transfers and transfers.serving) or "",
        suspicions=most_severe_to_thrift(board.suspects),
    )


def ignore_heartbeat(_heartbeat: Any) -> None:
    """Do nothing with a heartbeat."""
