"""
Selection of the back end for a request, or its immediate refusal.

Designed for load near capacity on engines of different occupancy. A request is sent to
the back end with the earliest predicted first event. A request that would be late on
the back end ranked first is refused before it takes a slot from one that would be in
time. A back end that has no weights or fails more often than others is not chosen,
although it looks idle. After it refused a request because it was full, an engine is
ranked lower for a short time, and any other back end is not chosen. An engine whose
first events come later than predicted, or are overdue, by more than those of the
others, is ranked lower: the link of its VM may be congested, which its reports do not
show. So is an engine whose next pass would read so many prompts that the requests that
it runs pause.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from statistics import median
from typing import TYPE_CHECKING

from .announcements import caller_return_s, earliest_return
from .backend import find_failing_backends
from .old_weights import send_deadline, starts_in_time
from .pace import plain_duration_s, slowness
from .predict import (
    predict_answer_s,
    predict_first_event_s,
    predict_read_s,
    predict_request_s,
    predict_step_s,
)
from .shedding import (
    LONGEST_RETRY_S,
    Refusal,
    RefusalCause,
    admit_request,
    choose_retry_s,
    count_waiting_ahead,
)
from .urgent_work import DEFAULT_URGENCY

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable
    from random import Random

    from ..catalogue.model import EngineFigures
    from .backend import Backend
    from .shedding import AdmissionTerms

# Added for an engine whose agent's reports are overdue: its VM may be unreachable, and
# without reports its load would appear to fall. Above the duration of a failed connect.
SILENT_AGENT_PENALTY_S = 0.3
CLOSING_PENALTY_S = 0.1  # for a request that would still run when the engine closes
OTHER_DOMAIN_PENALTY_S = 0.04  # traffic between failure domains costs more
# For a plain server with all slots taken, so that servers of one pace share the load.
# Below the cost of another domain, which gets requests only if they would wait here.
BALANCE_COST_S = 0.02
# Smaller differences between engines are prediction errors.
MIN_UNEXPECTED_DELAY_S = 0.2
# Of the longest pause between events that a route allows: the time that a pass may
# spend on reading prompts. The rest is for its steps and for the way to the caller.
READ_SHARE_OF_PAUSE = 0.35
PAUSE_WEIGHT = 3.0  # all requests that the engine runs pause, not only this one
JITTER_S = 0.005  # keeps entries with the same reports from choosing the same server
NO_SERVER_RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class RequestNeeds:
    """
    What a request needs of a back end, with times in seconds.

    ``first_event_within_s`` is the time left until the objective is missed,
    ``deadline_within_s`` the time left until the caller leaves. ``min_version`` is 0
    if weights of any version may answer. ``pause_s`` is the longest pause between
    events that the route allows, 0 if it names none. ``urgency`` is that with which
    the request is sent (0 to 9, 0 first), and ``terms`` are those of its admission,
    None where all requests are judged alike. ``newer_bounds`` holds published versions
    and for how many seconds requests may still start on older ones.
    """

    model: str
    min_version: int
    prompt_tokens: float
    answer_tokens: float
    first_event_within_s: float
    deadline_within_s: float
    pause_s: float = 0.0
    urgency: int = DEFAULT_URGENCY
    terms: AdmissionTerms | None = None
    newer_bounds: tuple[tuple[int, float], ...] = ()

    @property
    def is_late(self) -> bool:
        """Return whether the objective can no longer be met."""
        return self.first_event_within_s <= 0


@dataclass(frozen=True, slots=True)
class Chosen:
    """
    The chosen back end, and the candidates as text.

    ``predicted_s`` is the predicted wait plus the domain penalty and jitter, and
    ``expected_s`` the time that a server of the usual pace needs for what is measured:
    the first event of an engine, the whole answer of another server. Both are in
    seconds. ``expected_s`` is 0 where the pace is not measured. After ``send_by`` the
    request would start too late on the weights of the engine.
    """

    backend: Backend
    predicted_s: float
    candidates: str
    expected_s: float = 0.0
    send_by: float = inf


@dataclass(frozen=True, slots=True)
class Refused:
    """
    The reason for refusing a request, and the delay before a retry may succeed.

    ``cause`` is set if back ends are usable but have no capacity for the request.
    """

    reason: str
    retry_after_s: float
    candidates: str = ""
    cause: RefusalCause | None = None


def choose_backend(
    backends: Iterable[Backend],
    needs: RequestNeeds,
    figures: EngineFigures | None,
    own_domain: str,
    excluded: Collection[str],
    now: float,
    random: Random,
) -> Chosen | Refused:
    """
    Return the back end with the earliest predicted first event, or a refusal.

    ``excluded`` holds the identifiers of back ends that are not considered. A caller of
    a service whose back ends are all closed learns when the first one returns.
    """
    backends = list(backends)
    considered = [b for b in backends if b.listed.server_id not in excluded]
    candidates = [b for b in considered if is_candidate(b, needs, figures, now)]
    if not candidates:
        returns_at = earliest_return((each.announced for each in backends), now)
        if returns_at is not None:
            limited = any(not each.announced.limit.admits(now) for each in backends)
            return Refused(
                "all back ends are at the limits that they named"
                if limited
                else "all back ends turn requests away for a time",
                caller_return_s(returns_at, needs.deadline_within_s, now, random),
                describe_closed(backends, now),
            )
        return Refused(
            explain_no_candidate(considered, needs, figures, now),
            spread_retry_s(NO_SERVER_RETRY_S, random),
            describe_closed(backends, now),
        )
    failing = find_failing_backends(candidates)
    healthy = [b for b in candidates if b.listed.server_id not in failing]
    delays = [first_event_delay_s(backend, now) for backend in healthy]
    usual_delay_s = median(delays)
    usual = usual_pace(healthy, figures, now)
    costs = [domain_cost_s(backend, figures, own_domain) for backend in healthy]
    predictions = [
        predict_wait_s(backend, needs, figures, now, usual)
        + excess_wait_s(
            backend,
            needs,
            figures,
            usual,
            # Agents measure the delay of the link itself, so that nothing is usual.
            max(congestion_s(delay_s, usual_delay_s), backend.link_delay_s(now)),
            now,
        )
        + cost_s
        + JITTER_S * random.random()
        for backend, delay_s, cost_s in zip(healthy, delays, costs, strict=True)
    ]
    ranked = sorted(
        (predicted_s + pause_cost_s(backend, needs, figures, now), index)
        for index, (backend, predicted_s) in enumerate(
            zip(healthy, predictions, strict=True)
        )
    )
    summary = " ".join(
        describe_candidate(healthy[i], now, due_s) for due_s, i in ranked[:3]
    )
    first = ranked[0][1]
    measures_pace = healthy[first].measures_pace
    if measures_pace and 0 < needs.first_event_within_s < predictions[first]:
        # A wait within the objective is worth the traffic between the domains. The
        # cost of the traffic orders the back ends but refuses no request.
        for index, cost_s in enumerate(costs):
            predictions[index] -= min(cost_s, OTHER_DOMAIN_PENALTY_S)
        first = min(range(len(healthy)), key=predictions.__getitem__)
    verdict = admit_request(healthy, predictions, first, needs, figures, now, random)
    if isinstance(verdict, Refusal):
        retry_s = choose_retry_s(verdict.late_by_s, needs, random)
        return Refused(verdict.cause.value, retry_s, summary, verdict.cause)
    chosen = healthy[verdict]
    send_by = inf
    if figures is not None:
        send_by = send_deadline(chosen, needs, figures, now)
    if not measures_pace:
        return Chosen(chosen, predictions[verdict], summary, send_by=send_by)
    expected_s = (
        chosen.mean_duration_s
        if figures is None
        else predict_published_s(chosen, needs, figures, now)
    )
    return Chosen(chosen, predictions[verdict], summary, expected_s or usual, send_by)


def is_candidate(
    backend: Backend, needs: RequestNeeds, figures: EngineFigures | None, now: float
) -> bool:
    """Return whether a back end could answer a request now."""
    if not backend.available(now):
        return False
    if figures is None:
        return now >= backend.marked_full_until
    if backend.switching(now):
        return False
    loaded_version = backend.loaded_version(needs.model, now)
    return (
        loaded_version > 0
        and loaded_version >= needs.min_version
        and starts_in_time(backend, needs, figures, now)
    )


def usual_pace(
    backends: list[Backend], figures: EngineFigures | None, now: float
) -> float:
    """
    Return the usual pace of back ends of a service.

    For engines it is a multiple of what is published, 1 if none was measured. For other
    back ends it is the duration of a request in seconds, 0 if none was measured.
    """
    if not all(each.measures_pace for each in backends):
        return 0.0 if figures is None else 1.0
    if figures is not None:
        # An engine that was not measured counts as published: with few requests, the
        # only one that was measured may be the slow one.
        return median(each.measured.value(now) or 1.0 for each in backends)
    known = [each.mean_duration_s for each in backends if each.mean_duration_s]
    return median(known) if known else 0.0


def predict_published_s(
    backend: Backend, needs: RequestNeeds, figures: EngineFigures, now: float
) -> float:
    """Return the predicted wait at an engine that is as fast as published."""
    return predict_first_event_s(
        figures,
        backend.load(now),
        needs.prompt_tokens,
        1.0,
        backend.pending_read_s(now),
        count_waiting_ahead(backend, needs, figures, now),
    )


def predict_wait_s(
    backend: Backend,
    needs: RequestNeeds,
    figures: EngineFigures | None,
    now: float,
    usual: float,
) -> float:
    """
    Return the predicted seconds until a back end begins its answer.

    Engines are predicted from their published ``figures``, other back ends from the
    duration of their requests; ``usual`` is that of the service's back ends.
    """
    load = backend.load(now)
    if figures is None:
        slots = max(1, backend.listed.slots)
        duration_s = backend.mean_duration_s
        if backend.measures_pace:
            duration_s = plain_duration_s(
                backend.measured.value(now), duration_s, usual
            )
        queued = max(0.0, load + 1 - slots)
        return duration_s * (1.0 + queued / slots) + 0.001 * (load / slots)
    due_s = backend.pace(now) * predict_published_s(backend, needs, figures, now)
    if backend.report_late(now):
        due_s += SILENT_AGENT_PENALTY_S
    if backend.closes_within(
        due_s + predict_answer_s(figures, load, needs.answer_tokens), now
    ):
        due_s += CLOSING_PENALTY_S
    if now < backend.marked_full_until:
        due_s += figures.slots * predict_request_s(figures)
    return due_s


def domain_cost_s(
    backend: Backend, figures: EngineFigures | None, own_domain: str
) -> float:
    """
    Return the cost, in seconds, of a back end in another failure domain.

    An agent reports to a few entries of each other domain. To the others its engine
    would always seem to be idle.
    """
    if backend.listed.failure_domain == own_domain:
        return 0.0
    if figures is not None and backend.report is None:
        return OTHER_DOMAIN_PENALTY_S + SILENT_AGENT_PENALTY_S
    return OTHER_DOMAIN_PENALTY_S


def excess_wait_s(
    backend: Backend,
    needs: RequestNeeds,
    figures: EngineFigures | None,
    usual: float,
    link_delay_s: float,
    now: float,
) -> float:
    """
    Return by how much an engine's measured waits exceed its prediction, in seconds.

    The measured pace and the delay of the link describe the same late events, so the
    larger one counts.
    """
    if figures is None or not backend.measures_pace:
        return link_delay_s
    published = backend.pace(now)
    factor = slowness(backend.measured.value(now), usual, published)
    if factor == 1.0:
        return link_delay_s
    wait_s = published * predict_published_s(backend, needs, figures, now)
    return max(link_delay_s, (factor - 1.0) * wait_s)


def congestion_s(delay_s: float, usual_delay_s: float) -> float:
    """Return the delay of a back end's link, 0 if it is not above the usual one."""
    excess_s = delay_s - usual_delay_s
    return excess_s if excess_s > MIN_UNEXPECTED_DELAY_S else 0.0


