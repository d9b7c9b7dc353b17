"""Keeping the section on profiles up to date."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from primroselever_core.exceptions import FindingsError
from primroselever_core.profiles.parse import parse_profiles
from primroselever_core.profiles.revision import AcceptedProfiles, Revision

from .. import clock
from ..exceptions import PlatformError
from ..logs import log_decision

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard

    from ..platform.configuration_service import ConfigurationService, PublishedValue

PROFILES = "profiles"
WATCH_S = 20.0

logger = logging.getLogger(__name__)


class ProfilesController:
    """Writes the section on profiles: the highest valid revision, for good."""

    def __init__(self, board: Blackboard, service: ConfigurationService) -> None:
        self.board = board
        self.service = service

    def step(self) -> None:
        """Wait for one change and take it in."""
        section = self.board.profiles
        seen = max(section.revision.number, section.refused_revision.number)
        try:
            value = self.service.watch(PROFILES, seen, WATCH_S)
        except PlatformError as exc:
            logger.warning("profiles cannot be read: %s", exc)
            return
        if value is not None:
            self.offer(value)

    def offer(self, value: PublishedValue) -> None:
        """Take in a value if it is newer than what is in force, and valid."""
        section = self.board.profiles
        revision = Revision.of(value.revision, value.text)
        if revision <= section.revision:
            return
        try:
            profiles = parse_profiles(value.text, f"profiles at {revision.number}")
        except FindingsError as exc:
            section.refused_revision = max(section.refused_revision, revision)
            section.refused_findings = exc.findings
            log_decision("profiles", str(revision.number), "refused", str(exc))
            return
        section.accepted = AcceptedProfiles(revision, value.text, profiles)
        section.accepted_at = clock.now()
        log_decision("profiles", str(revision.number), "accepted", "newer and valid")
