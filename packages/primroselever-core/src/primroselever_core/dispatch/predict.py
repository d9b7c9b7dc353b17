"""
When an engine that batches requests makes the first event of a new one.

Answers the pattern of a queue in front of a full batch: an engine with all its slots
taken ends requests at a known rate, so that the place in the queue tells the wait. The
figures are those that the service publishes; ``pace`` scales them for a slow engine.

Source: Little's law for the wait; the published step model for the service rate.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..catalogue.model import EngineFigures

PASSES_TO_FIRST_EVENT = 1.5  # half of the pass that is under way, and one of its own


def step_s(figures: EngineFigures, running: float) -> float:
    """Return the seconds of one step with so many requests in the batch."""
    context = figures.usual_prompt_tokens + figures.usual_answer_tokens / 2
    for_each = figures.step_per_request_s + figures.step_per_context_token_s * context
    return figures.step_s + for_each * running


def request_s(figures: EngineFigures) -> float:
    """Return the engine's seconds for one usual request in a full batch."""
    reading = figures.usual_prompt_tokens / figures.read_tokens_per_s
    writing = figures.usual_answer_tokens * step_s(figures, figures.slots)
    return reading + writing / figures.slots


def reading_s(figures: EngineFigures, prompt_tokens: float) -> float:
    """Return the seconds in which an engine reads a prompt."""
    return prompt_tokens / figures.read_tokens_per_s


def answer_s(figures: EngineFigures, load: float, answer_tokens: float) -> float:
    """Return the seconds in which an engine writes an answer beside its load."""
    return answer_tokens * step_s(figures, min(load + 1, figures.slots))


def predicted_first_event_s(
    figures: EngineFigures,
    load: float,
    prompt_tokens: float,
    pace: float,
    reading_ahead_s: float = 0.0,
) -> float:
    """
    Return the seconds until the first event of a request that is sent now.

    ``load`` counts the requests that run or wait there already, ``reading_ahead_s``
    is what the engine still needs for the prompts of some of them.
    """
    running = min(load + 1, figures.slots)
    own_pass = figures.steps_per_pass * step_s(figures, running)
    reading = reading_s(figures, prompt_tokens) + reading_ahead_s
    waiting = max(0.0, load + 1 - figures.slots) * request_s(figures)
    return pace * (waiting + PASSES_TO_FIRST_EVENT * own_pass + reading)
