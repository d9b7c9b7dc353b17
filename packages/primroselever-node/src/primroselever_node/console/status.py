"""The ``status`` command: what a running process knows, and how old it is."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from .admin_client import admin_address, ask
from .command import EXIT_OK, Command
from .table import render

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace


class StatusCommand(Command):
    """Show /status of a running process."""

    name = "status"
    help = "show what a running process knows, and how old it is"
    description = (
        "Ask the admin port of a running process what it knows. Names that end in "
        "_s are seconds; an age says how long ago the process last heard of it."
    )

    def configure(self, parser: ArgumentParser) -> None:
        """Add the admin port and the form of the output."""
        parser.add_argument(
            "admin", type=admin_address, metavar="HOST:PORT", help="the admin port"
        )
        parser.add_argument("--json", action="store_true", help="print JSON")

    def handle(self, arguments: Namespace) -> int:
        """Ask and print."""
        status = ask(arguments.admin, "/status", {})
        print(json.dumps(status, indent=2) if arguments.json else render(status))
        return EXIT_OK
