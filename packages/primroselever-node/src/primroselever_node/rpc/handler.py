"""The thrift calls that both binaries answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.identifiers import Incarnation, VmId
from primroselever_core.membership.events import PeerHeard, apply

from .. import clock
from .schema import schema
from .suspicions import merge_suspicions, to_wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroselever_core.board import Blackboard

    from .publications import Publications

LONGEST_AGE_MS = 1 << 40
MAX_SENDERS = 64


class NodeHandler:
    """
    Answers heartbeats and hands on publications.

    A binary sets ``load`` to say more of itself, and ``on_heartbeat`` to hear each
    sender.
    """

    def __init__(self, board: Blackboard, publications: Publications) -> None:
        self.board = board
        self.publications = publications
        self.load: Callable[[], Any] = empty_load
        self.on_heartbeat: Callable[[Any], None] = ignore
        self.senders: dict[VmId, float] = {}

    def own_heartbeat(self) -> Any:
        """Return all that this process says of itself."""
        board = self.board
        copy = board.members.copy
        listed = board.members.vms.get(board.identity.vm_id)
        age_ms = int((clock.now() - board.profiles.service.heard_at) * 1000)
        said = new_heartbeat(board)
        said.load = self.load()
        said.vm_list_revision = copy.version.counter if copy.version else 0
        said.service_age_ms = min(age_ms, LONGEST_AGE_MS)
        said.failure_domain = board.identity.failure_domain
        said.address = listed.address if listed else ""
        said.rpc_port = listed.rpc_port if listed else 0
        return said

    def heartbeat(self, sender: Any) -> Any:
        """Take in what a sender says of itself and answer with the same."""
        self.take_in(sender)
        self.remember(VmId(sender.vm_id))
        return self.own_heartbeat()

    def remember(self, sender: VmId) -> None:
        """Remember who lately sent a heartbeat; the oldest are forgotten first."""
        self.senders.pop(sender, None)
        self.senders[sender] = clock.now()
        while len(self.senders) > MAX_SENDERS:
            del self.senders[next(iter(self.senders))]

    def take_in(self, said: Any) -> None:
        """Take in a heartbeat, sent or answered."""
        now = clock.now()
        heard = PeerHeard(VmId(said.vm_id), Incarnation(said.incarnation), said.leaving)
        apply(heard, self.board.members, now)
        if said.service_age_ms is not None:
            age_s = said.service_age_ms / 1000
            self.board.profiles.service.heard_elsewhere(age_s, now)
        if said.failure_domain == self.board.identity.failure_domain:
            merge_suspicions(self.board.suspects, said.suspicions)
        self.on_heartbeat(said)

    def fetch_publication(
        self, name: str, known_revision: int, wait_ms: int, known_digest: str
    ) -> Any:
        """Hand on a value that is newer than what the caller knows."""
        return self.publications.fetch(
            name, known_revision, wait_ms, known_digest or ""
        )


def empty_load() -> Any:
    """Return the load of a process that runs nothing."""
    return schema.Load(in_flight=0, queued=0, limit=0, engine_load=0.0, engine_age_ms=0)


def new_heartbeat(board: Blackboard) -> Any:
    """Return a heartbeat for a process that is to say who it is itself."""
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
        suspicions=to_wire(board.suspects),
    )


def ignore(_said: Any) -> None:
    """Do nothing with a heartbeat."""
