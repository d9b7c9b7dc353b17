"""
Which back end a request is sent to, or why it is refused at once.

Answers the pattern of load near capacity on engines of different occupancy: a request
goes where its first event is due first, and one that would come too late everywhere
is refused before it takes a place from one that would not. A server that refuses
fast, has no weights or fails more than others is no candidate, however idle it looks.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .backend import failing
from .predict import answer_s, predicted_first_event_s, request_s

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable
    from random import Random

    from ..catalogue.model import EngineFigures
    from .backend import Backend

# What is added for an engine whose agent fell silent: its VM may be dark, and it would
# look ever more idle. Above the time of a connection that cannot be opened.
SILENT_AGENT_S = 0.3
CLOSING_S = 0.1  # what sending a long request to an engine that is to switch costs
OTHER_DOMAIN_S = 0.04  # what leaving the domain must gain, for its bytes' price
JITTER_S = 0.005  # keeps entries with the same news from choosing alike
NO_SERVER_RETRY_S = 0.5
LONGEST_RETRY_S = 2.0
LATE_LOAD_SHARE = 1.0  # of the slots; requests that are late already fill what is free


@dataclass(frozen=True, slots=True)
class Wanted:
    """
    A request as dispatch sees it, with times in seconds.

    ``first_event_within_s`` is what is left of the objective, ``give_up_within_s``
    what is left until the caller gives up. ``min_version`` is 0 where old weights do.
    """

    model: str
    min_version: int
    prompt_tokens: float
    answer_tokens: float
    first_event_within_s: float
    give_up_within_s: float

    @property
    def late(self) -> bool:
        """Return whether the objective cannot be met any more."""
        return self.first_event_within_s <= 0


@dataclass(frozen=True, slots=True)
class Chosen:
    """A back end, the seconds until its first event as predicted, and candidates."""

    backend: Backend
    predicted_s: float
    candidates: str


@dataclass(frozen=True, slots=True)
class Refused:
    """Why no back end gets a request, and when coming back may make sense."""

    reason: str
    retry_after_s: float
    candidates: str = ""


def choose_backend(
    backends: Iterable[Backend],
    wanted: Wanted,
    figures: EngineFigures | None,
    own_domain: str,
    passed_over: Collection[str],
    now: float,
    random: Random,
) -> Chosen | Refused:
    """Return the back end whose first event is due first, or a refusal."""
    here = [b for b in backends if b.listed.server_id not in passed_over]
    candidates = [b for b in here if usable(b, wanted, figures, now)]
    if not candidates:
        return Refused(why_none(here, wanted, now), retry_s(NO_SERVER_RETRY_S, random))
    bad = failing(candidates)
    sound = [b for b in candidates if b.listed.server_id not in bad] or candidates
    ranked = sorted(
        (
            predicted_s(backend, wanted, figures, now)
            + (0.0 if backend.listed.failure_domain == own_domain else OTHER_DOMAIN_S)
            + JITTER_S * random.random(),
            index,
        )
        for index, backend in enumerate(sound)
    )
    predicted, index = ranked[0]
    best = sound[index]
    shown = " ".join(show(sound[i], now, due) for due, i in ranked[:3])
    late_by = too_late_by(best, wanted, figures, predicted, now)
    if late_by > 0:
        return Refused("overloaded", retry_s(late_by, random), shown)
    return Chosen(best, predicted, shown)


def usable(
    backend: Backend, wanted: Wanted, figures: EngineFigures | None, now: float
) -> bool:
    """Return whether a back end could answer a request now."""
    if not backend.available(now):
        return False
    if figures is None:
        return now >= backend.marked_full_until
    if backend.switching(now):
        return False
    held = backend.holds(wanted.model, now)
    return held > 0 and held >= wanted.min_version


def predicted_s(
    backend: Backend, wanted: Wanted, figures: EngineFigures | None, now: float
) -> float:
    """Return the seconds until a back end would answer."""
    load = backend.load(now)
    if figures is None:
        slots = max(1, backend.listed.slots)
        return backend.work_s * (1.0 + max(0.0, load + 1 - slots) / slots) + 0.001 * (
            load / slots
        )
    due = predicted_first_event_s(
        figures,
        load,
        wanted.prompt_tokens,
        backend.pace(now),
        backend.reading_s(now),
    )
    if backend.report_late(now):
        due += SILENT_AGENT_S
    if backend.closes_within(due + answer_s(figures, load, wanted.answer_tokens), now):
        due += CLOSING_S
    if now < backend.marked_full_until:
        due += figures.slots * request_s(figures)
    return due


def too_late_by(
    backend: Backend,
    wanted: Wanted,
    figures: EngineFigures | None,
    predicted: float,
    now: float,
) -> float:
    """Return by how much even the best back end is late, 0 or less if it is not."""
    if figures is None:
        return predicted - wanted.give_up_within_s
    if wanted.late:
        free = LATE_LOAD_SHARE * figures.slots - backend.load(now) - 1
        return -free * request_s(figures)
    return predicted - wanted.first_event_within_s


def why_none(backends: list[Backend], wanted: Wanted, now: float) -> str:
    """Return in a few words why no back end is a candidate."""
    if not backends:
        return "no back end is listed"
    if not any(backend.available(now) for backend in backends):
        return "all back ends failed lately"
    if wanted.model and not any(b.holds(wanted.model, now) for b in backends):
        return "no back end has loaded the weights"
    if wanted.min_version:
        return "no back end serves the named version yet"
    return "all back ends are full or switch weights"


def retry_s(wait_s: float, random: Random) -> float:
    """Return a wait, spread so that callers who were refused together part ways."""
    return min(LONGEST_RETRY_S, max(0.1, wait_s) * (1.0 + random.random()))


def show(backend: Backend, now: float, due_s: float) -> str:
    """Return a candidate in short: identifier, load and predicted milliseconds."""
    name = backend.listed.server_id
    return f"{name}:{backend.load(now):.0f}:{due_s * 1000:.0f}ms"
