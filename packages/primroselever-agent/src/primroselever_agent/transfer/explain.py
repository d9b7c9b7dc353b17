"""Explaining from where an agent would fetch a chunk, without fetching it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.transfer.ownership import owners
from primroselever_node.exceptions import ExplainError

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard
    from primroselever_core.identifiers import GroupName
    from primroselever_core.transfer.section import TransfersSection


class ChunkExplainer:
    """Answers an agent's /explain requests from the blackboard, without changing it."""

    def __init__(
        self, board: Blackboard, section: TransfersSection, group: GroupName
    ) -> None:
        self.board = board
        self.section = section
        self.group = group

    def explain(self, query: dict[str, str]) -> dict[str, Any]:
        """Return the source of the chunk in ``query``, and its owners in order."""
        manifest = self.section.wanted
        if manifest is None:
            raise ExplainError(
                "this agent wants no version yet; ask again once a profile is in force"
            )
        last_index = len(manifest.chunks) - 1
        number = query.get("chunk", "")
        if not number.isdecimal() or int(number) > last_index:
            raise ExplainError(
                f"chunk must be a number from 0 to {last_index}, such as chunk=0"
            )
        index = int(number)
        own_vm_id = self.board.identity.vm_id
        domain = self.board.identity.failure_domain
        vms = self.board.members.agents(self.group, domain)
        ranking = owners(
            manifest.digest, index, [vm.vm_id for vm in vms] or [own_vm_id]
        )
        if self.section.store.get(manifest.chunks[index]) is not None:
            source, reason = "memory", "verified and held"
        elif ranking[0] == own_vm_id:
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
