"""From where an agent would fetch a chunk now, without fetching it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.transfer.ownership import owners
from primroselever_node.exceptions import ExplainError

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard
    from primroselever_core.identifiers import GroupName
    from primroselever_core.transfer.section import TransfersSection


class ChunkExplainer:
    """Answers /explain of an agent; reads the blackboard and changes nothing."""

    def __init__(
        self, board: Blackboard, section: TransfersSection, group: GroupName
    ) -> None:
        self.board = board
        self.section = section
        self.group = group

    def explain(self, query: dict[str, str]) -> dict[str, Any]:
        """Return a chunk's source, and its owners in order."""
        manifest = self.section.wanted
        if manifest is None:
            raise ExplainError("no version is wanted yet, so there are no chunks")
        last = len(manifest.chunks) - 1
        number = query.get("chunk", "")
        if not number.isdecimal() or int(number) > last:
            raise ExplainError(f"name a chunk from 0 to {last}, such as chunk=0")
        index = int(number)
        mine = self.board.identity.vm_id
        domain = self.board.identity.failure_domain
        vms = self.board.members.agents(self.group, domain)
        ranking = owners(manifest.digest, index, [vm.vm_id for vm in vms] or [mine])
        if self.section.store.get(manifest.chunks[index]) is not None:
            source, reason = "memory", "verified and held"
        elif ranking[0] == mine:
            source, reason = "outside", "this VM owns the chunk in its failure domain"
        else:
            source, reason = ranking[0], "it owns the chunk in this failure domain"
        return {
            "version": manifest.version,
            "weights_digest": manifest.digest,
            "chunk": index,
            "choice": source,
            "reason": reason,
            "owners": ranking,
        }
