"""
Gossip among entries, and their exchange with agents.

Entries exchange heartbeats and pull a newer catalogue from each other; agents send
engine reports and receive advice.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import eventlet

from primroselever_core.catalogue.model import ServerState
from primroselever_core.catalogue.store_position import StorePosition
from primroselever_core.dispatch.backend import EngineReport, keep_closed
from primroselever_core.dispatch.predict import (
    predict_ends,
    predict_read_s,
    predict_request_s,
)
from primroselever_core.dispatch.server_memory import count_tokens
from primroselever_core.dispatch.urgent_work import DEFAULT_URGENCY, clamp_urgency
from primroselever_core.filling.reporting import reported_hosts
from primroselever_core.identifiers import Fingerprint

from .. import clock
from ..logs import log_decision
from ..process import run_controller
from ..rpc.suspicions import (
    clearings_to_return,
    merge_suspicions,
    suspicion_to_thrift,
)
from .catalogue_pulls import CataloguePuller
from .datagrams import DatagramPort
from .leaving_news import LeavingNews
from .limit_news import LimitNews
from .pace_news import PaceNews
from .peer_proofs import measure_sending, record_proof, record_weights_ages
from .schema import schema

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from primroselever_core.catalogue.model import Address, EngineFigures
    from primroselever_core.catalogue.published_weights import PublishedWeights
    from primroselever_core.direct_board import DirectBoard
    from primroselever_core.suspects.section import Suspicion

    from .sources import CataloguePart

HEARTBEAT_S = 0.5  # a new configuration must be in force within 2 s
ADVICE_INTERVAL_S = 1.0  # for unchanged advice; changed advice is sent at once
CHANGE_HEARTBEAT_DELAY_S = 0.02  # batches the changes that arrive in this time
HEARTBEATS_PER_PEER_LIST = 4  # the peer list makes up most of a heartbeat's bytes
BATCH_DELAY_S = 0.01  # batches sent requests and suspicions into one datagram
MAX_SENT_PER_DATAGRAM = 40  # keeps a datagram below 1,400 bytes
MAX_SUSPICIONS_PER_DATAGRAM = 6  # keeps a datagram below 1,400 bytes
# Suspicions are repeated because datagrams may be lost. The interval is below the 3 s
# without contact after which the platform counts a process as out of touch.
SUSPECTS_REPEAT_INTERVAL_S = 2.0
MAX_PUBLISHED_SUSPECTS = 1024
MAX_ADVISED_AGENTS = 4096  # those beyond get advice more often than needed
DEFAULT_VERSION = 1  # of a model for which no version was published

logger = logging.getLogger(__name__)


class GossipController:
    """Sends and receives this entry's datagrams, and updates the board from them."""

    def __init__(
        self,
        board: DirectBoard,
        host: str,
        port: int,
        control_port: int,
        on_change: Callable[[CataloguePart], None],
    ) -> None:
        self.board = board
        self.host = host
        self.datagram_port = DatagramPort(host, port, self.receive)
        self.leaving_news = LeavingNews(board, self.datagram_port)
        self.limit_news = LimitNews(board, self.datagram_port)
        self.pace_news = PaceNews(board, self.datagram_port)
        self.puller = CataloguePuller(board, control_port, on_change)
        self.sent_requests: list[Any] = []
        # The agents in other failure domains to whose engines requests were sent.
        self.agents_sent_to: dict[str, str] = {}
        self.changed_suspects: set[Fingerprint] = set()
        # The latest suspicions that this entry published, the latest last.
        self.published_suspects: dict[Fingerprint, None] = {}
        self.next_suspects_repeat_at = 0.0
        self.early_heartbeat_pending = False
        self.heartbeat_count = 0
        # By agent: when unchanged advice is due again, and the weights last advised.
        self.last_advice: dict[str, tuple[float, Any]] = {}

    def start(self) -> None:
        """Start to receive datagrams and to send heartbeats, each in a greenlet."""
        self.datagram_port.start()
        run_controller(self.send_heartbeat, HEARTBEAT_S)
        self.leaving_news.start()

    def send_heartbeat(self) -> None:
        """Send a heartbeat to the peers, and repeat the suspicions when due."""
        now = clock.now()
        for host in self.board.peers.expire_silent(now):
            log_decision("peer removed", host, "dropped", "no heartbeat for too long")
            self.board.holdings.by_host.pop(host, None)
        self.update_members(now)
        heartbeat = self.build_heartbeat(now)
        self.heartbeat_count += 1
        self.datagram_port.send_all(self.recipients(now), entry=heartbeat)
        if now >= self.next_suspects_repeat_at:
            self.next_suspects_repeat_at = now + SUSPECTS_REPEAT_INTERVAL_S
            self.board.suspects.expire_records(now)
            # Only suspicions that quarantine their request are repeated, which takes
            # two uncleared crashes.
            worst = self.board.suspects.most_severe(MAX_SUSPICIONS_PER_DATAGRAM)
            self.send_suspicions(
                [suspicion for suspicion in worst if suspicion.uncleared() > 1]
            )

    def update_members(self, now: float) -> None:
        """Update the entries among which starts at cold servers are divided."""
        peers = self.board.peers
        backends = self.board.backends
        if backends.cold_pace.overage is None and not backends.start_pace.enabled:
            return
        members = backends.cold_pace.members
        members.own_host = self.host
        members.leaving = self.board.leaving
        heard = [
            peer
            for peer in peers.by_host.values()
            if peer.reported_only or peer.live(now)
        ]
        members.update(
            (peer.host for peer in heard if not peer.leaving),
            (peer.host for peer in heard if peer.leaving),
            now,
        )
        members.record_live((peer.host for peer in peers.live(now)), now)

    def publish_catalogue_change(self) -> None:
        """
        Schedule an early heartbeat to the entries of this failure domain.

        They may rely on this entry instead of reading the store themselves.
        """
        if not self.early_heartbeat_pending:
            self.early_heartbeat_pending = True
            eventlet.spawn_after(CHANGE_HEARTBEAT_DELAY_S, self.send_early_heartbeat)

    def send_early_heartbeat(self) -> None:
        """Send a heartbeat to this failure domain without waiting for the interval."""
        self.early_heartbeat_pending = False
        now = clock.now()
        heartbeat = self.build_heartbeat(now)
        peers = self.board.peers
        domain_hosts = (
            host
            for host in peers.heartbeat_recipients()
            if host in peers.by_host
            and peers.by_host[host].failure_domain == peers.own_domain
        )
        self.datagram_port.send_all(domain_hosts, entry=heartbeat)

    def lists_peers(self, now: float) -> bool:
        """
        Return whether a heartbeat lists other entries.

        Those of an entry that has just started always do where cold servers have a
        bound: entries that start together learn of all others sooner.
        """
        pace = self.board.backends.cold_pace
        is_young = pace.overage is not None and pace.members.is_young(now)
        return is_young or self.heartbeat_count % HEARTBEATS_PER_PEER_LIST == 0

    def recipients(self, now: float) -> set[str]:
        """
        Return the hosts to which a heartbeat is sent.

        Where cold servers have a bound, a seed includes the entries that have just
        started, unless it has itself: after a loss of power the entries of a side
        without seeds send as well, and the sum would exceed the bound.
        """
        hosts = set(self.board.peers.heartbeat_recipients())
        pace = self.board.backends.cold_pace
        if pace.overage is not None and not pace.members.is_young(now):
            hosts.update(self.board.peers.new_entries(now))
        return hosts

    def build_heartbeat(self, now: float) -> Any:
        """Return this entry's heartbeat as a thrift structure."""
        catalogue = self.board.catalogue
        configuration = catalogue.configuration
        read_at = catalogue.own_read_at
        proof_at = catalogue.freshness.own_proof_at
        answer_at = catalogue.freshness.own_answer_at
        return schema.EntryNews(
            host=self.host,
            failure_domain=self.board.identity.failure_domain,
            incarnation=self.board.identity.incarnation,
            leaving=self.board.leaving,
            configuration_revision=configuration.revision if configuration else 0,
            store_revision=catalogue.store_position.revision,
            store_era=catalogue.store_position.era,
            evacuations_era=catalogue.evacuations.position.era,
            evacuations_revision=catalogue.evacuations.position.revision,
            store_age_ms=-1 if read_at is None else clock.age_ms(read_at, now),
            operator_age_ms=None
            if proof_at is None
            else clock.proven_age_ms(proof_at, now),
            answer_age_ms=None if answer_at is None else clock.age_ms(answer_at, now),
            sent_ms=clock.now_ms(now),
            weights={
                model: published.version
                for model, published in catalogue.weights.items()
            },
            peers=self.board.peers.peers_to_report(now)
            if self.lists_peers(now)
            else {},
            weights_age_ms=proven_ages_ms(catalogue.weights, now),
            pieces=self.board.holdings.publish(),
        )

    def receive(self, datagram: Any, host: str) -> None:
        """Dispatch a datagram from ``host`` by its kind."""
        if datagram.entry is not None:
            self.receive_heartbeat(datagram.entry)
        elif datagram.engine is not None:
            self.receive_engine_report(datagram.engine, host)
        elif datagram.sent is not None:
            self.receive_request_report(datagram.sent)
        elif datagram.suspects is not None:
            news = datagram.suspects
            self.receive_suspicions(news.suspicions or [], host, news.trials_ms or {})
        elif datagram.leaving is not None:
            self.leaving_news.receive(datagram.leaving, host)
        elif datagram.limit is not None:
            self.limit_news.receive(datagram.limit, host)
        elif datagram.paces is not None:
            for pace in datagram.paces:
                self.pace_news.receive(pace, host)

    def publish_suspicion(self, fingerprint: Fingerprint) -> None:
        """Schedule sending the suspicion of a request to all live entries."""
        self.changed_suspects.add(fingerprint)
        self.published_suspects.pop(fingerprint, None)
        self.published_suspects[fingerprint] = None
        if len(self.published_suspects) > MAX_PUBLISHED_SUSPECTS:
            del self.published_suspects[next(iter(self.published_suspects))]
        if len(self.changed_suspects) == 1:
            eventlet.spawn_after(BATCH_DELAY_S, self.send_changed_suspicions)

    def send_changed_suspicions(self) -> None:
        """Send the suspicions that changed since the last call."""
        changed, self.changed_suspects = self.changed_suspects, set()
        records = self.board.suspects.records
        self.send_suspicions(
            [records[fingerprint] for fingerprint in changed if fingerprint in records]
        )

    def receive_suspicions(
        self, suspicions: list[Any], host: str, trials_ms: dict[str, int]
    ) -> None:
        """
        Merge the suspicions of an entry, and send it the clearings that it lacks.

        ``trials_ms`` is for how long the entry may still try some of the requests.

        A clearing of a suspicion that this entry published is published again, so that
        it reaches all entries that know the suspicion.
        """
        suspects = self.board.suspects
        fingerprints = [Fingerprint(each.fingerprint) for each in suspicions]
        published = {
            fingerprint: suspects.known_clearings(fingerprint)
            for fingerprint in fingerprints
            if fingerprint in self.published_suspects
        }
        merge_suspicions(suspects, suspicions)
        for fingerprint, remaining_ms in trials_ms.items():
            self.board.whole_requests.record_other_trial(
                Fingerprint(fingerprint), remaining_ms / 1000, clock.now()
            )
        self.board.prompt_parts.clear_answered(fingerprints, clock.now())
        for fingerprint, clearings in published.items():
            if suspects.known_clearings(fingerprint) != clearings:
                self.publish_suspicion(fingerprint)
        self.send_suspicions(clearings_to_return(suspects, suspicions), [host])

    def send_suspicions(
        self, suspicions: list[Suspicion], hosts: list[str] | None = None
    ) -> None:
        """
        Send suspicions to some hosts, by default to all live entries.

        They are split over several datagrams if needed.
        """
        step = MAX_SUSPICIONS_PER_DATAGRAM
        if hosts is None:
            hosts = [peer.host for peer in self.board.peers.live(clock.now())]
        for start in range(0, len(suspicions), step):
            batch = suspicions[start : start + step]
            news = schema.SuspicionNews(
                [suspicion_to_thrift(suspicion) for suspicion in batch],
                self.trials_ms(batch) or None,
            )
            self.datagram_port.send_all(hosts, suspects=news)

    def trials_ms(self, suspicions: list[Suspicion]) -> dict[str, int]:
        """Return how long this entry's trials of suspect requests may still run."""
        now = clock.now()
        trials_s = {
            each.fingerprint: self.board.whole_requests.own_trial_remaining_s(
                each.fingerprint, now
            )
            for each in suspicions
        }
        return {
            fingerprint: round(remaining_s * 1000)
            for fingerprint, remaining_s in trials_s.items()
            if remaining_s is not None
        }

    def publish_sent(
        self, address: Address, prompt_tokens: int, urgency: int = DEFAULT_URGENCY
    ) -> None:
        """
        Schedule reporting a sent request to other entries.

        The entries of this failure domain receive the report. If the back end is in
        another domain, all entries to which its agent reports receive it as well: they
        see the back end's spare capacity at the same time, and without the report each
        would fill it.
        """
        backend = self.board.backends.by_address.get(address)
        own = self.board.identity.failure_domain
        if backend is not None and backend.listed.failure_domain != own:
            self.agents_sent_to[address[0]] = backend.listed.failure_domain
        sent = schema.Sent(f"{address[0]}:{address[1]}", prompt_tokens, urgency)
        self.sent_requests.append(sent)
        if len(self.sent_requests) == 1:
            eventlet.spawn_after(BATCH_DELAY_S, self.send_request_report)

    def send_request_report(self) -> None:
        """Report the latest requests sent since the last call; drop older ones."""
        requests, self.sent_requests = self.sent_requests, []
        agents, self.agents_sent_to = self.agents_sent_to, {}
        report = schema.SentNews(requests[-MAX_SENT_PER_DATAGRAM:])
        now = clock.now()
        live = {peer.host: peer.failure_domain for peer in self.board.peers.live(now)}
        own = self.board.identity.failure_domain
        recipients = {host for host, domain in live.items() if domain == own}
        for host, domain in agents.items():
            recipients.update(reported_hosts(host, domain, live))
        self.datagram_port.send_all(recipients, sent=report)

    def receive_request_report(self, report: Any) -> None:
        """Count the requests that another entry sent to back ends."""
        now = clock.now()
        for sent in report.requests or ():
            address = parse_address(sent.address)
            backend = self.board.backends.by_address.get(address) if address else None
            if backend is None:
                continue
            prompt_tokens = max(0, sent.prompt_tokens)
            service = self.board.catalogue.routes.services.get(backend.listed.service)
            if service is not None and service.engine is not None:
                read_s = predict_read_s(service.engine, prompt_tokens)
                backend.record_sent_by_other(read_s, now)
                # The message does not tell the length of the answer.
                prompt, answer = count_tokens(prompt_tokens, 0, service.engine)
                backend.memory.record_sent_by_other(prompt, answer, now)
                backend.urgent_work.record_sent(
                    clamp_urgency(sent.urgency), predict_request_s(service.engine), now
                )
            elif service is not None and backend.measures_pace:
                backend.measured.record_sent_by_other(backend.mean_duration_s, now)

    def receive_heartbeat(self, heartbeat: Any) -> None:
        """Update the peer that sent a heartbeat, and pull its catalogue if newer."""
        now = clock.now()
        peers = self.board.peers
        previous = peers.by_host.get(heartbeat.host)
        was_live = previous is not None and previous.live(now)
        peer = peers.record_heartbeat(
            heartbeat.host, heartbeat.failure_domain, now, heartbeat.incarnation
        )
        if peer is None:
            return
        if not was_live:
            log_decision(
                "peer live",
                heartbeat.host,
                heartbeat.failure_domain,
                "received a heartbeat",
            )
            # A peer that has just started learns at once from whom to pull.
            self.datagram_port.send(heartbeat.host, entry=self.build_heartbeat(now))
        peer.leaving = heartbeat.leaving
        peer.configuration_revision = heartbeat.configuration_revision
        peer.store_position = StorePosition(
            heartbeat.store_era or 0, heartbeat.store_revision
        )
        peer.sends_era = heartbeat.store_era is not None
        peer.evacuations_position = StorePosition(
            heartbeat.evacuations_era or 0, heartbeat.evacuations_revision or 0
        )
        store_age_ms = heartbeat.store_age_ms
        peer.store_age_s = float("inf") if store_age_ms < 0 else store_age_ms / 1000
        peer.weights = dict(heartbeat.weights or {})
        self.board.holdings.record(heartbeat.host, heartbeat.pieces or {})
        peers.add_reported_peers(heartbeat.peers or {}, now)
        catalogue = self.board.catalogue
        sent_at = measure_sending(catalogue, peer, heartbeat, now)
        record_weights_ages(catalogue, heartbeat, sent_at, now)
        record_proof(catalogue, peer, heartbeat, sent_at, now)
        catalogue.freshness.record_named(
            peer.configuration_revision, catalogue.configuration_revision, now
        )
        if not peer.is_ahead_of(catalogue):
            catalogue.record_peer_contact(now - peer.store_age_s)
        else:
            self.puller.pull_if_behind()

    def engine_figures(self, address: Address) -> EngineFigures | None:
        """Return the published figures of the engine at an address, None if unknown."""
        backend = self.board.backends.by_address.get(address)
        if backend is None:
            return None
        service = self.board.catalogue.routes.services.get(backend.listed.service)
        return service.engine if service is not None else None

    def receive_engine_report(self, message: Any, host: str) -> None:
        """Record an agent's report on its engine, and send it advice."""
        now = clock.now()
        address = parse_address(message.address)
        if address is None:
            logger.warning(
                "received the report of an engine with an invalid address",
                extra={"peer": host, "address": message.address[:80]},
            )
            return
        previous = self.board.backends.reports.get(address)
        lagging = self.board.backends.measured_pace
        figures = self.engine_figures(address) if lagging else None
        running = max(0, message.running)
        report = EngineReport(
            now,
            message.born_ms,
            message.model,
            message.version,
            message.switching,
            running,
            max(0, message.waiting),
            message.pace,
            now + message.closes_in_ms / 1000 if message.closes_in_ms >= 0 else None,
            lag_s=figures.report_lag_s if figures else 0.0,
            ended=predict_ends(figures, running, figures.report_lag_s)
            if figures
            else 0.0,
            memory_used=message.memory_used,
            memory_total=message.memory_total,
            unverified=bool(message.unverified),
            link_delay_s=max(0, message.link_delay_ms or 0) / 1000,
        )
        report = keep_closed(previous, report)
        self.board.backends.apply_report(address, report)
        if previous is None or (previous.version, previous.switching) != (
            report.version,
            report.switching,
        ):
            log_decision(
                "engine reported",
                message.address,
                f"{message.model}/{message.version}",
                "switching" if report.switching else "reported by its agent",
                born_ms=message.born_ms,
            )
        self.send_advice(host, address, now)

    def send_advice(self, host: str, address: Address, now: float) -> None:
        """Send an agent its advice if the advice changed or is due again."""
        advice = self.build_advice(address, now)
        if advice is None:
            return
        last = self.last_advice.get(host)
        unchanged = last is not None and last[1] == advice.weights
        if last is not None and unchanged and now < last[0]:
            return
        self.last_advice.pop(host, None)
        self.last_advice[host] = (now + ADVICE_INTERVAL_S, advice.weights)
        if len(self.last_advice) > MAX_ADVISED_AGENTS:
            del self.last_advice[next(iter(self.last_advice))]
        self.datagram_port.send(host, advice=advice)

    def build_advice(self, address: Address, now: float) -> Any:
        """
        Return which weights the back end at an address should hold.

        While the configuration or the back end is unknown, the advice names entries
        only. Return None for a back end that is leaving or whose service is unknown.
        """
        catalogue = self.board.catalogue
        backend = self.board.backends.by_address.get(address)
        if catalogue.configuration is None or backend is None:
            return schema.FillingAdvice(
                self.host,
                self.board.identity.failure_domain,
                {},
                {},
                self.list_entries_for_agent(now),
                0,
                0,
            )
        service = catalogue.routes.services.get(backend.listed.service)
        if service is None or backend.listed.state is ServerState.LEAVING:
            return None
        weights, ages = {}, {}
        for model in service.models:
            published = catalogue.weights.get(model)
            weights[model] = published.version if published else DEFAULT_VERSION
            ages[model] = (
                clock.proven_age_ms(published.absent_at, now) if published else 0
            )
        group = sorted(
            member.listed.server_id
            for member in self.board.backends.serving(service.name)
        )
        server_id = backend.listed.server_id
        if server_id not in group:
            # Another start of the server runs at the address and is not listed yet.
            group.append(server_id)
        return schema.FillingAdvice(
            self.host,
            self.board.identity.failure_domain,
            weights,
            ages,
            self.list_entries_for_agent(now),
            group.index(server_id),
            len(group),
            proven_ages_ms(
                {
                    model: catalogue.weights[model]
                    for model in service.models
                    if model in catalogue.weights
                },
                now,
            ),
            clock.now_ms(now),
            self.board.identity.incarnation,
        )

    def list_entries_for_agent(self, now: float) -> dict[str, str]:
        """Return the hosts that an agent may contact, mapped to failure domains."""
        hosts = self.board.peers.peers_to_report(now)
        for peer in self.board.peers.live(now):
            if peer.failure_domain == self.board.identity.failure_domain:
                hosts[peer.host] = peer.failure_domain
        return hosts


def proven_ages_ms(
    weights: Mapping[str, PublishedWeights], now: float
) -> dict[str, dict[int, int]]:
    """Return the milliseconds since versions were last proven absent, by model."""
    return {
        model: {
            each.version: clock.proven_age_ms(each.absent_at, now)
            for each in published.history
            if each.proven
        }
        for model, published in weights.items()
    }


def parse_address(text: str) -> Address | None:
    """Return the host and port of an ``IP:PORT`` string, None for any other text."""
    host, _, port = text.rpartition(":")
    try:
        return host, int(port)
    except ValueError:
        return None
