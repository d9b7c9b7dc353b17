"""
Prediction of when a batching engine generates the first event of a new request.

An engine with all its slots taken finishes requests at a known rate, so the wait
follows from the length of the queue in front of the full batch. The figures are those
that the service publishes; ``pace`` scales them for a slow engine.

Source: Little's law for the wait; the published step model for the service rate.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..catalogue.model import EngineFigures

PASSES_TO_FIRST_EVENT = 1.5  # on average half of the current pass, and a whole one


def predict_step_s(figures: EngineFigures, running: float) -> float:
    """Return the seconds of one step with ``running`` requests in the batch."""
    context = figures.usual_prompt_tokens + figures.usual_answer_tokens / 2
    per_request_s = (
        figures.step_per_request_s + figures.step_per_context_token_s * context
    )
    return figures.step_s + per_request_s * running


def predict_request_s(figures: EngineFigures) -> float:
    """
    Return the seconds of engine time that one usual request takes in a full batch.

    This is the mean interval between the ends of two requests.
    """
    read_s = figures.usual_prompt_tokens / figures.read_tokens_per_s
    generate_s = figures.usual_answer_tokens * predict_step_s(figures, figures.slots)
    return read_s + generate_s / figures.slots


def predict_ends(figures: EngineFigures, running: int, seconds: float) -> float:
    """Return how many of the running requests end within some seconds."""
    if not seconds:
        return 0.0
    slot_share = min(running, figures.slots) / figures.slots
    return min(float(running), seconds * slot_share / predict_request_s(figures))


def predict_read_s(figures: EngineFigures, prompt_tokens: float) -> float:
    """Return the seconds that an engine needs to read a prompt."""
    return prompt_tokens / figures.read_tokens_per_s


def predict_answer_s(
    figures: EngineFigures, load: float, answer_tokens: float
) -> float:
    """Return the seconds that an engine under a load needs to generate an answer."""
    return answer_tokens * predict_step_s(figures, min(load + 1, figures.slots))


def predict_first_event_s(
    figures: EngineFigures,
    load: float,
    prompt_tokens: float,
    pace: float,
    pending_read_s: float = 0.0,
    waiting: float | None = None,
) -> float:
    """
    Return the seconds until the first event of a request that is sent now.

    ``load`` is the number of requests that already run or wait at the engine;
    ``pending_read_s`` is the time that it still needs to read their prompts.
    ``waiting`` is how many slots must become free before the request gets one, by
    default all that the load exceeds.
    """
    running = min(load + 1, figures.slots)
    pass_s = figures.steps_per_pass * predict_step_s(figures, running)
    read_s = predict_read_s(figures, prompt_tokens) + pending_read_s
    if waiting is None:
        waiting = max(0.0, load + 1 - figures.slots)
    queue_s = waiting * predict_request_s(figures)
    return pace * (queue_s + PASSES_TO_FIRST_EVENT * pass_s + read_s)