def first_event_delay_s(backend: Backend, now: float) -> float:
    """
    Return by how many seconds a back end's first events come later than predicted.

    One that is overdue counts before it arrives: requests in a congested link arrive
    seconds late, and meanwhile the engine, which reports no queue, looks idle.
    """
    return max(backend.unexpected_delay_s(now), backend.first_events.overdue_s(now))


def pause_cost_s(
    backend: Backend, needs: RequestNeeds, figures: EngineFigures | None, now: float
) -> float:
    """
    Return the cost, in seconds, that a request causes to others on a back end.

    An engine's pass reads all prompts that arrived before it, and the requests that run
    get no event meanwhile. Requests to another back end take its free slots. The cost
    counts for the order of back ends but refuses no request.
    """
    if figures is None:
        if not backend.measures_pace:
            return 0.0
        taken = backend.load(now) / max(1, backend.listed.slots)
        return BALANCE_COST_S * min(1.0, taken)
    if not needs.pause_s:
        return 0.0
    pass_s = figures.steps_per_pass * predict_step_s(
        figures, min(backend.load(now), figures.slots)
    )
    unread_s = backend.unread_s(pass_s, now)
    if not unread_s:
        return 0.0
    read_s = unread_s + predict_read_s(figures, needs.prompt_tokens)
    return PAUSE_WEIGHT * max(0.0, read_s - READ_SHARE_OF_PAUSE * needs.pause_s)


