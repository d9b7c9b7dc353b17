"""The base class of all commands."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_FINDINGS = 2


class Command:
    """
    A command of a binary; its handler only delegates to the domain layer.

    ``help`` is the line in the list of commands, ``description`` the text in the
    command's own help above its arguments.
    """

    name: ClassVar[str]
    help: ClassVar[str]
    description: ClassVar[str]

    def configure(self, parser: ArgumentParser) -> None:
        """Add the command's arguments."""

    def handle(self, arguments: Namespace) -> int:
        """Run the command and return the exit code."""
        raise NotImplementedError
