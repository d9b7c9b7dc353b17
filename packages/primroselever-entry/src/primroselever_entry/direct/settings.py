"""The settings of an entry that calls back ends directly."""

from __future__ import annotations

from pydantic import Field

from primroselever_node.direct.settings import DirectSettings, Endpoint


class DirectEntrySettings(DirectSettings):
    """
    The settings of such an entry.

    ``callers``, ``readiness`` and ``control`` are addresses to listen on; ``seeds``
    the control addresses of a few entries. ``weights_within_s`` is how long old
    weights may begin requests after new ones were named; ``retry_ratio``,
    ``retry_slack`` and ``retry_window_s`` are the budget of all entries together.
    ``turn_away_s`` is how long a leaving entry accepts new connections.
    """

    callers: Endpoint
    readiness: Endpoint
    readiness_path: str = "/readyz"
    control: Endpoint
    retry_ratio: float = Field(ge=0)
    retry_slack: float = Field(ge=0)
    retry_window_s: float = Field(gt=0)
    contact_s: float = Field(gt=0)
    turn_away_s: float = Field(default=3.0, ge=0)
