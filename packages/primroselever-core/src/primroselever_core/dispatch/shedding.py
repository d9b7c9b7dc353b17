"""
Admission of requests by priority and by the shares of workspaces under shortage.

Each entry decides from its own callers, the load of the back ends and what peers
publish. Where requests of a service differ in priority, a request is predicted to wait
only for those that are as urgent or more, and it is sent with its urgency, so the least
urgent ones are refused first. A class that gets less than a minimum share is judged as
the most urgent one, and a workspace that exceeds its share only gets free slots.
Without ``AdmissionTerms``, all requests are judged alike.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from .predict import predict_read_s, predict_request_s
from .server_memory import REPORT_TRANSIT_S

if TYPE_CHECKING:
    from random import Random

    from ..catalogue.model import EngineFigures
    from .backend import Backend
    from .choose import RequestNeeds

LATE_LOAD_SHARE = 1.0  # of the slots; late requests only get slots that are free
# The same during a shortage, where the last free slots are for requests in time.
SHORTAGE_LATE_LOAD_SHARE = 0.7
# Waiting requests of an engine below which a late request is queued after all others.
# It then takes the first slot that nobody else needs.
LATE_QUEUE_REQUESTS = 4.0
URGENCY_LATE = 8  # runs after all requests that can still meet their objective
URGENCY_LATE_LESS_URGENT = 9
MAX_ON_TIME_URGENCY = 7
LONGEST_RETRY_S = 2.0
# Of the time left to the deadline. Callers shorten a longer delay to this, and the
# less urgent ones would come back together with the others.
HONOURED_SHARE = 1 / 3
# Of the wait that is left for a plain service, what its least urgent callers leave to
# the others while requests are refused.
RESERVED_DEADLINE_SHARE = 0.5
# Of the objective. The rest is for what other entries send meanwhile: with all of it,
# most answers of an overloaded class were late.
CONTENDED_WAIT_SHARE = 0.7
QUEUE_WAIT_SHARE = 0.5  # of the objective; a longer predicted wait contains a queue
# Of the time that reading a prompt takes beyond the usual one. Without it, the largest
# tenth of the requests is served a third as often as all; with more than this share,
# fewer urgent requests are in time.
LARGE_PROMPT_RELIEF = 0.5
MAX_OVERTAKEN_SHARE = 0.8  # keeps the predicted wait of the least urgent class finite


class RefusalCause(StrEnum):
    """Why a request was refused although back ends are usable."""

    OVERLOADED = "overloaded"
    MORE_URGENT = "refused in favour of more urgent requests"
    OVER_SHARE = "workspace over its share"


@dataclass(frozen=True, slots=True)
class AdmissionTerms:
    """
    The terms on which a request is judged.

    ``least_urgent_rank`` is the request's rank among the priorities of the service, 0
    for the most urgent and 1 for the least urgent one. ``overtaken_share`` is the share
    of recent admissions that were more urgent, ``shortage`` whether requests were
    refused lately, ``refusing`` whether some were in the last moments, ``patience_s``
    the seconds until the caller leaves without a first event. ``contenders`` is how
    many requests, as urgent or more, all entries probably receive before they learn of
    this one, and ``contended`` whether its class was refused in part. ``inputs``
    describes the figures behind the terms for the log.
    """

    least_urgent_rank: float = 0.0
    overtaken_share: float = 0.0
    shortage: bool = False
    refusing: bool = False
    over_share: bool = False
    patience_s: float = 0.0
    contenders: float = 0.0
    contended: bool = False
    inputs: str = ""


@dataclass(frozen=True, slots=True)
class Refusal:
    """The cause of a refusal, and by how many seconds the limit would be missed."""

    cause: RefusalCause
    late_by_s: float


def on_time_urgency(priority: int) -> int:
    """Return the urgency with which a request of a priority is sent."""
    return max(0, min(MAX_ON_TIME_URGENCY, priority))


def late_urgency(priority: int) -> int:
    """Return the urgency of a request that can no longer meet its objective."""
    return URGENCY_LATE if priority <= 0 else URGENCY_LATE_LESS_URGENT


def count_waiting_ahead(
    backend: Backend, needs: RequestNeeds, figures: EngineFigures, now: float
) -> float:
    """
    Return how many requests an engine admits from its queue before a new request.

    Those that arrive later and are more urgent count too: while the engine is full,
    they take a share of the slots that become free.
    """
    waiting = max(0.0, backend.load(now) + 1 - figures.slots)
    terms = needs.terms
    if terms is None or not waiting:
        return waiting
    request_s = predict_request_s(figures)
    waiting = max(0.0, waiting - expected_ends(backend, request_s, now))
    if not waiting:
        return 0.0
    ahead = backend.urgent_work.count_ahead(needs.urgency, waiting - 1, request_s, now)
    overtaken_share = min(MAX_OVERTAKEN_SHARE, terms.overtaken_share)
    return (ahead + min(1.0, waiting)) / (1.0 - overtaken_share)


def expected_ends(backend: Backend, request_s: float, now: float) -> float:
    """Return how many requests probably ended at a full engine since its report."""
    report = backend.report
    if report is None or not report.is_fresh(now):
        return 0.0
    age_s = max(0.0, now - report.received_at + REPORT_TRANSIT_S)
    return age_s / (request_s * max(1.0, report.pace))


def admission_limit_s(needs: RequestNeeds, figures: EngineFigures) -> float:
    """
    Return the longest predicted wait with which a request is admitted, in seconds.

    It is the objective. During a shortage, a class that is refused in part keeps a
    margin for what other entries send meanwhile, and a large prompt is not refused for
    most of the time that reading it takes: it would never be admitted.
    """
    terms = needs.terms
    if terms is None or not terms.shortage:
        return needs.first_event_within_s
    if not terms.contended:
        return needs.first_event_within_s
    extra_tokens = max(0.0, needs.prompt_tokens - figures.usual_prompt_tokens)
    relief_s = LARGE_PROMPT_RELIEF * predict_read_s(figures, extra_tokens)
    return CONTENDED_WAIT_SHARE * needs.first_event_within_s + relief_s


def is_contended(
    first_predicted_s: float, needs: RequestNeeds, figures: EngineFigures | None
) -> bool:
    """
    Return whether entries compete for the engines' room for a class of requests.

    Queues show it to all entries alike. If only the entries that refused some requests
    held back, the others would take all the room.
    """
    if figures is None or needs.terms is None:
        return False
    extra_tokens = max(0.0, needs.prompt_tokens - figures.usual_prompt_tokens)
    wait_s = first_predicted_s - predict_read_s(figures, extra_tokens)
    contended_s = QUEUE_WAIT_SHARE * needs.first_event_within_s
    return needs.terms.contended or wait_s > contended_s


def admit_request(
    backends: list[Backend],
    predictions: list[float],
    first: int,
    needs: RequestNeeds,
    figures: EngineFigures | None,
    now: float,
    random: Random,
) -> int | Refusal:
    """
    Return the index of the back end that gets a request, or why it is refused.

    ``predictions`` are the predicted waits, ``first`` is the back end ranked first.
    """
    terms = None if needs.is_late else needs.terms
    chosen = first
    contended = is_contended(predictions[first], needs, figures)
    if figures is not None and terms is not None and contended:
        drawn = spread_over_engines(
            backends, predictions, needs, terms, figures, now, random
        )
        if drawn is None:
            late_by_s = predictions[first] - needs.first_event_within_s
            return Refusal(shortage_cause(terms), late_by_s)
        chosen = drawn
    refusal = judge_request(backends[chosen], needs, figures, predictions[chosen], now)
    return chosen if refusal is None else refusal


def judge_request(
    backend: Backend,
    needs: RequestNeeds,
    figures: EngineFigures | None,
    predicted_s: float,
    now: float,
) -> Refusal | None:
    """
    Return why a request is not sent to the back end ranked first, None if it is.

    The limit is the objective for an engine and the caller's deadline for other back
    ends.
    """
    if figures is None:
        return judge_plain(backend, needs, predicted_s, now)
    terms = needs.terms
    if needs.is_late:
        return judge_late(backend, needs, figures, predicted_s, now)
    late_by_s = predicted_s - admission_limit_s(needs, figures)
    has_free_slot = backend.load(now) + 1 <= figures.slots
    if terms is None:
        return Refusal(RefusalCause.OVERLOADED, late_by_s) if late_by_s > 0 else None
    if terms.shortage and terms.over_share and not has_free_slot:
        request_s = predict_request_s(figures)
        return Refusal(RefusalCause.OVER_SHARE, max(late_by_s, request_s))
    # Reading a large prompt may take longer than the objective on any engine.
    if late_by_s <= 0 or (has_free_slot and not terms.shortage):
        return None
    # The margin of a contended class is for queues, not for a free slot in time.
    if has_free_slot and predicted_s <= needs.first_event_within_s:
        return None
    return Refusal(shortage_cause(terms), late_by_s)


def shortage_cause(terms: AdmissionTerms | None) -> RefusalCause:
    """Return which use of the capacity caused a refusal."""
    if terms is not None and terms.over_share:
        return RefusalCause.OVER_SHARE
    if terms is None or not terms.overtaken_share:
        return RefusalCause.OVERLOADED
    return RefusalCause.MORE_URGENT


def judge_late(
    backend: Backend,
    needs: RequestNeeds,
    figures: EngineFigures,
    predicted_s: float,
    now: float,
) -> Refusal | None:
    """
    Return why a request that has missed its objective is refused, None if it is sent.

    It gets a slot that is free. Where priorities differ, it may also wait behind all
    other requests, if its caller still waits then and none was refused lately.
    """
    load = backend.load(now)
    in_shortage = needs.terms is not None and needs.terms.shortage
    load_share = SHORTAGE_LATE_LOAD_SHARE if in_shortage else LATE_LOAD_SHARE
    free_slots = load_share * figures.slots - load - 1
    request_s = predict_request_s(figures)
    late_by_s = -free_slots * request_s
    terms = needs.terms
    patience_s = terms.patience_s if terms is not None else 0.0
    if terms is not None and terms.shortage and terms.over_share:
        return Refusal(RefusalCause.OVER_SHARE, max(late_by_s, request_s))
    if late_by_s <= 0:
        return None
    has_queue_room = load + 1 - figures.slots <= LATE_QUEUE_REQUESTS
    may_queue = terms is not None and not terms.refusing
    if may_queue and has_queue_room and predicted_s < patience_s:
        return None
    return Refusal(RefusalCause.OVERLOADED, late_by_s)


def judge_plain(
    backend: Backend, needs: RequestNeeds, predicted_s: float, now: float
) -> Refusal | None:
    """
    Return why a request is not sent to a plain service, None if it is.

    Its servers admit requests in the order of arrival. During a shortage, less urgent
    ones leave a part of the longest wait to the others.
    """
    late_by_s = predicted_s - needs.deadline_within_s
    if late_by_s > 0:
        return Refusal(RefusalCause.OVERLOADED, late_by_s)
    terms = needs.terms
    has_free_slot = backend.load(now) + 1 <= max(1, backend.listed.slots)
    if terms is None or not terms.shortage or has_free_slot:
        return None
    if terms.over_share:
        return Refusal(RefusalCause.OVER_SHARE, backend.mean_duration_s)
    reserved_share = RESERVED_DEADLINE_SHARE * terms.least_urgent_rank
    late_by_s = predicted_s - (1.0 - reserved_share) * needs.deadline_within_s
    if late_by_s > 0:
        return Refusal(RefusalCause.MORE_URGENT, late_by_s)
    return None


def spread_over_engines(
    backends: list[Backend],
    predictions: list[float],
    needs: RequestNeeds,
    terms: AdmissionTerms,
    figures: EngineFigures,
    now: float,
    random: Random,
) -> int | None:
    """
    Return the index of a random engine that would be in time, None if none is taken.

    During a shortage few engines have room, and all entries see the same ones. Each
    engine is drawn by its room; with more contenders than room, the request gets its
    share of the queues by chance. A free slot in time is not left to chance: the number
    of contenders is an estimate, and too high where few entries receive a surge.
    """
    request_s = predict_request_s(figures)
    limit_s = admission_limit_s(needs, figures)
    rooms = []
    idle_rooms = []
    for backend, predicted_s in zip(backends, predictions, strict=True):
        free_slots = max(0.0, figures.slots - backend.load(now))
        is_idle = free_slots >= 1.0 and predicted_s <= needs.first_event_within_s
        in_time = is_idle or predicted_s <= limit_s
        queue_room = max(0.0, (limit_s - predicted_s) / request_s)
        room = free_slots if terms.over_share else free_slots + queue_room
        rooms.append(room if in_time else 0.0)
        idle_rooms.append(free_slots if is_idle else 0.0)
    if any(idle_rooms) and not terms.over_share:
        return random.choices(range(len(idle_rooms)), idle_rooms)[0]
    room = sum(rooms)
    # A workspace over its share gets what the others leave.
    spare = room - terms.contenders if terms.over_share else room
    if room <= 0 or random.random() * terms.contenders > spare:
        return None
    return random.choices(range(len(rooms)), rooms)[0]


def choose_retry_s(late_by_s: float, needs: RequestNeeds, random: Random) -> float:
    """
    Return when a refused caller should come back, in seconds, with random jitter.

    During a shortage its objective is lost, so it comes back as late as callers wait.
    Less urgent callers come back last, so that the more urgent ones find what becomes
    free first.
    """
    terms = needs.terms
    if terms is not None and terms.shortage:
        share = 0.5 + 0.25 * terms.least_urgent_rank + 0.25 * random.random()
        longest_s = min(LONGEST_RETRY_S, HONOURED_SHARE * needs.deadline_within_s)
        return max(0.1, longest_s * share)
    return min(LONGEST_RETRY_S, max(0.1, late_by_s) * (1.0 + random.random()))
