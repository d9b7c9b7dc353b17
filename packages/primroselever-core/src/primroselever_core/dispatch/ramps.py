"""Which servers of an entry are in a ramp, and what bounds it after a crash."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from statistics import median
from typing import TYPE_CHECKING

from .announcements import start_of
from .start_pace import CAREFUL_S, LOWEST_PER_S, MAX_SLOWDOWN, Ramp

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from ..catalogue.model import Address, Service
    from .announcements import ServerStart
    from .backend import Backend
    from .start_shares import Members

# Of the requests in a second before a server crashed in its ramp. The pace is an
# average, and a second has more now and then.
CRASH_SHARE = 0.6
CEILING_S = 60.0
MAX_LATEST = 4096
MIN_SERVERS_TO_LET_THROUGH = 2
LONGEST_OCCUPIED_S = 1.0
CRASH_MEMORY_S = 10.0  # after the end of a ramp, for a server that restarts in seconds
NEW_ENTRY_S = 10.0  # for which an entry takes over ramps that it did not see begin


@dataclass(slots=True)
class StartPace:
    """
    The ramps of an entry; without ``enabled`` there is none.

    ``listed`` is not set before the first list of back ends is applied. ``latest``
    holds the latest ramp at each address: a server that crashed is missing from the
    list for a while.
    """

    members: Members
    enabled: bool = False
    random: Random = field(default_factory=Random)
    services: Mapping[str, Service] = field(default_factory=dict)
    ramps: dict[ServerStart, Ramp] = field(default_factory=dict)
    latest: dict[Address, Ramp] = field(default_factory=dict)
    listed: bool = False

    def apply_listing(self, backends: Iterable[Backend], now: float) -> None:
        """Begin a ramp for each start that was not in the first list of this entry."""
        if not self.enabled:
            return
        first_list, self.listed = not self.listed, True
        previous, self.ramps = self.ramps, {}
        for backend in backends:
            start = start_of(backend.listed)
            ramp = previous.get(start)
            if ramp is None and not first_list:
                ramp = self.create(start, backend, "another start", now)
                apply_ceiling(ramp, self.latest.get(start.address), now)
            if ramp is not None:
                self.ramps[start] = ramp
            backend.ramp = ramp
        self.latest |= {start.address: ramp for start, ramp in self.ramps.items()}
        while len(self.latest) > MAX_LATEST:
            del self.latest[next(iter(self.latest))]

    def create(
        self, start: ServerStart, backend: Backend, cause: str, returned_at: float
    ) -> Ramp:
        """
        Return a new ramp of a start.

        An engine is ready as soon as it has weights, which its first request shows.
        """
        service = self.services.get(backend.listed.service)
        needs_weights = service is not None and service.engine is not None
        key = f"{start.server_id} {start.born_ms}"
        if needs_weights:
            returned_at = float("inf")
        # The slots of an engine tell how many run at once, not how long each takes.
        slots = 0 if needs_weights else backend.listed.slots
        return Ramp(
            key, self.members, cause, self.random, slots, needs_weights, returned_at
        )

    def begin(self, backend: Backend, cause: str) -> None:
        """Begin a ramp of a server that recovered, unless one is in progress."""
        if not self.enabled:
            return
        if backend.ramp is None or backend.ramp.ended_at is not None:
            start = start_of(backend.listed)
            previous = backend.ramp
            backend.ramp = self.ramps[start] = self.create(
                start, backend, cause, backend.ejected_until
            )
            if previous is not None:
                backend.ramp.ceiling = previous.ceiling
                backend.ramp.ceiling_until = previous.ceiling_until

    def apply_news(
        self,
        backend: Backend,
        step: int,
        per_s: float,
        floor_s: float,
        started: int,
        now: float,
    ) -> bool:
        """
        Apply the pace of another entry, and count its starts.

        Return whether the pace changed. An entry that has just started does not know
        which servers did so as well.
        """
        if backend.ramp is None and now - self.members.started_at < NEW_ENTRY_S:
            self.begin(backend, "known to another entry")
        if backend.ramp is None:
            return False
        ramp = backend.ramp
        changed = step > 0 and ramp.apply_news(step, per_s, floor_s, now)
        if started:
            ramp.record_starts(started, now)
        return changed


def apply_ceiling(ramp: Ramp, crashed: Ramp | None, now: float) -> None:
    """Limit a ramp by the pace at which the start before it crashed."""
    if crashed is None:
        return
    if crashed.ceiling_until > now:
        ramp.ceiling, ramp.ceiling_until = crashed.ceiling, crashed.ceiling_until
    ended_at = now if crashed.ended_at is None else crashed.ended_at
    if crashed.step and now - ended_at < CRASH_MEMORY_S:
        share = CRASH_SHARE * crashed.busiest_second()
        ramp.ceiling = max(LOWEST_PER_S, min(ramp.ceiling, share))
        ramp.ceiling_until = now + CEILING_S


def let_through(backends: Collection[Backend], now: float) -> None:
    """
    Admit a request beyond the pace if all servers of a service are in their ramps.

    The demand is divided among several servers, so that each gets at most one request
    at a time for each of its slots, as far as this entry has heard. A single server
    keeps its pace: it would get the whole demand.
    """
    loaded = [each for each in backends if not lacks_weights(each, now)]
    if len(loaded) < MIN_SERVERS_TO_LET_THROUGH:
        return
    if any(each.available(now) for each in loaded):
        return
    held = [
        (each.ramp.sent_within(1.0, now), each.ramp)
        for each in loaded
        if each.ramp is not None
        and each.waits_for_start(now)
        # After a crash the ceiling is not exceeded.
        and each.ramp.ceiling_until <= now
        and each.ramp.sent_within(occupied_s(each.ramp, now), now)
        < max(1, each.listed.slots)
    ]
    if held:
        min(held, key=lambda sent_and_ramp: sent_and_ramp[0])[1].let_through_at = now


def occupied_s(ramp: Ramp, now: float) -> float:
    """
    Return for how long a request takes a slot of a server in its ramp.

    It is assumed to be a second before any answer, and for a second after a failure, a
    slow answer or a refusal.
    """
    if now - ramp.slow_at < CAREFUL_S:
        return LONGEST_OCCUPIED_S
    return min(LONGEST_OCCUPIED_S, MAX_SLOWDOWN * ramp.floor_s)


def lacks_weights(backend: Backend, now: float) -> bool:
    """Return whether a back end is an engine that holds no weights."""
    report = backend.report
    is_empty = report is not None and report.is_fresh(now) and not report.version
    return is_empty or not backend.has_loaded(now)


def usual_duration_s(backend: Backend, others: Collection[Backend]) -> float | None:
    """Return the usual duration at a service's other servers, None if not known."""
    durations = [
        other.mean_duration_s
        for other in others
        if other is not backend
        and other.mean_duration_s
        and (other.ramp is None or other.ramp.ended_at is not None)
    ]
    return median(durations) if durations else None
