"""The ``explain`` command that both binaries derive theirs from."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from .admin_client import admin_address, ask
from .command import EXIT_OK, Command
from .table import render

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace


class BaseExplainCommand(Command):
    """Ask a running process what it would decide now; nothing is started."""

    name = "explain"

    def configure(self, parser: ArgumentParser) -> None:
        """Add the admin port, the form of the output and the question."""
        parser.add_argument(
            "admin", type=admin_address, metavar="HOST:PORT", help="the admin port"
        )
        self.add_arguments(parser)
        parser.add_argument("--json", action="store_true", help="print JSON")

    def handle(self, arguments: Namespace) -> int:
        """Ask and print."""
        answer = ask(arguments.admin, "/explain", self.query(arguments))
        print(json.dumps(answer, indent=2) if arguments.json else render(answer))
        return EXIT_OK

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments that say what to explain."""
        raise NotImplementedError

    def query(self, arguments: Namespace) -> dict[str, str]:
        """Return the question as the query of /explain."""
        raise NotImplementedError
