"""The ``status`` command, which shows the state of a running process."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from .admin_client import admin_address, fetch_json
from .command import EXIT_OK, Command
from .table import format_table

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace


class StatusCommand(Command):
    """Show /status of a running process."""

    name = "status"
    help = "show the state of a running process and how old it is"
    description = (
        "Show the state of a running process, read from its admin port. Names that "
        "end in _s are seconds; an age is the time since the last update."
    )

    def configure(self, parser: ArgumentParser) -> None:
        """Add the arguments for the admin port and the output format."""
        parser.add_argument(
            "admin", type=admin_address, metavar="HOST:PORT", help="the admin port"
        )
        parser.add_argument("--json", action="store_true", help="print JSON")

    def handle(self, arguments: Namespace) -> int:
        """Fetch the status and print it."""
        status = fetch_json(arguments.admin, "/status", {})
        print(json.dumps(status, indent=2) if arguments.json else format_table(status))
        return EXIT_OK
