"""The ``check-configuration`` command, which checks one before it is sent."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Any

from primroselever_core.exceptions import FindingsError, PrimroseleverError
from primroselever_node.console.admin_client import admin_address, fetch_json
from primroselever_node.console.command import (
    EXIT_FAILED,
    EXIT_FINDINGS,
    EXIT_OK,
    Command,
)
from primroselever_node.direct.sources import DocumentError
from primroselever_node.settings.load import load_settings

from ..direct.settings import DirectEntrySettings, usable_regions

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from primroselever_core.catalogue.model import Configuration
    from primroselever_core.configuration_check.differences import Difference
    from primroselever_core.configuration_check.finding import RatedFinding
    from primroselever_node.direct.sources import ConfigurationReader

    from ..direct.in_force import InForce

MAX_FILE_BYTES = 32 << 20  # as the largest answer of the store that processes read


class InputError(PrimroseleverError):
    """A file or a process cannot be used; the message says which, and why."""


class CheckConfigurationCommand(Command):
    """
    Check a configuration without sending it.

    ``read_configuration`` is the reader of the platform's format that the processes
    use, so that both accept the same documents.
    """

    name = "check-configuration"
    help = "check a configuration before it is sent, and compare it"
    description = (
        "Check the file of a configuration, and list its differences from the one in "
        "force, which is another file or that of a running entry. Nothing is sent. The "
        "exit code is 0 without errors, also if there are warnings, 1 with errors, and "
        "2 if a file or the running entry cannot be used."
    )

    def __init__(self, read_configuration: ConfigurationReader) -> None:
        self.read_configuration = read_configuration

    def configure(self, parser: ArgumentParser) -> None:
        """Add the arguments for the files, the running entry and the format."""
        parser.add_argument("file", type=Path, help="configuration to be sent")
        source = parser.add_mutually_exclusive_group()
        source.add_argument(
            "in_force", type=Path, nargs="?", help="file of the configuration in force"
        )
        source.add_argument(
            "--admin",
            type=admin_address,
            metavar="HOST:PORT",
            help="admin port of an entry, whose configuration in force is compared",
        )
        parser.add_argument(
            "--settings", type=Path, help="settings of an entry, for its regions"
        )
        parser.add_argument("--format", choices=("text", "json"), default="text")

    def handle(self, arguments: Namespace) -> int:
        """Print the findings and differences, and return the exit code."""
        try:
            report = self.build_report(arguments)
        except PrimroseleverError as exc:
            print(f"{self.name}: {exc}", file=sys.stderr)
            return EXIT_FINDINGS
        print(report.as_json() if arguments.format == "json" else report.as_text())
        return report.exit_code

    def build_report(self, arguments: Namespace) -> Report:
        """Read all input and return the report; raise an error if any is unusable."""
        # Imported here because a process that serves shares this module.
        from primroselever_core.configuration_check.check import check_configuration
        from primroselever_core.configuration_check.differences import (
            check_succession,
            list_differences,
        )
        from primroselever_core.configuration_check.finding import (
            Surroundings,
            redact_keys,
        )

        proposed = self.read_file(arguments.file)
        regions, servers, in_force = read_regions(arguments.settings), None, None
        if arguments.in_force is not None:
            in_force = redact_keys(self.read_file(arguments.in_force))
        elif arguments.admin is not None:
            running = fetch_in_force(arguments.admin)
            in_force, servers = running.configuration, running.server_domains
            regions = running.regions if regions is None else regions
        findings = check_configuration(proposed, Surroundings(regions, servers))
        differences: list[Difference] | None = None
        if in_force is not None:
            redacted = redact_keys(proposed)
            findings = sorted([*findings, *check_succession(in_force, redacted)])
            differences = list_differences(in_force, redacted)
        not_checked = [
            name
            for name, known in (
                ("homes without a known region", regions),
                ("homes without a server", servers),
                ("differences", in_force),
            )
            if known is None
        ]
        return Report(findings, differences, not_checked)

    def read_file(self, path: Path) -> Configuration:
        """Return the configuration in a file, or raise ``InputError``."""
        try:
            with path.open("rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
        except (OSError, ValueError) as exc:
            raise InputError(f"{path} cannot be read: {exc}") from exc
        if len(data) > MAX_FILE_BYTES:
            raise InputError(f"{path} is above {MAX_FILE_BYTES} bytes")
        try:
            return self.read_configuration(data)
        except DocumentError as exc:
            raise InputError(f"{path}: {exc}; processes would ignore it") from exc


class Report:
    """What is printed; ``differences`` is None if nothing was compared."""

    def __init__(
        self,
        findings: list[RatedFinding],
        differences: list[Difference] | None,
        not_checked: list[str],
    ) -> None:
        self.findings = findings
        self.differences = differences
        self.not_checked = not_checked

    @property
    def exit_code(self) -> int:
        """Return 1 with a finding that is an error, 0 without."""
        from primroselever_core.configuration_check.check import has_errors

        return EXIT_FAILED if has_errors(self.findings) else EXIT_OK

    def as_text(self) -> str:
        """Return the findings, the differences and what was not checked as lines."""
        lines = [str(finding) for finding in self.findings] or ["no findings"]
        if self.differences is not None:
            lines += map(str, self.differences)
            lines += [] if self.differences else ["no differences"]
        lines += [f"not checked: {name}" for name in self.not_checked]
        # A name with a line break must not look like a finding of its own.
        return "\n".join(escape_controls(line) for line in lines)

    def as_json(self) -> str:
        """Return the same as a JSON object."""
        value: dict[str, Any] = {
            "findings": [asdict(finding) for finding in self.findings],
            "differences": None
            if self.differences is None
            else [asdict(difference) for difference in self.differences],
            "not_checked": self.not_checked,
        }
        return json.dumps(value, indent=2)


def escape_controls(line: str) -> str:
    """Return a line with the characters that a terminal cannot show escaped."""
    return "".join(
        each if each.isprintable() else each.encode("unicode_escape").decode()
        for each in line
    )


def read_regions(path: Path | None) -> dict[str, str] | None:
    """Return the regions in the settings of an entry, None without settings."""
    if path is None:
        return None
    try:
        settings = load_settings(path, DirectEntrySettings)
    except FindingsError as exc:
        raise InputError(f"the settings cannot be used:\n{exc}") from exc
    return usable_regions(settings)


def fetch_in_force(address: tuple[str, int]) -> InForce:
    """Return what an entry has in force, or raise an error with the remedy."""
    from ..direct.in_force import parse_in_force

    running = parse_in_force(fetch_json(address, "/configuration", {}))
    if running.configuration is None:
        raise InputError(
            f"{address[0]}:{address[1]} has no configuration in force yet; ask another"
        )
    return running
