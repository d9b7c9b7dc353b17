"""Seeds that failed once, with what the cause was; `--regressions` plays them again."""

from __future__ import annotations

from typing import NamedTuple


class Regression(NamedTuple):
    """A seed with its seconds of faults, and why it failed."""

    seed: int
    seconds: float
    cause: str


REGRESSIONS = (
    Regression(
        2, 15.0, "streams expected the least version, and newer engines refused them"
    ),
    Regression(
        107, 15.0, "the check's own: a probe crossed the configuration that ended it"
    ),
    Regression(
        304, 12.0, "the check's own: SIGTERM met an agent that had begun nothing yet"
    ),
)
