"""A stand-in for an agent that sends damaged chunks to its peers."""

from __future__ import annotations

from typing import Any

from primroselever_agent.transfer.chunk_state import ChunkReplyState
from primroselever_node.rpc.handler import empty_load
from primroselever_node.rpc.schema import schema
from primroselever_node.rpc.server import RpcServer

from .base import Reply, Request, StandIn, not_found


class CorruptPeer(StandIn):
    """
    Claims to hold every chunk, and returns wrong bytes of the right length.

    The faults ``vm_id`` and ``rpc_port`` identify the agent that it replaces, and
    ``chunk_bytes`` is the length of a chunk.
    """

    def __init__(self, **faults: Any) -> None:
        super().__init__(**{"host": "127.0.0.1", "chunks_given": 0, **faults})
        self.chunk = b"\xa5" * self.faults["chunk_bytes"]
        host, port = self.faults["host"], self.faults["rpc_port"]
        RpcServer(schema.Agent, self, host, port).start()

    def answer(self, request: Request) -> Reply:
        """Return 404, since only the control page is served over HTTP."""
        return not_found()

    def heartbeat(self, sender: Any) -> Any:
        """Return a heartbeat of an agent that serves nothing."""
        return schema.Heartbeat(
            vm_id=self.faults["vm_id"],
            incarnation=1,
            revision=0,
            revision_digest="",
            vm_list_revision=0,
            leaving=False,
            load=empty_load(),
            weights_digest="",
            suspicions=[],
        )

    def fetch_publication(
        self, name: str, known_revision: int, wait_ms: int, known_digest: str
    ) -> Any:
        """Return an empty publication."""
        return schema.Publication(revision=0, text=b"")

    def find_manifest(self, model: str, adapter: str, version: str) -> bytes:
        """Return an empty manifest."""
        return b""

    def fetch_chunk(self, *_arguments: Any) -> Any:
        """Return a damaged chunk and count it."""
        self.faults["chunks_given"] += 1
        return schema.ChunkReply(
            state=ChunkReplyState.HELD, data=self.chunk, retry_after_ms=0, ask_vm_id=""
        )
