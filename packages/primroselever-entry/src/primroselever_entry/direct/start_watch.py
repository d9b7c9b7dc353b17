"""Servers that are cold or in their ramp: inputs, log of their phases and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from opentelemetry.metrics import Observation, get_meter

from primroselever_core.dispatch.announcements import start_of
from primroselever_node import clock
from primroselever_node.logs import log_decision
from primroselever_node.process import run_controller

if TYPE_CHECKING:
    from collections.abc import Iterable

    from opentelemetry.metrics import CallbackOptions

    from primroselever_core.direct_board import DirectBoard
    from primroselever_core.dispatch.announcements import ServerStart
    from primroselever_core.dispatch.backend import Backend

    from .settings import DirectEntrySettings

LOG_INTERVAL_S = 0.25  # a server is cold for some seconds


class StartWatch:
    """Applies lists, configurations and settings to the servers that start."""

    def __init__(self, board: DirectBoard) -> None:
        self.board = board
        self.phases: dict[ServerStart, tuple[str, str]] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.ramps = board.backends.start_pace
        self.pace = board.backends.cold_pace
        self.pace.members.own_host = board.peers.own_host
        self.pace.members.started_at = clock.now()
        get_meter("primroselever.direct").create_observable_gauge(
            "primroselever.direct.cold_servers",
            [self.observe],
            "{server}",
            "Servers whose requests are bounded because they are or may be cold",
        )
        get_meter("primroselever.direct").create_observable_gauge(
            "primroselever.direct.start_pace",
            [self.observe_paces],
            "{request}/s",
            "Requests a second of all entries to a server in its ramp",
        )

    def start(self) -> None:
        """Start to log changes of phases in a greenlet."""
        run_controller(self.log_changes, LOG_INTERVAL_S)

    def apply_settings(self, settings: DirectEntrySettings) -> None:
        """Apply the bound that the settings hold, if any, and what they turn on."""
        self.pace.overage = settings.cold_overage
        self.pace.slack = settings.cold_slack
        self.ramps.enabled = settings.start_pace
        self.board.backends.set_measured_pace(settings.measured_pace)
        self.board.backends.server_memory = settings.server_memory
        seeds = (host for host, _port in settings.seeds)
        self.pace.members.set_seeds(seeds, clock.now())
        self.configure()

    def configure(self) -> None:
        """Apply the figures of the services of the configuration in force."""
        self.ramps.services = self.board.catalogue.routes.services
        self.pace.configure(
            self.board.catalogue.routes.services,
            self.board.backends.backends.values(),
        )

    def apply_evacuations(self) -> None:
        """Treat the servers of failure domains that were taken back as started."""
        evacuated = frozenset(self.board.catalogue.evacuations.in_force)
        for failure_domain in self.evacuated - evacuated:
            self.board.backends.record_taken_back(failure_domain, clock.now())
        self.evacuated = evacuated

    def apply_listing(self) -> None:
        """Apply the list of back ends."""
        backends = list(self.board.backends.backends.values())
        self.pace.apply_listing(backends, clock.now())
        self.ramps.apply_listing(backends, clock.now())

    def log_changes(self) -> None:
        """Log the servers whose phase changed, with what decided it."""
        if self.pace.overage is None and not self.ramps.ramps:
            self.phases = {}
            return
        now = clock.now()
        previous, self.phases = self.phases, {}
        for server_id, backend in self.board.backends.backends.items():
            if backend.cold is None and backend.ramp is None:
                continue
            start = start_of(backend.listed)
            phases = phase_of(backend, now), ramp_phase(backend)
            self.phases[start] = phases
            if phases == previous.get(start, ("warm", "ended")):
                continue
            described = describe_start(backend, now) or {}
            log_decision(
                "server start phase",
                server_id,
                "/".join(phases),
                "; ".join(
                    each.cause
                    for each in (backend.cold, backend.ramp)
                    if each is not None
                ),
                address=f"{start.address[0]}:{start.address[1]}",
                born_ms=start.born_ms,
                item_cold_s=backend.listed.cold_s,
                **{
                    name: value
                    for name, value in described.items()
                    if value is not None and not name.endswith(("cause", "phase"))
                },
            )

    def observe(self, _options: CallbackOptions) -> Iterable[Observation]:
        """Yield how many servers are cold or of unknown state."""
        if self.pace.overage is None:
            return
        phases = [cold for cold, _ramp in self.phases.values()]
        for phase in ("cold", "unknown"):
            yield Observation(phases.count(phase), {"phase": phase})

    def observe_paces(self, _options: CallbackOptions) -> Iterable[Observation]:
        """Yield the paces of the servers in their ramps."""
        for start, ramp in self.ramps.ramps.items():
            if ramp.ended_at is None and ramp.begun_at is not None:
                yield Observation(ramp.per_s, {"server": start.server_id})


def phase_of(backend: Backend, now: float) -> str:
    """Return whether a server is warm, cold or of unknown state."""
    cold = backend.cold
    if cold is None or not cold.is_cold(now):
        return "warm"
    return "unknown" if cold.unknown else "cold"


def ramp_phase(backend: Backend) -> str:
    """Return the phase of a server's ramp, ``ended`` without one."""
    return "ended" if backend.ramp is None else backend.ramp.phase


def describe_start(backend: Backend, now: float) -> dict[str, Any] | None:
    """Return phases, paces and causes of a server, None where it has neither."""
    cold, ramp = backend.cold, backend.ramp
    described: dict[str, Any] = {}
    if cold is not None and cold.bound is not None:
        is_cold = cold.is_cold(now)
        described |= {
            "phase": phase_of(backend, now),
            "cause": cold.cause,
            "cold_for_s": round(max(0.0, cold.cold_until - now), 3),
            "starts_per_s": cold.members.usable_total(cold.bound.total, now)
            if is_cold
            else None,
            "own_starts_per_s": cold.own_share(now) if is_cold else None,
            "entries": cold.members.count(),
        }
    if ramp is not None:
        in_ramp = ramp.ended_at is None
        described |= {
            "ramp_phase": ramp.phase,
            "ramp_cause": ramp.cause,
            "ramp_step": ramp.step,
            "pace_per_s": round(ramp.per_s, 1) if in_ramp else None,
            "sent_last_s": ramp.sent_within(1.0, now) if in_ramp else None,
            "rank": ramp.own_rank(now) if in_ramp else None,
            "ceiling_per_s": ramp.ceiling if now < ramp.ceiling_until else None,
        }
    return described or None
