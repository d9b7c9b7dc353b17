"""The agent binary."""

from __future__ import annotations

import os
import sys
import warnings

# Eventlet's DNS resolver takes 7 MB of memory, and is not needed since all addresses
# are IP addresses.
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
    "The agent of primroselever runs on each backend server VM, fetches and "
    "serves weights, and passes all requests to the engine on that VM."
)


def main() -> int:
    """Run the command line and return the exit code."""
    commands = [ServeCommand(), CheckCommand(), ExplainCommand(), StatusCommand()]
    return run_application("primroselever-agent", DESCRIPTION, commands)


if __name__ == "__main__":
    sys.exit(main())
