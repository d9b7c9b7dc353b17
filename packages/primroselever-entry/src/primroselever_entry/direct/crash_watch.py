"""
Requests at whose runs back ends crash, so that they don't take down one after another.

Answers the pattern of a poisonous request that its caller sends again and again: it is
known by what it asks, since each sending has an identifier of its own. A connection
that breaks off may also be the network's doing, so that it takes several servers, one
after the other with no answer in between, before a request is turned away. Servers that
are killed together each run requests for a key that many ask for: their crashes count
as one, at whatever entries the runs began.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroselever_core.runs.fingerprint import fingerprint_of
from primroselever_core.suspects.section import CrashId
from primroselever_node import clock
from primroselever_node.logs import log_decision

if TYPE_CHECKING:
    from collections.abc import Callable, Set as AbstractSet

    from primroselever_core.dispatch.backend import Backend
    from primroselever_core.identifiers import Fingerprint
    from primroselever_core.suspects.section import SuspectsSection

    from .caller_request import CallerRequest

# Servers in a row; a broken connection may be the network's, so this is one above what
# agents take, which see their engine end.
QUARANTINE_ROW = 3


class CrashWatch:
    """Writes the section on suspects for the requests of one entry."""

    def __init__(
        self, suspects: SuspectsSection, tell_peers: Callable[[Fingerprint], None]
    ) -> None:
        self.suspects = suspects
        self.tell_peers = tell_peers

    def known_crashes(
        self, request: CallerRequest, workspace: str | None
    ) -> frozenset[CrashId]:
        """Return the crashes that are known now, none without any suspicion."""
        if not self.suspects.records:
            return frozenset()
        return self.suspects.known_crashes(request_fingerprint(request, workspace))

    def quarantined_for_s(
        self, request: CallerRequest, workspace: str | None
    ) -> float | None:
        """Return the seconds for which a request is turned away, None if it isn't."""
        if not self.suspects.records:
            return None
        now = clock.now()
        fingerprint = request_fingerprint(request, workspace)
        record = self.suspects.records.get(fingerprint)
        if record is None or record.deadline <= now:
            return None
        if row_length(record.crashes - record.cleared) < QUARANTINE_ROW:
            return None
        log_decision(
            "crashing request",
            request.shown_id,
            "not sent",
            "its runs broke off at several servers",
            fingerprint=fingerprint,
            crashes=sorted(record.crashes - record.cleared),
            left_s=round(record.deadline - now, 1),
        )
        return record.deadline - now

    def broke_off(
        self,
        request: CallerRequest,
        workspace: str | None,
        backend: Backend,
        known: frozenset[CrashId],
    ) -> None:
        """
        Take in that a run ended with its connection, as when the server crashes.

        ``known`` are the crashes known when the run began; the crash comes after those
        in the row. A server counts once for each of its starts.
        """
        fingerprint = request_fingerprint(request, workspace)
        start = f"{backend.listed.server_id}/{backend.listed.born_ms}"
        if any(crash.partition("/")[2] == start for crash in known):
            return
        record = self.suspects.records.get(fingerprint)
        cleared = record.cleared if record else frozenset()
        crash = CrashId(f"{row_length(known - cleared) + 1}/{start}")
        self.suspects.crashed(crash, [fingerprint], clock.now())
        log_decision(
            "request suspected",
            request.shown_id,
            "noted",
            "a run broke off",
            fingerprint=fingerprint,
            crash=crash,
        )
        self.tell_peers(fingerprint)

    def answered(
        self,
        request: CallerRequest,
        workspace: str | None,
        known: frozenset[CrashId],
    ) -> None:
        """Take in an answer; ``known`` are the crashes known when its run began."""
        if not known:
            return
        fingerprint = request_fingerprint(request, workspace)
        if self.suspects.succeeded(fingerprint, known):
            log_decision(
                "request cleared",
                request.shown_id,
                "noted",
                "a run was answered",
                fingerprint=fingerprint,
                crashes_cleared=len(known),
            )
            self.tell_peers(fingerprint)


def row_length(crashes: AbstractSet[CrashId]) -> int:
    """Return how many crashes came one after the other; each names its place."""
    places = (crash.partition("/")[0] for crash in crashes)
    return max((int(place) for place in places if place.isdigit()), default=0)


def request_fingerprint(request: CallerRequest, workspace: str | None) -> Fingerprint:
    """Return what a request that is sent once more has in common with the first."""
    asked = f"{request.host}{request.target.decode('latin-1')}"
    return fingerprint_of(asked, workspace or "", request.body)
