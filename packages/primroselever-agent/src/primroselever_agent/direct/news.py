"""Reading the engine's state, telling entries, and taking in what they advise."""

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

READ_INTERVAL_S = 0.1  # an engine's pass takes some 50 ms
OWN_DOMAIN_INTERVAL_S = 0.2  # entries place one or two requests a server in this time
OTHER_DOMAIN_INTERVAL_S = 0.4  # bytes between failure domains cost
LOAD_CHANGE = (
    2  # requests; a change as large is told to other domains as soon as at home
)


class NewsController:
    """Writes what the board knows of entries and of what is wanted."""

    def __init__(
        self,
        board: FillingBoard,
        server: ModelServer,
        engine_address: str,
        host: str,
        port: int,
        weights_within_s: float,
    ) -> None:
        self.board = board
        self.server = server
        self.engine_address = engine_address
        self.host = host
        self.weights_within_s = weights_within_s
        self.state: EngineState | None = None
        self.reachable = True
        self.sent_at: dict[str, float] = {}
        self.sent_load: dict[str, int] = {}
        self.sent: tuple[Any, ...] = ()
        self.port = DatagramPort(host, port, self.receive)

    def start(self) -> None:
        """Receive and report in greenlets of their own."""
        self.port.start()
        run_controller(self.step, READ_INTERVAL_S)

    def step(self) -> None:
        """Read the engine's state and report it."""
        self.read_state()
        self.report()

    def read_state(self) -> None:
        """Read the engine's state; a lost or regained engine is logged."""
        try:
            state = self.server.state()
        except SourceError as exc:
            if self.reachable:
                log_decision("dependency lost", "engine", self.engine_address, str(exc))
            self.reachable = False
            self.state = None
            return
        if not self.reachable:
            log_decision(
                "dependency regained", "engine", self.engine_address, "it answered"
            )
        self.reachable = True
        before = self.state
        self.state = state
        if before is None or (before.born_ms, before.version) != (
            state.born_ms,
            state.version,
        ):
            log_decision(
                "engine state",
                self.engine_address,
                f"{state.model}/{state.version}",
                "read from the engine",
                born_ms=state.born_ms,
                loading=state.loading,
            )

    def report(self) -> None:
        """Tell entries, at once when the engine serves other weights than before."""
        state = self.state
        if state is None:
            return
        now = clock.now()
        self.board.forget_silent(now)
        switching = self.board.switching or state.loading
        closes_at = self.board.closes_at
        news = schema.EngineNews(
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
        )
        key = (state.born_ms, state.version, switching, closes_at)
        at_once = key != self.sent
        self.sent = key
        own = self.board.identity.failure_domain
        targets = {host: domain for host, (domain, _) in self.board.entries.items()}
        for seed in self.board.seeds:
            targets.setdefault(seed, "")
        load = state.running + state.waiting
        due = []
        for host, domain in targets.items():
            changed = abs(load - self.sent_load.get(host, 0)) >= LOAD_CHANGE
            soon = domain == own or changed
            interval = OWN_DOMAIN_INTERVAL_S if soon else OTHER_DOMAIN_INTERVAL_S
            if at_once or now - self.sent_at.get(host, 0.0) >= interval * 0.95:
                self.sent_at[host] = now
                self.sent_load[host] = load
                due.append(host)
        self.port.send_all(due, engine=news)

    def receive(self, datagram: Any, _host: str) -> None:
        """Take in one datagram."""
        if datagram.advice is not None:
            self.take_advice(datagram.advice)

    def take_advice(self, advice: Any) -> None:
        """Take in what an entry advises."""
        now = clock.now()
        self.board.hear_entry(advice.host, advice.failure_domain, now)
        self.board.learn_entries(advice.peers or {}, now)
        for model, version in (advice.weights or {}).items():
            age_s = (advice.weights_age_ms or {}).get(model, 0) / 1000
            wanted = WantedWeights(
                model,
                version,
                now - age_s + self.weights_within_s,
                advice.rank,
                advice.group_size,
            )
            self.want(wanted)

    def want(self, wanted: WantedWeights) -> None:
        """Take in which weights are wanted; an older version changes nothing."""
        if self.board.targets.name(wanted):
            log_decision(
                "weights wanted",
                f"{wanted.model}/{wanted.version}",
                "fill",
                "an entry advised so",
                rank=wanted.rank,
                group_size=wanted.group_size,
                left_s=round(wanted.bound_at - clock.now(), 2),
            )
