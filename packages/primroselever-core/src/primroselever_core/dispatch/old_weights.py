"""
Whether a request starts on old weights before their bound.

A newer version of the weights has a bound, from which on no request may start on older
ones. A request starts with its first token. It is sent to an engine with old weights
only if the predicted time to that token and a safety margin end before the bound. The
margin is large where the request may wait in a queue, since the prediction then depends
on requests of other entries that this one does not see yet.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from ..catalogue.published_weights import LEAST_MARGIN_S, OLD_WEIGHTS_MARGIN_S
from .predict import predict_first_event_s, predict_read_s

if TYPE_CHECKING:
    from ..catalogue.model import EngineFigures
    from .backend import Backend
    from .choose import RequestNeeds

PREDICTION_ERROR_S = 0.8  # the p90 of the error near full load
SLOW_FACTOR = 2.5  # of engines that slow down now and then
# An engine that answers nothing gets no request this long before its usual margin.
MAX_LATE_S = 3.0
# For the way to the engine. Pieces of weights delay requests on the VM's link by 0.2 s.
TRANSIT_S = 0.3
# Agents report every 0.2 or 0.4 s. Others may have filled the engine in a longer time.
MAX_REPORT_AGE_S = 0.5
# A quarter of the slots, at least one, may be taken by requests not reported yet.
UNSEEN_DIVISOR = 4


def old_weights_left_s(needs: RequestNeeds, version: int) -> float:
    """Return for how long requests may start on a version of the weights."""
    left = (left_s for newer, left_s in needs.newer_bounds if newer > version)
    return min(left, default=inf)


def starts_in_time(
    backend: Backend, needs: RequestNeeds, figures: EngineFigures, now: float
) -> bool:
    """Return whether a request sent now starts before the engine's weights lapse."""
    return now < send_deadline(backend, needs, figures, now)


def send_deadline(
    backend: Backend, needs: RequestNeeds, figures: EngineFigures, now: float
) -> float:
    """
    Return until when a request may be sent that starts before the weights lapse.

    It is infinite for weights that do not lapse. A connection is opened after the
    choice of the engine, and the process may be paused meanwhile.
    """
    left_s = old_weights_left_s(needs, backend.loaded_version(needs.model, now))
    if left_s == inf:
        return inf
    return now + left_s - old_weights_margin_s(backend, needs, figures, now)


def old_weights_margin_s(
    backend: Backend, needs: RequestNeeds, figures: EngineFigures, now: float
) -> float:
    """
    Return how long before the bound of its weights an engine gets no request.

    The engine is taken for as slow as reported and measured, and its queue is not
    shortened by the urgency of the request, since urgent requests may still arrive.
    First events that are late by more than the margin allows for are added to it: the
    request may wait in the link, where the cancellation does not overtake it.
    """
    link_delay_s = backend.link_delay_s(now)
    late_s = min(max(backend.first_events.delay_s(now), link_delay_s), MAX_LATE_S)
    load = backend.load(now)
    pace = max(backend.pace(now), backend.measured.value(now) or 1.0)
    pending_read_s = backend.pending_read_s(now)
    delay_s = backend.unexpected_delay_s(now)
    predicted_s = predict_first_event_s(
        figures, load, needs.prompt_tokens, pace, pending_read_s
    )
    queued_s = max(OLD_WEIGHTS_MARGIN_S, delay_s + predicted_s + PREDICTION_ERROR_S)
    report = backend.report
    unseen = max(1, figures.slots // UNSEEN_DIVISOR)
    may_queue = (
        report is None
        or not report.is_fresh(now)
        or now - report.received_at > MAX_REPORT_AGE_S
        or load + 1 + unseen > figures.slots
    )
    if late_s > (PREDICTION_ERROR_S if may_queue else TRANSIT_S):
        # Both describe the same late events, so the larger one counts.
        margin_s = max(OLD_WEIGHTS_MARGIN_S, predicted_s + PREDICTION_ERROR_S)
        return max(queued_s, margin_s + late_s)
    if may_queue:
        return queued_s
    unseen_read_s = unseen * predict_read_s(figures, figures.usual_prompt_tokens)
    worst_s = delay_s + predict_first_event_s(
        figures,
        load + unseen,
        needs.prompt_tokens,
        max(SLOW_FACTOR, pace),
        pending_read_s + unseen_read_s,
    )
    return min(queued_s, max(LEAST_MARGIN_S, worst_s + TRANSIT_S))
