"""The ``check`` command, which reports all findings in settings and profiles."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING, ClassVar

from primroselever_core.exceptions import FindingsError
from primroselever_core.findings import Finding

from ..settings.contradictions import tolerated
from ..settings.load import load_settings, read_text
from .command import EXIT_OK, Command

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace
    from collections.abc import Callable

    from ..settings.model import ProcessSettings


class BaseCheckCommand(Command):
    """Check settings and profiles files without starting a process."""

    name = "check"
    help = "check settings and profiles without starting a process"
    description = (
        "Check a settings file and, with --profiles, a file of profiles before it "
        "is published. Every finding is printed, sorted, with the file, the path "
        "in the file, the problem and a remedy. The exit code is 2 if there is "
        "any finding and 0 if there is none."
    )
    settings_model: ClassVar[type[ProcessSettings]]

    def configure(self, parser: ArgumentParser) -> None:
        """Add the arguments for the files to check."""
        parser.add_argument(
            "settings", type=Path, nargs="?", help="settings, JSON with comments"
        )
        parser.add_argument(
            "--profiles", type=Path, metavar="FILE", help="profiles to be published"
        )

    def handle(self, arguments: Namespace) -> int:
        """Check all files; raise ``FindingsError`` with the findings of all of them."""
        settings, profiles = arguments.settings, arguments.profiles
        findings: list[Finding] = []
        if settings is None and profiles is None:
            remedy = "give a settings file, --profiles FILE, or both"
            findings.append(Finding("command line", "nothing to check", remedy))
        if settings is not None:
            findings += collect_findings(lambda: self.check_settings(settings))
        if profiles is not None:
            findings += collect_findings(lambda: check_profiles(profiles))
        if findings:
            raise FindingsError(findings)
        print("no findings")
        return EXIT_OK

    def check_settings(self, path: Path) -> None:
        """Raise ``FindingsError`` if a settings file has findings."""
        settings = load_settings(path, self.settings_model, os.environ)
        findings = [
            Finding(f"{path}: {finding.place}", finding.problem, finding.remedy)
            for finding in tolerated(settings)
        ]
        if findings:
            raise FindingsError(findings)


def check_profiles(path: Path) -> None:
    """Raise ``FindingsError`` if a file of profiles has findings."""
    # Imported here because a process that serves shares this module.
    from primroselever_core.profiles.parse import parse_profiles

    parse_profiles(read_text(path), str(path))


def collect_findings(check: Callable[[], None]) -> list[Finding]:
    """Return the findings that a check raises, or an empty list."""
    try:
        check()
    except FindingsError as exc:
        return exc.findings
    return []
