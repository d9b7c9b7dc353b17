"""
The bound on the requests that all entries together send to a cold server.

A server is cold for some seconds after it starts, and may become cold again. It fails
well above the rate that its service publishes. The bound, in any second, is that rate
times ``cold_overage`` plus ``cold_slack``. An entry that does not know the state of a
server treats it as cold: after another start, a failure or an ejection, and when its
failure domain is taken back from an evacuation. Only what was learned after such an
event counts.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .announcements import start_of
from .start_shares import Members, OwnStarts

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..catalogue.model import ListedServer, Service
    from .announcements import ServerStart
    from .backend import Backend

# Of the bound. Entries with different sets of members may use a share twice, and
# requests may take longer to arrive than those after them.
RESERVE_SHARE = 0.15
# Of the published rate: what all entries send over several seconds if all of them have
# requests at any time. The rest of the bound is for entries that seldom have one.
PACED_SHARE = 1.1
# After an event of which the entry learns nothing more. An entry without a share gets
# no answers from the server, and its peers may know of no event.
LONGEST_UNKNOWN_S = 10.0
ITEM_LAG_S = 1.0  # between a write to the store and its arrival at an entry
ANOTHER_START_CAUSE = "another start"


@dataclass(frozen=True, slots=True)
class ColdBound:
    """
    The bound of a service's cold servers.

    ``total`` is how many starts a second are divided among the entries, ``paced`` the
    rate over several seconds, in requests a second.
    """

    cold_s: float
    total: int
    paced: float


def bound_of(service: Service, overage: float, slack: float) -> ColdBound | None:
    """Return the bound of a service, None if it publishes none."""
    if not service.cold_start_s or not service.cold_per_s:
        return None
    allowed = math.floor(service.cold_per_s * overage + slack)
    total = max(1, allowed - math.ceil(RESERVE_SHARE * allowed))
    return ColdBound(
        service.cold_start_s, total, min(total, PACED_SHARE * service.cold_per_s)
    )


@dataclass(slots=True)
class ColdState:
    """
    What this entry knows of one start of a server, and its requests to it.

    ``cold_until`` is when the server is no longer cold. ``learned_at`` is as of when
    that is known, and ``event_at`` when the state last became unknown, or will have
    at the end of an ejection. ``unknown`` is set until something later is learned.
    ``item`` is the latest applied one of the list. ``rank`` was computed for
    ``members_revision``.
    """

    key: str
    members: Members
    bound: ColdBound | None = None
    cold_until: float = float("-inf")
    learned_at: float = float("-inf")
    event_at: float = float("-inf")
    item: ListedServer | None = None
    unknown: bool = False
    cause: str = "listed when this entry started"
    starts: OwnStarts = field(default_factory=OwnStarts)
    rank: int = 0
    members_revision: int | None = None

    def apply_bound(self, bound: ColdBound | None) -> None:
        """Apply the bound of the service, which may be known later than the server."""
        if (
            bound is not None
            and self.bound is None
            and self.cause == ANOTHER_START_CAUSE
        ):
            self.cold_until = max(self.cold_until, self.learned_at + bound.cold_s)
        self.bound = bound

    def is_cold(self, now: float) -> bool:
        """Return whether the server counts as cold."""
        return self.bound is not None and now < self.cold_until

    def admits(self, now: float) -> bool:
        """Return whether this entry may send the server a request now."""
        return not self.is_cold(now) or now >= self.opens_at(now)

    def opens_at(self, now: float) -> float:
        """Return when this entry may send a request, infinity if nothing is known."""
        if not self.is_cold(now):
            return now
        if self.members.leaving:
            return self.cold_until
        return min(self.cold_until, self.starts.free_at(self.own_share(now)))

    def own_share(self, now: float) -> int:
        """Return how many starts a second this entry may make while it is cold."""
        bound = self.bound
        if bound is None:
            return 0
        if self.members.revision != self.members_revision:
            self.members_revision = self.members.revision
            self.rank = self.members.rank(self.key)
        return self.members.own_share(bound.total, self.rank, self.key, now)

    def interval_s(self, now: float) -> float:
        """Return the time between two starts of this entry at the paced rate."""
        share = self.own_share(now)
        if self.bound is None or not share:
            return 0.0
        usable = self.members.usable_total(self.bound.total, now)
        return usable / (min(usable, self.bound.paced) * share)

    def record_start(self, now: float) -> None:
        """Count a request that is about to be sent to the server."""
        if self.bound is not None:
            self.starts.record(self.interval_s(now) if self.is_cold(now) else 0.0, now)

    def record_not_taken(self, sent_at: float, now: float) -> None:
        """Drop a request that another server at the address answered with 421."""
        self.starts.remove(sent_at, self.interval_s(now) if self.is_cold(now) else 0.0)

    def record_event(self, cause: str, until: float) -> bool:
        """
        Record that the state is unknown; return whether it was known before.

        ``until`` is when the event ends, such as the end of an ejection.
        """
        was_known = not self.unknown
        self.event_at = max(self.event_at, until)
        self.unknown = True
        self.cause = cause
        if self.bound is not None:
            unknown_s = max(LONGEST_UNKNOWN_S, 2 * self.bound.cold_s)
            self.cold_until = max(self.cold_until, until + unknown_s)
        return was_known

    def learn(
        self, cold_until: float, learned_at: float, cause: str, now: float
    ) -> bool:
        """
        Apply until when the server is cold; return whether that is news.

        ``learned_at`` is the earliest time of which this may tell, such as when the
        request of an answer was sent. What is older than the latest event, or than what
        is known, is ignored.
        """
        if learned_at < max(self.event_at, self.learned_at):
            return False
        changed = self.unknown or self.is_cold(now) != (cold_until > now)
        self.learned_at = learned_at
        self.unknown = False
        self.cold_until = cold_until
        if changed:
            self.cause = cause
        return changed

    def record_answer(self, sent_at: float, now: float) -> bool:
        """
        Record an answer that names no state; return whether it ends an unknown one.

        A server that answers a request of after the event is cold for at most the time
        that its service publishes.
        """
        if not self.unknown or sent_at < self.event_at or self.bound is None:
            return False
        cold_until = now + self.bound.cold_s
        return self.learn(cold_until, sent_at, "answered after the event", now)


@dataclass(slots=True)
class ColdPace:
    """
    The cold servers of an entry; without ``overage`` no server counts as cold.

    ``listed`` is not set before the first list of back ends is applied. ``services``
    holds the bounds by service.
    """

    members: Members = field(default_factory=Members)
    overage: float | None = None
    slack: float | None = None
    services: dict[str, ColdBound] = field(default_factory=dict)
    states: dict[ServerStart, ColdState] = field(default_factory=dict)
    listed: bool = False

    def configure(
        self, services: Mapping[str, Service], backends: Iterable[Backend]
    ) -> None:
        """Apply the figures of all services to the known servers."""
        self.services = {}
        if self.overage is not None:
            for name, service in services.items():
                bound = bound_of(service, self.overage, self.slack or 0.0)
                if bound is not None:
                    self.services[name] = bound
        for backend in backends:
            if backend.cold is not None:
                backend.cold.apply_bound(self.services.get(backend.listed.service))

    def apply_listing(self, backends: Iterable[Backend], now: float) -> list[Backend]:
        """
        Apply the items of the list; return the back ends whose state changed.

        An item names the remaining time as of when it was written, so that this time
        from now on is never too short. Servers of the first list that an entry gets
        run already; a start that appears later is one during traffic.
        """
        if self.overage is None:
            return []
        first_list, self.listed = not self.listed, True
        changed = []
        known: dict[ServerStart, ColdState] = {}
        for backend in backends:
            start = start_of(backend.listed)
            state = self.states.get(start)
            is_new = state is None
            if state is None:
                key = f"{start.server_id} {start.born_ms}"
                state = ColdState(key, self.members)
            state.apply_bound(self.services.get(backend.listed.service))
            known[start] = state
            backend.cold = state
            if apply_item(state, backend.listed, is_new, first_list, now):
                changed.append(backend)
            state.item = backend.listed
        self.states = known
        return changed

    def record_taken_back(
        self, failure_domain: str, backends: Iterable[Backend], now: float
    ) -> list[Backend]:
        """Make the state of a domain's servers unknown at the end of an evacuation."""
        return [
            backend
            for backend in backends
            if backend.listed.failure_domain == failure_domain
            and backend.cold is not None
            and backend.cold.record_event("its failure domain was taken back", now)
        ]


def apply_item(
    state: ColdState, item: ListedServer, is_new: bool, first_list: bool, now: float
) -> bool:
    """Apply an item of the list; return whether this changed the server's state."""
    cold_s = item.cold_s
    if is_new and not first_list:
        usual_s = state.bound.cold_s if state.bound is not None else 0.0
        state.cause = ANOTHER_START_CAUSE
        return state.learn(
            now + max(usual_s, cold_s or 0.0), now, ANOTHER_START_CAUSE, now
        )
    if cold_s is None or item == state.item:
        return False
    if not state.unknown:
        # The item may have been written before what is known was learned, so it only
        # extends the time.
        if now + cold_s <= max(now, state.cold_until):
            return False
        return state.learn(now + cold_s, now, "listed as cold", now)
    # What was written before the event may be received a little after it.
    if now < state.event_at + ITEM_LAG_S:
        return False
    return state.learn(now + cold_s, now, "listed after the event", now)
