"""
The ramp of a server that started or recovered, shared by all entries.

The pace is the number of requests a second that all entries together send. It is
raised or lowered by how the server answers. An entry whose answer changes the pace
publishes it with a step number; of two paces with the same number the lower one counts,
so that entries agree without a coordinator.

Until any entry has had an answer, few entries probe: those that rank first for this
start of the server, and further ones if none of them has a request. Then all starts
move one schedule, as for a limit that a server named. News of a start come too late for
requests of the same instant, so that only as many entries compete as need to for the
pace to be used.

The pace does not replace the bound of a cold server, which both have to admit.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .rate_limit import RateLimit

if TYPE_CHECKING:
    from random import Random

    from .start_shares import Members

# Few enough that the requests to a server that is slow for 3 s are less than 5 in 100
# of those of 20 s (test_start_pace.py): 7 a second were too many.
FIRST_PER_S = 6.0
# The server is idle for less than half a second between two requests that are delayed
# by their turn and by the wait for a request.
LOWEST_PER_S = 6.0
FIRST_PROBES = 2  # ranks that probe first, and requests in PROBE_S before an answer
PROBE_S = 0.25
WIDEN_S = 0.06  # in which the ranks that may probe double; the usual delay of news
LONGEST_WIDENING_S = 0.4  # all ranks of 100 entries may probe after this
RAISE_FACTOR = 1.3  # 8 to 100 requests a second take ten steps
CAREFUL_RAISE_FACTOR = 1.1  # for CAREFUL_S after a slow answer
# For a server that is slower than the others at any pace: few callers are to wait.
SLOWER_RAISE_FACTOR = 1.08
CAREFUL_S = 1.0
RAISE_S = 0.15  # at least between two steps: the news of a step takes up to 0.115 s
LOWER_FACTOR = 0.8
FAILURE_FACTOR = 0.5
USED_SHARE = 0.6  # of the pace: it is not raised while less of it is used
DRAIN_S = 1.0  # in which a server works off what was sent at the pace before
MAX_SLOWDOWN = 1.5  # against the service's other servers
SLOW_MARGIN_S = 0.02  # smaller differences are no slowness
SLOW_ANSWERS_TO_LOWER = 2  # a single one may be a large request
UNUSED_TO_END_S = 2.0
LONGEST_RAMP_S = 20.0
MAX_AHEAD_S = 0.17  # by which too many starts delay the next ones
# The demand of the entries that compete for the pace, as a multiple of it.
COMPETING_DEMAND = 6.0
DEMAND_MEMORY_S = 2.0
USED_MEMORY_S = 5.0


@dataclass(slots=True)
class Ramp:
    """
    The pace of one start of a server.

    ``returned_at`` is when the server started or is back, which all entries learn at
    about the same time. ``limit`` is the schedule of the pace. ``step`` counts the
    changes of the pace, 0 before any answer. ``begun_at`` is when a request was first
    wanted, None before; ``level_at`` is when the pace last changed, and ``used_at``
    when most of it was last used. ``floor_s`` is the shortest time in which the server
    answered, and ``was_lowered`` whether the last change lowered the pace. ``ceiling``
    is not exceeded before ``ceiling_until``. ``sent`` holds the latest starts of all
    entries as time and number, ``wanted`` the latest times at which this entry
    considered the server. ``let_through_at`` is when a request was last admitted
    beyond the pace because the service had no other server.
    """

    key: str
    members: Members
    cause: str
    random: Random
    slots: int = 0
    needs_weights: bool = False
    returned_at: float = float("-inf")
    limit: RateLimit = field(
        default_factory=lambda: RateLimit(FIRST_PER_S, max_ahead_s=MAX_AHEAD_S)
    )
    step: int = 0
    phase: str = "waiting"
    begun_at: float | None = None
    level_at: float = float("-inf")
    used_at: float = float("-inf")
    own_sent_at: float = float("-inf")
    let_through_at: float = float("-inf")
    slow_at: float = float("-inf")
    slow_answers: int = 0
    was_lowered: bool = False
    floor_s: float = float("inf")
    ceiling: float = float("inf")
    ceiling_until: float = float("-inf")
    ended_at: float | None = None
    sent: deque[tuple[float, int]] = field(default_factory=deque)
    wanted: deque[float] = field(default_factory=deque)
    rank: int = 0
    rank_revision: int = -1

    @property
    def per_s(self) -> float:
        """Return the pace in requests a second."""
        return self.limit.rate or LOWEST_PER_S

    def record_wanted(self, now: float) -> None:
        """Record that this entry has a request for which it considers the server."""
        if self.ended_at is not None:
            return
        if self.begun_at is None:
            self.begun_at = self.level_at = self.used_at = self.begins_at(now)
            self.phase = "probing"
        if self.should_end(now):
            self.end("its pace is not used", now)
            return
        self.wanted.append(now)
        while self.wanted[0] < now - DEMAND_MEMORY_S:
            self.wanted.popleft()

    def begins_at(self, now: float) -> float:
        """Return when the ramp began, or begins with a request now."""
        if self.begun_at is not None:
            return self.begun_at
        return min(now, max(self.returned_at, now - LONGEST_WIDENING_S))

    def admits(self, now: float) -> bool:
        """Return whether this entry may send the server a request now."""
        if self.ended_at is not None or now == self.let_through_at:
            return True
        if self.members.leaving:
            return False
        if self.step == 0:
            return self.may_probe(now)
        return self.own_rank(now) < self.competing_ranks(now) and self.limit.admits(now)

    def may_probe(self, now: float) -> bool:
        """Return whether this entry may send a request before any answer."""
        if now < self.own_sent_at + PROBE_S:
            return False
        if self.sent_within(PROBE_S, now) >= FIRST_PROBES:
            return False
        doublings = min(20.0, (now - self.begins_at(now)) / WIDEN_S)
        return self.own_rank(now) < FIRST_PROBES * 2.0**doublings

    def competing_ranks(self, now: float) -> float:
        """
        Return how many entries compete for the pace, by the demand of this one.

        Entries whose callers have many requests rank themselves among fewer ones.
        """
        earlier = len(self.wanted) - 1  # the present one is not a random sample
        if earlier <= 0:
            return float("inf")
        observed_s = max(PROBE_S, min(DEMAND_MEMORY_S, now - self.begins_at(now)))
        competing = COMPETING_DEMAND * self.per_s * observed_s / earlier
        return max(FIRST_PROBES, competing)

    def own_rank(self, now: float) -> int:
        """Return the rank of this entry for the server's start."""
        if self.rank_revision != self.members.revision:
            self.rank_revision = self.members.revision
            self.rank = self.members.rank(self.key)
        return self.members.estimate_rank(self.rank, self.key, now)

    def should_end(self, now: float) -> bool:
        """Return whether the pace has limited nothing for a while."""
        assert self.begun_at is not None
        if now < self.ceiling_until:
            return False
        if now - self.begun_at > LONGEST_RAMP_S:
            return True
        busy_at = max(self.used_at, self.slow_at)
        return self.step > 0 and now - busy_at > UNUSED_TO_END_S

    def end(self, cause: str, now: float) -> None:
        """End the ramp for this entry."""
        self.ended_at = now
        self.phase = "ended"
        self.cause = cause
        self.wanted.clear()

    def ceiling_at(self, now: float) -> float:
        """Return the pace that is not exceeded, infinity without one."""
        return self.ceiling if now < self.ceiling_until else float("inf")

    def slots_per_s(self) -> float:
        """Return how many requests a second the slots work off at the shortest time."""
        if not self.slots or self.floor_s <= 0.0:
            return float("inf")
        return max(LOWEST_PER_S, self.slots / self.floor_s)

    def sent_within(self, seconds: float, now: float) -> int:
        """Return how many requests all entries sent lately, as far as is known."""
        return sum(number for at, number in self.sent if at > now - seconds)

    def record_start(self, now: float) -> bool:
        """Count a request that is about to be sent; return whether to publish it."""
        if self.ended_at is not None or self.begun_at is None:
            return False
        self.own_sent_at = now
        self.record_starts(1, now)
        return True

    def record_starts(self, number: int, now: float) -> None:
        """Count requests that this or another entry sends."""
        if self.ended_at is not None:
            return
        self.limit.record_starts(number, now, self.random)
        self.sent.append((now, number))
        while self.sent[0][0] < now - USED_MEMORY_S:
            self.sent.popleft()
        if self.sent_within(1.0, now) >= USED_SHARE * self.per_s:
            self.used_at = now

    def record_answer(
        self, taken_s: float, usual_s: float | None, sent_at: float, now: float
    ) -> bool:
        """
        Record a successful answer; return whether the pace changed.

        ``taken_s`` is the time to the answer, or to the first event of a stream, and
        ``usual_s`` what it should be: that of the service's other servers, or the
        prediction; None if it is not known. A server that never answers so fast is
        compared with its own shortest time. Answers to requests that were sent at
        another pace tell nothing about this one.
        """
        if self.ended_at is not None or self.begun_at is None:
            return False
        self.floor_s = min(self.floor_s, taken_s)
        if self.step == 0:
            self.change(self.per_s, "probing", "first answer", now)
            return True
        if sent_at < self.level_at - RAISE_S:
            return False
        if is_slow(taken_s, max(self.floor_s, usual_s or 0.0)):
            # Requests sent right after the pace was lowered wait behind earlier ones.
            drained_at = self.level_at + (DRAIN_S if self.was_lowered else 0.0)
            return sent_at >= drained_at and self.record_slow(now)
        if sent_at < self.level_at or now < self.level_at + RAISE_S:
            return False
        level_s = now - self.level_at
        if self.sent_within(level_s, now) < USED_SHARE * self.per_s * level_s:
            return False
        factor = RAISE_FACTOR
        if now - self.slow_at < CAREFUL_S:
            factor = CAREFUL_RAISE_FACTOR
        elif is_slow(taken_s, usual_s or taken_s):
            factor = SLOWER_RAISE_FACTOR
        raised = min(self.per_s * factor, self.ceiling_at(now))
        if is_slow(self.floor_s, usual_s or self.floor_s):
            raised = min(raised, self.slots_per_s())
        if raised <= self.per_s:
            return False
        self.change(raised, "raising", "answered in its usual time", now)
        return True

    def record_slow(self, now: float) -> bool:
        """Record a slow answer, or a refusal; return whether the pace changed."""
        if self.ended_at is not None or self.begun_at is None:
            return False
        self.slow_at = now
        self.slow_answers += 1
        if self.per_s <= LOWEST_PER_S:
            self.phase = "holding"
            return False
        if self.slow_answers < SLOW_ANSWERS_TO_LOWER:
            return False
        lowered = max(LOWEST_PER_S, self.per_s * LOWER_FACTOR)
        self.change(lowered, "lowered", "answered slowly or refused", now)
        return True

    def record_failure(self, sent_at: float, now: float) -> bool:
        """Record that a request failed; return whether the pace changed."""
        if self.ended_at is not None or self.begun_at is None:
            return False
        self.slow_at = now
        if sent_at < self.level_at:
            return False
        lowered = max(LOWEST_PER_S, self.per_s * FAILURE_FACTOR)
        self.change(lowered, "lowered", "a request failed", now)
        return True

    def change(self, per_s: float, phase: str, cause: str, now: float) -> None:
        """Apply a pace that this entry decided."""
        self.step += 1
        self.phase = phase
        self.cause = cause
        self.apply_pace(per_s, now)

    def apply_pace(self, per_s: float, now: float) -> None:
        """Apply a pace to the schedule."""
        self.was_lowered = per_s < self.per_s
        self.limit.apply(per_s, now, now, self.random)
        self.level_at = now
        self.slow_answers = 0

    def apply_news(self, step: int, per_s: float, floor_s: float, now: float) -> bool:
        """Apply the pace of another entry; return whether it is later than the own."""
        self.floor_s = min(self.floor_s, floor_s)
        if self.ended_at is not None or (step, -per_s) <= (self.step, -self.per_s):
            return False
        if self.begun_at is None:
            self.begun_at = self.used_at = now
        if per_s < self.per_s:
            self.slow_at = now
        self.phase = "lowered" if per_s < self.per_s else "raising"
        self.step = step
        self.cause = "decided by another entry"
        self.apply_pace(per_s, now)
        return True

    def busiest_second(self) -> int:
        """Return the most requests of all entries in a second, as far as is known."""
        return max((self.sent_before(at) for at, _number in self.sent), default=0)

    def sent_before(self, end: float) -> int:
        """Return how many requests all entries sent in the second before a time."""
        return sum(number for at, number in self.sent if end - 1.0 < at <= end)


def is_slow(taken_s: float, usual_s: float) -> bool:
    """Return whether an answer took far longer than usual."""
    return taken_s > MAX_SLOWDOWN * usual_s + SLOW_MARGIN_S
