"""
The recent demand of a service's callers at one entry, by class and workspace.

A class consists of the requests of one priority. Counts decay, so that the state of a
process depends on the last seconds only. Credits, which grow with each arrival and are
spent by admissions, give each class and workspace its share also where an entry sees
only a few requests of it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .shedding import AdmissionTerms

DECAY_S = 4.0  # a few dozen requests of an entry; below the duration of a surge
SHORTAGE_S = 2.5  # after a refusal; with 1 s, entries with few callers flip too often
REFUSING_S = 0.5  # after a refusal; late requests are not queued in this time
# A class gets a quarter of the service's share at least; the rest is a margin for
# requests that are admitted but not served.
MIN_CLASS_SHARE = 0.36
MIN_WORKSPACE_SHARE = 0.27
CONTENDED_SHARE = 0.9  # admitted, below which a class competes for capacity
# Smaller excesses of an entry's counts are random.
OVER_SHARE_RATIO = 1.5
OVER_SHARE_REQUESTS = 2.0
# Of the requests of the other workspaces; if so many are admitted, none is limited.
SERVED_SHARE = 0.95
MAX_CREDIT = 1.5
SENT_NOTICE_S = 0.02  # until other entries learn of a request, with its batching
SHARES_INTERVAL_S = 0.2  # how often shares are computed anew


@dataclass(slots=True)
class DecayedCount:
    """A count that falls to 1/e of its value in ``DECAY_S`` seconds."""

    value: float = 0.0
    at: float = 0.0

    def add(self, now: float) -> None:
        """Count an event."""
        self.value = self.read(now) + 1.0
        self.at = now

    def read(self, now: float) -> float:
        """Return the count."""
        return self.value * float(2.718281828 ** (-max(0.0, now - self.at) / DECAY_S))


@dataclass(slots=True)
class Demand:
    """The arrivals and admissions of a class or workspace, and its credit."""

    arrived: DecayedCount = field(default_factory=DecayedCount)
    admitted: DecayedCount = field(default_factory=DecayedCount)
    credit: float = 0.0

    def add_credit(self, amount: float) -> None:
        """Add to the credit, within its limits."""
        self.credit = max(-MAX_CREDIT, min(MAX_CREDIT, self.credit + amount))

    def admitted_share(self, now: float) -> float:
        """Return the admitted share of the arrivals, 1 without arrivals."""
        arrived = self.arrived.read(now)
        return min(1.0, self.admitted.read(now) / arrived) if arrived else 1.0


@dataclass(slots=True)
class ServiceDemand:
    """
    The recent demand of one service at this entry.

    ``shares`` holds the admitted share that each workspace of a class is due; a missing
    one may take what it can get.
    """

    total: Demand = field(default_factory=Demand)
    classes: dict[int, Demand] = field(default_factory=dict)
    workspaces: dict[tuple[int, str], Demand] = field(default_factory=dict)
    last_refused_at: float = 0.0
    short_until: float = 0.0
    shares: dict[tuple[int, str], float] = field(default_factory=dict)
    shares_expire_at: float = 0.0
    forget_at: float = 0.0

    def record_arrival(self, priority: int, workspace: str | None, now: float) -> None:
        """Count a request of a caller, not a retry of this entry."""
        self.total.arrived.add(now)
        of_class = self.classes.setdefault(priority, Demand())
        of_class.arrived.add(now)
        of_class.add_credit(MIN_CLASS_SHARE * self.total.admitted_share(now))
        if workspace is not None:
            if now >= self.forget_at:
                self.forget_idle_workspaces(now)
            key = priority, workspace
            of_workspace = self.workspaces.setdefault(key, Demand())
            of_workspace.arrived.add(now)
            due_share = self.shares.get(key, of_class.admitted_share(now))
            of_workspace.add_credit(due_share)

    def record_admission(
        self, priority: int, workspace: str | None, now: float
    ) -> None:
        """Count a request that is sent to a back end for the first time."""
        demands = [self.total, self.classes.setdefault(priority, Demand())]
        if workspace is not None:
            demands.append(self.workspaces.setdefault((priority, workspace), Demand()))
        for demand in demands:
            demand.admitted.add(now)
            demand.add_credit(-1.0)

    def record_refusal(self, now: float) -> None:
        """Count a request that was refused for lack of capacity."""
        self.last_refused_at = now
        self.short_until = now + SHORTAGE_S

    def is_short(self, now: float) -> bool:
        """Return whether requests were refused lately for lack of capacity."""
        return now < self.short_until

    def is_below_minimum(self, priority: int, now: float) -> bool:
        """Return whether a class got less than its minimum share."""
        of_class = self.classes.get(priority)
        return of_class is not None and self.is_short(now) and of_class.credit >= 1.0

    def is_contended(self, priority: int, now: float) -> bool:
        """Return whether a class was refused in part lately."""
        of_class = self.classes.get(priority)
        return of_class is not None and of_class.admitted_share(now) < CONTENDED_SHARE

    def judged_priority(self, priority: int, now: float) -> int:
        """
        Return the priority as which a request is judged and sent.

        A class below its minimum is judged as the next more urgent one that is not.
        """
        active = sorted(
            p for p, each in self.classes.items() if each.arrived.read(now) > 0.5
        )
        while self.is_below_minimum(priority, now):
            more_urgent = [p for p in active if p < priority]
            if not more_urgent:
                break
            priority = more_urgent[-1]
        return priority

    def terms(
        self,
        priority: int,
        workspace: str | None,
        priorities: tuple[int, ...],
        patience_s: float,
        entries: int,
        now: float,
    ) -> AdmissionTerms:
        """
        Return the terms for a request of a class and workspace.

        ``priorities`` are those of the service's requests, and ``patience_s`` is how
        long the caller waits for the first event.
        """
        short = self.is_short(now)
        judged = self.judged_priority(priority, now)
        admitted = self.total.admitted.read(now)
        more_urgent = sum(
            each.admitted.read(now) for p, each in self.classes.items() if p < judged
        )
        overtaken_share = more_urgent / admitted if short and admitted else 0.0
        over_share = short and self.is_over_share(priority, workspace, now)
        contending = self.count_contending(judged, now)
        # A request may hold a priority of an earlier configuration.
        lowest, highest = min(*priorities, judged), max(*priorities, judged)
        return AdmissionTerms(
            (judged - lowest) / (highest - lowest) if highest > lowest else 0.0,
            overtaken_share,
            short,
            short and now - self.last_refused_at < REFUSING_S,
            over_share,
            patience_s,
            entries * contending / DECAY_S * SENT_NOTICE_S,
            short and self.is_contended(priority, now),
            f"priority={priority} judged_as={judged}"
            f" overtaken_share={overtaken_share:.2f}"
            f" admitted_share={self.total.admitted_share(now):.2f}"
            f" last_refusal_age_s={now - self.last_refused_at:.3f}",
        )

    def count_contending(self, priority: int, now: float) -> float:
        """
        Return how many recent requests, as urgent or more, compete for capacity.

        A workspace over its share counts with what it is due.
        """
        arrived = sum(
            each.arrived.read(now) for p, each in self.classes.items() if p <= priority
        )
        excess = sum(
            (1.0 - share) * self.workspaces[key].arrived.read(now)
            for key, share in self.shares.items()
            if key[0] <= priority
        )
        return arrived - excess

    def is_over_share(self, priority: int, workspace: str | None, now: float) -> bool:
        """Return whether a workspace took more than its share of its class."""
        if workspace is None:
            return False
        if now >= self.shares_expire_at:
            self.update_shares(now)
        key = priority, workspace
        return key in self.shares and self.workspaces[key].credit < 0

    def limits_workspaces(self, now: float) -> bool:
        """Return whether a workspace is limited because others get too little."""
        if not self.is_short(now):
            return False
        if now >= self.shares_expire_at:
            self.update_shares(now)
        return bool(self.shares)

    def forget_idle_workspaces(self, now: float) -> None:
        """Remove the workspaces without recent requests."""
        self.forget_at = now + DECAY_S
        for key in [
            key for key, each in self.workspaces.items() if each.arrived.read(now) < 0.1
        ]:
            del self.workspaces[key]
            self.shares.pop(key, None)

    def update_shares(self, now: float) -> None:
        """
        Compute which workspaces exceed their share, and the share that they are due.

        The admissions of a class are divided evenly, up to the demand of each
        workspace. None is limited while the others are served.
        """
        self.shares_expire_at = now + SHARES_INTERVAL_S
        self.shares = {}
        self.forget_idle_workspaces(now)
        for priority, of_class in self.classes.items():
            arrived = {
                key: each.arrived.read(now)
                for key, each in self.workspaces.items()
                if key[0] == priority
            }
            level = even_share(list(arrived.values()), of_class.admitted.read(now))
            minimum = MIN_WORKSPACE_SHARE * of_class.admitted_share(now)
            limit = OVER_SHARE_RATIO * level + OVER_SHARE_REQUESTS
            others = [key for key, count in arrived.items() if count <= limit]
            wanted = sum(arrived[key] for key in others)
            admitted = sum(self.workspaces[key].admitted.read(now) for key in others)
            if admitted >= SERVED_SHARE * wanted:
                continue
            for key, count in arrived.items():
                if count > limit:
                    self.shares[key] = max(minimum, level / count)


def even_share(demands: list[float], capacity: float) -> float:
    """
    Return the most that each demand gets if a capacity is divided evenly among them.

    What a smaller demand leaves is divided among the others (max-min fairness).

        >>> even_share([1.0, 10.0, 10.0], 9.0)
        4.0
    """
    remaining = capacity
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        level = remaining / (len(ordered) - index)
        if demand >= level:
            return level
        remaining -= demand
    return float("inf")
