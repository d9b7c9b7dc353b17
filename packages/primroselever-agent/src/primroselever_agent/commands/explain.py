"""The ``explain`` command of the agent, which reports the source of a chunk."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroselever_node.console.explain import BaseExplainCommand

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace


class ExplainCommand(BaseExplainCommand):
    """Ask a running agent from where it would fetch a chunk."""

    help = "show from where a chunk would be fetched, and why"
    description = (
        "Ask a running agent from where it would fetch a chunk of the version "
        "that its profile requests. Nothing is fetched."
    )

    def add_query_arguments(self, parser: ArgumentParser) -> None:
        """Add the argument for the chunk's number."""
        parser.add_argument("chunk", type=int, help="the chunk's number, from 0")

    def query_parameters(self, arguments: Namespace) -> dict[str, str]:
        """Return the arguments as the query parameters of /explain."""
        return {"chunk": str(arguments.chunk)}
