"""The base class of both binaries' ``explain`` commands."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from .admin_client import admin_address, fetch_json
from .command import EXIT_OK, Command
from .table import format_table

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace


class BaseExplainCommand(Command):
    """Show what a running process would decide now, without making it act."""

    name = "explain"

    def configure(self, parser: ArgumentParser) -> None:
        """Add the arguments for the admin port, the output format and the query."""
        parser.add_argument(
            "admin", type=admin_address, metavar="HOST:PORT", help="the admin port"
        )
        self.add_query_arguments(parser)
        parser.add_argument("--json", action="store_true", help="print JSON")

    def handle(self, arguments: Namespace) -> int:
        """Fetch the explanation and print it."""
        explanation = fetch_json(
            arguments.admin, "/explain", self.query_parameters(arguments)
        )
        print(
            json.dumps(explanation, indent=2)
            if arguments.json
            else format_table(explanation)
        )
        return EXIT_OK

    def add_query_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments that select what to explain."""
        raise NotImplementedError

    def query_parameters(self, arguments: Namespace) -> dict[str, str]:
        """Return the query parameters for /explain."""
        raise NotImplementedError
