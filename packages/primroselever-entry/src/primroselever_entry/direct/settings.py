"""The settings of an entry that calls back ends directly."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any

from pydantic import BeforeValidator, Field

from primroselever_core.dispatch.buffers import (
    DEFAULT_ANSWER_BYTES,
    DEFAULT_EVENT_BYTES,
    DEFAULT_REQUESTS_BYTES,
    DEFAULT_TOTAL_BYTES,
)
from primroselever_core.findings import Finding
from primroselever_node.direct.settings import DirectSettings, Endpoint
from primroselever_node.settings.contradictions import (
    check_log_level,
    contradictions,
    tolerated,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

END_MARGIN_S = 0.6  # for the last responses to be sent and the process to exit


def parse_regions(value: Any) -> Any:
    """Return no regions for null, which a platform without such a table fills in."""
    return {} if value is None else value


class DirectEntrySettings(DirectSettings):
    """
    The settings of an entry in direct mode.

    ``callers``, ``readiness`` and ``control`` are addresses to listen on; ``seeds`` are
    the control addresses of a few entries. ``weights_within_s`` is for how many seconds
    after a new version was published requests may still start on older weights.
    ``contact_s`` is after how many seconds a started entry requires the weights that it
    found when it started, unless peers send their actual age.
    ``configuration_within_s`` is the time in which a configuration must be in force
    after its publication. ``retry_ratio``,
    ``retry_slack`` and ``retry_window_s`` are the retry budget of all entries together.
    ``turn_away_s`` is for how many seconds a leaving entry takes every request; later
    it takes only those whose deadlines are before its end.
    ``answer_buffer_bytes`` is how much of a plain answer is kept before it is forwarded
    as it arrives, ``event_limit_bytes`` the largest event of a stream, and
    ``buffers_limit_bytes`` what all responses may hold together.
    ``request_buffers_limit_bytes`` is what the bodies of all requests may hold.
    ``regions`` maps each failure domain to its region; a failure domain without one is
    no home of any request whose route or workspace names regions. One whose region
    contradicts the place of the entry, or is empty, counts as missing. In any second
    all entries together send a cold server at most ``cold_overage`` times the rate of
    its service plus ``cold_slack`` requests; without ``cold_overage`` there is no such
    bound. ``start_pace`` makes entries raise the load of a server that started or
    recovered by how it answers. ``measured_pace`` makes entries choose servers by the
    pace that they measure, count what they sent since the state in an engine's report,
    and publish what they send to plain servers. ``server_memory`` makes entries send a
    request only to an engine whose memory can hold it.
    """

    callers: Endpoint
    readiness: Endpoint
    readiness_path: str = "/readyz"
    control: Endpoint
    retry_ratio: float = Field(ge=0)
    retry_slack: float = Field(ge=0)
    retry_window_s: float = Field(gt=0)
    contact_s: float = Field(gt=0)
    configuration_within_s: float = Field(default=2.0, gt=0)
    turn_away_s: float = Field(default=3.0, ge=0)
    answer_buffer_bytes: int = Field(default=DEFAULT_ANSWER_BYTES, ge=0)
    event_limit_bytes: int = Field(default=DEFAULT_EVENT_BYTES, ge=1)
    buffers_limit_bytes: int = Field(default=DEFAULT_TOTAL_BYTES, ge=1)
    request_buffers_limit_bytes: int = Field(default=DEFAULT_REQUESTS_BYTES, ge=1)
    regions: Annotated[dict[str, str], BeforeValidator(parse_regions)] = {}
    cold_overage: float | None = Field(default=None, gt=0)
    cold_slack: float | None = Field(default=None, ge=0)
    start_pace: bool = False
    measured_pace: bool = False
    server_memory: bool = False


@contradictions.register(DirectEntrySettings)
def _(settings: DirectEntrySettings, environ: Mapping[str, str]) -> Iterator[Finding]:
    """Yield the contradictions in the settings of an entry in direct mode."""
    yield from check_log_level(settings)
    if settings.turn_away_s + END_MARGIN_S >= settings.shutdown_s:
        problem = f"it leaves no time to drain in shutdown_s, {settings.shutdown_s:g} s"
        yield Finding("turn_away_s", problem, "lower it, or raise shutdown_s")
    if settings.event_limit_bytes > settings.buffers_limit_bytes:
        problem = f"it is above buffers_limit_bytes, {settings.buffers_limit_bytes}"
        yield Finding("event_limit_bytes", problem, "lower it")
    if settings.contact_s >= settings.weights_within_s:
        problem = f"it is not below weights_within_s, {settings.weights_within_s:g} s"
        yield Finding(
            "contact_s", problem, "lower it: old weights would be refused at once"
        )


def usable_regions(settings: DirectEntrySettings) -> dict[str, str]:
    """Return the regions of failure domains without those that cannot be right."""
    return {
        domain: region
        for domain, region in settings.regions.items()
        if domain.strip()
        and region.strip()
        and (domain != settings.failure_domain or region == settings.region)
    }


@tolerated.register(DirectEntrySettings)
def check_regions(settings: DirectEntrySettings) -> Iterator[Finding]:
    """Yield the contradictions between the regions and the place of the entry."""
    for domain, region in sorted(settings.regions.items()):
        if not domain.strip() or not region.strip():
            problem = f"the region of failure domain {domain!r} is {region!r}"
            yield Finding("regions", problem, "name both, or remove the item")
    own = settings.regions.get(settings.failure_domain)
    if own is not None and own != settings.region:
        yield Finding(
            "regions",
            f"it places failure_domain, {settings.failure_domain}, in {own}, and "
            f"region is {settings.region}",
            "correct the one that is wrong",
        )
