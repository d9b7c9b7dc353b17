"""The agent binary."""

from __future__ import annotations

import os
import sys
import warnings

# Its resolver of names costs 7 MB of memory, and addresses are IP numbers.
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
    "The agent of primroselever: runs on each backend server VM, fetches and "
    "serves weights, and is the only way to the engine there."
)


def main() -> int:
    """Run the command line."""
    commands = [ServeCommand(), CheckCommand(), ExplainCommand(), StatusCommand()]
    return run_application("primroselever-agent", DESCRIPTION, commands)


if __name__ == "__main__":
    sys.exit(main())
