"""The ``explain`` command of the entry, which shows the routing of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroselever_node.console.explain import BaseExplainCommand

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

MAX_BODY_CHARACTERS = 2048


class ExplainCommand(BaseExplainCommand):
    """Ask a running entry which server it would choose for a request."""

    help = "show which server a request would be sent to, and why"
    description = (
        "Ask a running entry which backend server it would choose now for a "
        "request, and for the state of each server of the service. Nothing is "
        "sent to any server. The choice is partly random: the next answer may name "
        "another server."
    )

    def add_query_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments that describe the request."""
        parser.add_argument("service", help="name of the service")
        parser.add_argument("--workspace", default="", help="workspace of the caller")
        parser.add_argument("--body", default="", help="request body, or its beginning")

    def query_parameters(self, arguments: Namespace) -> dict[str, str]:
        """Return the query of /explain, with the beginning of the body only."""
        return {
            "service": arguments.service,
            "workspace": arguments.workspace,
            "body": arguments.body[:MAX_BODY_CHARACTERS],
        }