def explain_no_candidate(
    backends: list[Backend],
    needs: RequestNeeds,
    figures: EngineFigures | None,
    now: float,
) -> str:
    """Return the reason why no back end is a candidate, for the caller."""
    if not backends:
        return "no back end is listed"
    if not any(backend.announced.admits_requests(now) for backend in backends):
        return "all back ends are leaving or turn requests away for a time"
    if any(backend.waits_for_start(now) for backend in backends):
        return "all back ends failed lately, are leaving or are starting"
    if not any(backend.available(now) for backend in backends):
        if any(not backend.announced.limit.admits(now) for backend in backends):
            return "all back ends failed lately or are at the limits that they named"
        if all(backend.announced.admits_requests(now) for backend in backends):
            return "all back ends failed lately"
        return "all back ends failed lately, are leaving or turn requests away"
    if needs.model and not any(b.loaded_version(needs.model, now) for b in backends):
        return "no back end has loaded the weights"
    if needs.min_version or (
        figures is not None
        and not any(starts_in_time(each, needs, figures, now) for each in backends)
    ):
        return "no back end serves the named version yet"
    return "all back ends are full or switch weights"


def spread_retry_s(wait_s: float, random: Random) -> float:
    """Return a delay with random jitter, which spreads the retries of callers."""
    return min(LONGEST_RETRY_S, max(0.1, wait_s) * (1.0 + random.random()))


def describe_closed(backends: list[Backend], now: float) -> str:
    """Return the identifiers of the first back ends to return, and when, as text."""
    returns = sorted(
        (backend.announced.returns_at, backend.listed.server_id)
        for backend in backends
        if backend.announced.is_closed(now) and not backend.announced.is_leaving
    )
    return " ".join(
        f"{server_id}:closed:{(returns_at - now) * 1000:.0f}ms"
        for returns_at, server_id in returns[:3]
    )


def describe_candidate(backend: Backend, now: float, due_s: float) -> str:
    """Return a candidate's identifier, load and predicted milliseconds as text."""
    server_id = backend.listed.server_id
    return f"{server_id}:{backend.load(now):.0f}:{due_s * 1000:.0f}ms"
