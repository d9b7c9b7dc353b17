"""Seeds of past failures with their causes; ``--regressions`` reruns them."""

from __future__ import annotations

from typing import NamedTuple


class Regression(NamedTuple):
    """A seed, the duration of its fault injection, and the cause of its failure."""

    seed: int
    fault_duration_s: float
    cause: str


REGRESSIONS = (
    Regression(
        2,
        15.0,
        "streams expected the lowest version, and engines with a newer one refused",
    ),
    Regression(
        107,
        15.0,
        "fault of the check: a new configuration removed the route of a sent probe",
    ),
    Regression(
        304,
        12.0,
        "fault of the check: SIGTERM reached an agent that was still starting",
    ),
    Regression(
        9303,
        20.0,
        "not fixed: a crash between two events of a stream without a length ended its"
        " connection in order, so that it looked complete",
    ),
    Regression(
        5,
        8.0,
        "not traced to its end: under load, nine streams ended without a last event;"
        " the engine had ended three of them at the lapse of its weights",
    ),
)
