"""
Detection of requests that crash back ends, to protect the remaining back ends.

A caller may retry a request that crashes servers. Each retry has a new identifier, so
the request is recognized by a fingerprint of its content. A broken connection may also
be a network fault. A request is therefore quarantined only after several servers in a
row crashed while running it, with no answer in between. When several servers are killed
at the same time, all of them may be running the same popular request. Such crashes
only make it suspect: one copy at a time is sent, until an answer clears the request or
crashes of these trials put it in quarantine.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroselever_core.runs.fingerprint import fingerprint_of
from primroselever_core.suspects.whole_requests import (
    QUARANTINE_CRASHES_IN_ROW,
    WholeRequests,
)
from primroselever_node import clock
from primroselever_node.logs import log_decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroselever_core.dispatch.backend import Backend
    from primroselever_core.identifiers import Fingerprint
    from primroselever_core.suspects.section import CrashId, SuspectsSection

    from .caller_request import CallerRequest

__all__ = [
    "QUARANTINE_CRASHES_IN_ROW",
    "CrashWatch",
    "request_fingerprint",
    "server_start_name",
]


class CrashWatch:
    """
    Writes what the runs of one entry show of whole requests.

    ``live_entries`` returns the hosts of the entries that divide the trials.
    """

    def __init__(
        self,
        suspects: SuspectsSection,
        publish_suspicion: Callable[[Fingerprint], None],
        requests: WholeRequests | None = None,
        live_entries: Callable[[float], list[str]] | None = None,
    ) -> None:
        self.suspects = suspects
        self.publish_suspicion = publish_suspicion
        self.requests = requests or WholeRequests(suspects, "")
        self.live_entries = live_entries or (lambda _now: [self.requests.own_host])

    def known_crashes(
        self, request: CallerRequest, workspace: str | None
    ) -> frozenset[CrashId]:
        """Return the crashes known now for a request, empty if there are none."""
        if not self.suspects.records:
            return frozenset()
        return self.suspects.known_crashes(request_fingerprint(request, workspace))

    def quarantine_remaining_s(
        self, request: CallerRequest, workspace: str | None
    ) -> float | None:
        """Return the seconds left in a request's quarantine, or None without one."""
        if not self.suspects.records:
            return None
        now = clock.now()
        fingerprint = request_fingerprint(request, workspace)
        remaining_s = self.requests.quarantine_remaining_s(fingerprint, now)
        if remaining_s is None:
            return None
        record = self.suspects.records[fingerprint]
        log_decision(
            "crashing request",
            request.log_id,
            "not sent",
            "the connections to several servers in a row broke during its runs",
            fingerprint=fingerprint,
            crashes=sorted(record.crashes - record.cleared),
            left_s=round(remaining_s, 1),
        )
        return remaining_s

    def trial_delay_s(
        self, request: CallerRequest, workspace: str | None
    ) -> float | None:
        """Return in how many seconds to try a request again, None if it may be sent."""
        if not self.suspects.records:
            return None
        fingerprint = request_fingerprint(request, workspace)
        if fingerprint not in self.suspects.records:
            return None
        now = clock.now()
        delay_s = self.requests.quarantine_remaining_s(fingerprint, now)
        if delay_s is None:
            delay_s = self.requests.trial_delay_s(
                fingerprint, self.live_entries(now), now
            )
        if delay_s is not None:
            log_decision(
                "crashing request",
                request.log_id,
                "not sent",
                "one copy at a time is sent of a request that broke on several servers",
                fingerprint=fingerprint,
                retry_after_s=round(delay_s, 1),
            )
        return delay_s

    def begin_run(
        self, request: CallerRequest, workspace: str | None, until: float
    ) -> Fingerprint | None:
        """
        Note that a request is sent, and runs until a time at most.

        Return the fingerprint if the run is a trial, for ``end_run``.
        """
        if not self.suspects.records:
            return None
        fingerprint = request_fingerprint(request, workspace)
        if not self.requests.begin_trial(fingerprint, until, clock.now()):
            return None
        log_decision(
            "crashing request",
            request.log_id,
            "tried",
            "one copy shows whether a suspect request crashes servers",
            fingerprint=fingerprint,
        )
        self.publish_suspicion(fingerprint)
        return fingerprint

    def end_run(self, trial: Fingerprint | None) -> None:
        """Note that a run ended, so that another copy may be tried."""
        if trial is not None:
            self.requests.end_trial(trial)

    def record_broken_run(
        self,
        request: CallerRequest,
        workspace: str | None,
        backend: Backend,
        known_crashes: frozenset[CrashId],
    ) -> None:
        """
        Record a run whose connection broke, as it does when the server crashes.

        ``known_crashes`` are the crashes known when the run started.
        """
        fingerprint = request_fingerprint(request, workspace)
        crash = self.requests.record_crash(
            fingerprint, known_crashes, server_start_name(backend), clock.now()
        )
        if crash is None:
            return
        log_decision(
            "request suspected",
            request.log_id,
            "noted",
            "the connection to the back end broke during a run",
            fingerprint=fingerprint,
            crash=crash,
            prompt_parts=request.shared_parts,
        )
        self.publish_suspicion(fingerprint)

    def record_answer(
        self,
        request: CallerRequest,
        workspace: str | None,
        known_crashes: frozenset[CrashId],
    ) -> None:
        """Clear a request of the crashes known when its answered run started."""
        if not known_crashes:
            return
        fingerprint = request_fingerprint(request, workspace)
        if self.suspects.record_success(fingerprint, known_crashes):
            log_decision(
                "request cleared",
                request.log_id,
                "noted",
                "a back end answered the request",
                fingerprint=fingerprint,
                crashes_cleared=len(known_crashes),
            )
            self.publish_suspicion(fingerprint)


def server_start_name(backend: Backend) -> str:
    """Return the server and its start, as in the IDs of crashes."""
    return f"{backend.listed.server_id}/{backend.listed.born_ms}"


def request_fingerprint(request: CallerRequest, workspace: str | None) -> Fingerprint:
    """Return the fingerprint that a request and its retries have in common."""
    url = f"{request.host}{request.target.decode('latin-1')}"
    return fingerprint_of(url, workspace or "", request.body)
