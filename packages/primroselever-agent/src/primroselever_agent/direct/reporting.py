"""Reports of the engine's state to entries, and advice received from entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.filling.section import WantedWeights
from primroselever_node import clock
from primroselever_node.direct.datagrams import DatagramPort
from primroselever_node.direct.schema import schema
from primroselever_node.direct.sources import EngineState, SourceError
from primroselever_node.logs import log_decision
from primroselever_node.process import run_controller

if TYPE_CHECKING:
    from primroselever_core.filling.section import FillingBoard
    from primroselever_node.direct.sources import ModelServer

ENGINE_READ_INTERVAL_S = 0.1  # one pass of an engine takes about 50 ms
# Entries send each server one or two requests in this time.
OWN_DOMAIN_REPORT_INTERVAL_S = 0.2
OTHER_DOMAIN_REPORT_INTERVAL_S = 0.4  # traffic between failure domains is charged
# After a load change of this size, other domains get reports as often as the own one.
MIN_LOAD_CHANGE_REQUESTS = 2
MIN_LINK_DELAY_S = 0.1  # a shorter delay of the link is not reported


class ReportController:
    """
    Reads the engine's state and reports it to entries.

    Writes the blackboard's sections on entries and wanted weights from their advice.
    """

    def __init__(
        self,
        board: FillingBoard,
        model_server: ModelServer,
        engine_address: str,
        host: str,
        port: int,
        weights_within_s: float,
        *,
        reports_memory: bool = False,
    ) -> None:
        self.board = board
        self.model_server = model_server
        self.engine_address = engine_address
        self.host = host
        self.set_weights_within(weights_within_s)
        self.reports_memory = reports_memory
        self.state: EngineState | None = None
        self.last_state: EngineState | None = None
        self.engine_reachable = True
        self.last_sent_at: dict[str, float] = {}
        self.last_sent_load: dict[str, int] = {}
        self.last_reported_state: tuple[Any, ...] = ()
        self.port = DatagramPort(host, port, self.receive_datagram)

    def set_weights_within(self, seconds: float) -> None:
        """Set how long requests may begin on a version after the next one."""
        self.weights_within_s = self.board.lapses.within_s = seconds

    def start(self) -> None:
        """Start receiving and reporting in separate greenlets."""
        self.port.start()
        run_controller(self.read_and_report, ENGINE_READ_INTERVAL_S)

    def read_and_report(self) -> None:
        """Read the engine's state and report it."""
        self.read_engine_state()
        self.report_state()

    def read_engine_state(self) -> None:
        """Read the engine's state; log when the engine is lost or regained."""
        writes = self.board.loads.writes
        try:
            state = self.model_server.read_state()
        except SourceError as exc:
            self.board.loads.record_unreachable()
            if self.engine_reachable:
                log_decision("dependency lost", "engine", self.engine_address, str(exc))
            self.engine_reachable = False
            self.state = None
            return
        if not self.engine_reachable:
            log_decision(
                "dependency regained", "engine", self.engine_address, "it answered"
            )
        self.engine_reachable = True
        previous_state = self.state
        if previous_state is not None and (
            state.born_ms == previous_state.born_ms
            and state.sequence < previous_state.sequence
        ):
            return  # an answer that was overtaken by a later one
        self.state = self.last_state = state
        if self.board.loads.observe(
            state.load, state.loading, state.layers, writes, clock.now()
        ):
            log_decision(
                "load not verified",
                f"{state.model}/{state.version}",
                "closed until the staged pieces are verified",
                "this process did not see the order accepted",
                born_ms=state.born_ms,
                sequence=state.sequence,
                loading=state.loading,
            )
        # A loading engine has finished its requests, whatever it reports of others.
        self.board.drain_times.observe(
            self.board.switching or state.loading,
            0 if state.loading else state.running + state.waiting,
            clock.now(),
        )
        if previous_state is None or (
            previous_state.born_ms,
            previous_state.version,
            previous_state.sequence,
        ) != (
            state.born_ms,
            state.version,
            state.sequence,
        ):
            log_decision(
                "engine state",
                self.engine_address,
                f"{state.model}/{state.version}",
                "read from the engine",
                born_ms=state.born_ms,
                loading=state.loading,
                sequence=state.sequence,
            )

    def report_state(self) -> None:
        """Report to the entries that are due, to all at once after a state change."""
        loads = self.board.loads
        state = self.state
        if state is None and loads.is_uncertain:
            state = self.last_state  # what it accepts meanwhile must not serve
        if state is None:
            return
        now = clock.now()
        self.board.expire_silent_entries(now)
        switching = (
            self.board.switching
            or state.loading
            or not loads.trusts(state.load)
            or loads.waits_for_order(now)
            or self.state is None
        )
        closes_at = self.board.closes_at
        engine_report = schema.EngineNews(
            address=self.engine_address,
            born_ms=state.born_ms,
            model=state.model,
            version=state.version,
            switching=switching,
            running=state.running,
            waiting=state.waiting,
            pace=state.pace,
            failure_domain=self.board.identity.failure_domain,
            host=self.host,
            closes_in_ms=-1
            if closes_at is None
            else max(0, int((closes_at - now) * 1000)),
            memory_used=state.memory_used if self.reports_memory else None,
            memory_total=state.memory_total if self.reports_memory else None,
            link_delay_ms=self.link_delay_ms(now),
            unverified=loads.may_be_inherited(state.load, now)
            # Without weights it serves nothing, so that waiting costs nothing.
            or (loads.first == state.load and not state.version)
            or None,
        )
        reported_state = (state.born_ms, state.version, switching, closes_at)
        state_changed = reported_state != self.last_reported_state
        self.last_reported_state = reported_state
        load = state.running + state.waiting
        due_hosts = []
        for host, in_own_domain in self.board.report_recipients(self.host).items():
            load_changed = (
                abs(load - self.last_sent_load.get(host, 0)) >= MIN_LOAD_CHANGE_REQUESTS
            )
            frequent = in_own_domain or load_changed
            interval_s = (
                OWN_DOMAIN_REPORT_INTERVAL_S
                if frequent
                else OTHER_DOMAIN_REPORT_INTERVAL_S
            )
            if (
                state_changed
                # After a loss of power, entries start later than the agent, which
                # cannot fill its engine before one of them answers.
                or not self.board.entries
                or now - self.last_sent_at.get(host, 0.0) >= interval_s * 0.95
            ):
                self.last_sent_at[host] = now
                self.last_sent_load[host] = load
                due_hosts.append(host)
        self.port.send_all(due_hosts, engine=engine_report)

    def link_delay_ms(self, now: float) -> int | None:
        """Return how long requests to the engine wait in the link, None if short."""
        delay_s = self.board.link_delay.delay_s(now)
        return round(delay_s * 1000) if delay_s >= MIN_LINK_DELAY_S else None

    def receive_datagram(self, datagram: Any, _host: str) -> None:
        """Process one datagram."""
        if datagram.advice is not None:
            self.apply_advice(datagram.advice)

    def apply_advice(self, advice: Any) -> None:
        """Update the known entries and wanted weights from an entry's advice."""
        now = clock.now()
        self.board.record_entry(advice.host, advice.failure_domain, now)
        self.board.add_reported_entries(advice.peers or {}, now)
        if advice.rank is None or advice.group_size is None:
            return
        for model, version in (advice.weights or {}).items():
            age_s = max(0, (advice.weights_age_ms or {}).get(model, 0)) / 1000
            wanted = WantedWeights(
                model,
                version,
                now - age_s + self.weights_within_s,
                advice.rank,
                advice.group_size,
            )
            self.update_wanted(wanted)
        self.record_lapses(advice, now)

    def record_lapses(self, advice: Any, now: float) -> None:
        """
        Record from when on versions lapse, by the ages that an entry's advice names.

        Its time on the way counts as well, which is measured by the entry's clock; the
        advice of an entry of an earlier release has none.
        """
        if advice.sent_ms is None or advice.incarnation is None:
            return
        ages_s = {
            model: {version: max(0, age) / 1000 for version, age in ages_ms.items()}
            for model, ages_ms in (advice.version_ages_ms or {}).items()
        }
        self.board.lapses.record(
            advice.host, advice.incarnation, advice.sent_ms / 1000, ages_s, now
        )

    def update_wanted(self, wanted: WantedWeights) -> None:
        """Update the wanted weights; an older version is ignored."""
        if self.board.targets.add_version(wanted):
            log_decision(
                "weights wanted",
                f"{wanted.model}/{wanted.version}",
                "fill",
                "advised by an entry",
                rank=wanted.rank,
                group_size=wanted.group_size,
                left_s=round(wanted.bound_at - clock.now(), 2),
            )
