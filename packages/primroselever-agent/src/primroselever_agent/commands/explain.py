"""The ``explain`` command of the agent: where a chunk would come from."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroselever_node.console.explain import BaseExplainCommand

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace


class ExplainCommand(BaseExplainCommand):
    """Ask an agent from where it would fetch a chunk."""

    help = "say from where a chunk would be fetched, and why"
    description = (
        "Ask a running agent from where it would fetch a chunk of the version "
        "that its profile asks for. Nothing is fetched."
    )

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the chunk's number."""
        parser.add_argument("chunk", type=int, help="the chunk's number, from 0")

    def query(self, arguments: Namespace) -> dict[str, str]:
        """Return the question as the query of /explain."""
        return {"chunk": str(arguments.chunk)}
