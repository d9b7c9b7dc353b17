"""The ``explain`` command of the entry: which server a request would go to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroselever_node.console.explain import BaseExplainCommand

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

MAX_BODY_CHARACTERS = 2048


class ExplainCommand(BaseExplainCommand):
    """Ask an entry where it would send a request."""

    help = "say which server a request would go to, and why"
    description = (
        "Ask a running entry which backend server it would choose now for a "
        "request, and what it knows of each server of the service. Nothing is "
        "sent to any server. The choice has a random part: asking again may name "
        "another server."
    )

    def add_question(self, parser: ArgumentParser) -> None:
        """Add what names a request."""
        parser.add_argument("service", help="the service that the caller names")
        parser.add_argument("--workspace", default="", help="the caller's workspace")
        parser.add_argument("--body", default="", help="the body, or its beginning")

    def query(self, arguments: Namespace) -> dict[str, str]:
        """Return the question as the query of /explain."""
        return {
            "service": arguments.service,
            "workspace": arguments.workspace,
            "body": arguments.body[:MAX_BODY_CHARACTERS],
        }
