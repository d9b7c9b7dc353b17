"""The command-line application, with one class for each command."""

from __future__ import annotations

import argparse
import sys
from typing import TYPE_CHECKING

from primroselever_core.exceptions import FindingsError, PrimroseleverError

from .command import EXIT_FAILED, EXIT_FINDINGS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .command import Command

VERSION = "0.1.0"


def run_application(
    binary: str,
    description: str,
    commands: Sequence[Command],
    argv: Sequence[str] | None = None,
) -> int:
    """Parse the arguments, run the chosen command and return its exit code."""
    parser = argparse.ArgumentParser(prog=binary, description=description)
    parser.add_argument("--version", action="version", version=f"{binary} {VERSION}")
    subparsers = parser.add_subparsers(title="commands", required=True)
    for command in commands:
        subparser = subparsers.add_parser(
            command.name, help=command.help, description=command.description
        )
        command.configure(subparser)
        subparser.set_defaults(command=command)
    arguments = parser.parse_args(argv)
    try:
        return arguments.command.handle(arguments)
    except FindingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_FINDINGS
    except PrimroseleverError as exc:
        print(f"{binary}: {exc}", file=sys.stderr)
        return EXIT_FAILED
