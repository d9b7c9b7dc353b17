"""The command line program of the entry."""

from __future__ import annotations

import os
import sys
import warnings

# Eventlet's DNS resolver takes 7 MB of memory and is not needed: all addresses are
# IP addresses.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated.*")

import eventlet

eventlet.monkey_patch()

from primroselever_node.console.application import run_application
from primroselever_node.console.status import StatusCommand

from .commands.check import CheckCommand
from .commands.explain import ExplainCommand
from .commands.serve import ServeCommand

DESCRIPTION = (
    "The entry of primroselever: accepts requests of callers over HTTP, chooses "
    "a backend server and reports the outcome of each request to its caller."
)


def main() -> int:
    """Run the command line; return the exit code."""
    commands = [ServeCommand(), CheckCommand(), ExplainCommand(), StatusCommand()]
    return run_application("primroselever-entry", DESCRIPTION, commands)


if __name__ == "__main__":
    sys.exit(main())
