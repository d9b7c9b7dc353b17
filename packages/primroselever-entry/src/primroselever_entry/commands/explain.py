"""The ``explain`` command of the entry, which shows the routing of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroselever_core.runs.fingerprint import fingerprint_of
from primroselever_node.console.explain import BaseExplainCommand

from ..requests.caller_request import DEFAULT_PRIORITY

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

MAX_BODY_CHARACTERS = 2048


class ExplainCommand(BaseExplainCommand):
    """Ask a running entry which server it would choose for a request."""

    help = "show which server a request would be sent to, and why"
    description = (
        "Ask a running entry which backend server it would choose now for a "
        "request, and for the state of each server of the service. Nothing is "
        "sent to any server. The choice is the one for the next request, and may "
        "change with each request."
    )

    def add_query_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments that describe the request."""
        parser.add_argument("service", help="name of the service")
        parser.add_argument("--workspace", default="", help="workspace of the caller")
        parser.add_argument("--route", default="", help="route whose homes apply")
        parser.add_argument("--body", default="", help="body of the request")
        parser.add_argument(
            "--priority", default=str(DEFAULT_PRIORITY), help="0 (first) to 9 (last)"
        )
        parser.add_argument(
            "--idempotency-key", default="", help="key of a call that needs a ticket"
        )

    def query_parameters(self, arguments: Namespace) -> dict[str, str]:
        """Return the query of /explain, with the beginning of the body only."""
        body = arguments.body.encode()
        return {
            "service": arguments.service,
            "workspace": arguments.workspace,
            "route": arguments.route,
            "body": arguments.body[:MAX_BODY_CHARACTERS],
            "fingerprint": fingerprint_of(arguments.service, arguments.workspace, body),
            "size_bytes": str(len(body)),
            "priority": arguments.priority,
            "idempotency_key": arguments.idempotency_key,
        }
