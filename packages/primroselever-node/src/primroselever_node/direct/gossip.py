"""Heartbeats among entries, reports of agents, and catalogues handed on."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import eventlet

from primroselever_core.catalogue.model import ServerState
from primroselever_core.dispatch.backend import EngineReport
from primroselever_core.dispatch.predict import reading_s
from primroselever_core.gossip.readers import reads_store

from .. import clock
from ..logs import log_decision
from ..process import run_controller
from ..rpc.client_pool import ClientPool, LostReplyError, NeverSentError
from ..rpc.suspicions import learn, wire_of
from .datagrams import DatagramPort
from .peer_handler import copies
from .schema import schema
from .sources import CataloguePart

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroselever_core.catalogue.model import Address
    from primroselever_core.direct_board import DirectBoard
    from primroselever_core.gossip.peers import Peer
    from primroselever_core.identifiers import Fingerprint
    from primroselever_core.suspects.section import Suspicion

HEARTBEAT_S = 0.5  # well below the 2 s in which a configuration must be in force
ADVICE_INTERVAL_S = 1.0  # agents get advice at once when it changed, else this often
PULL_DELAY_S = 0.15  # the own watch of the store usually brings the same by then
CHANGE_NEWS_S = 0.02  # changes that come within this are told at once together
PEERS_NAMED_EACH = 4  # heartbeats; most of the bytes of one are the names of peers
PULL_TIMEOUT_S = 2.0
SENT_NEWS_S = 0.01  # requests that are sent within this share a datagram
SENT_IN_ONE_DATAGRAM = 40  # keeps a datagram below 1,400 bytes
SUSPICIONS_IN_ONE_DATAGRAM = 6  # keeps a datagram below 1,400 bytes
SUSPECTS_REPEATED_S = 2.0  # a datagram may be lost; below the platform's contact time
FIRST_VERSION = 1  # of weights that nobody has named yet

logger = logging.getLogger(__name__)


class GossipController:
    """Writes the section on peers, and takes in what they and agents report."""

    def __init__(
        self,
        board: DirectBoard,
        host: str,
        port: int,
        control_port: int,
        changed: Callable[[CataloguePart], None],
    ) -> None:
        self.board = board
        self.host = host
        self.control_port = control_port
        self.changed = changed
        self.port = DatagramPort(host, port, self.receive)
        self.pool = ClientPool(schema.DirectPeer)
        self.pulling = False
        self.sent_requests: list[Any] = []
        self.sent_far = False
        self.suspects_changed: set[Fingerprint] = set()
        self.suspects_repeat_at = 0.0
        self.change_to_tell = False
        self.beats = 0
        self.advised: dict[str, tuple[float, Any]] = {}
        self.agents_heard: dict[str, float] = {}

    def start(self) -> None:
        """Send and receive in greenlets of their own."""
        self.port.start()
        run_controller(self.beat, HEARTBEAT_S)

    def beat(self) -> None:
        """Send one heartbeat to each entry that is greeted."""
        now = clock.now()
        for host in self.board.peers.forget_silent(now):
            log_decision("peer forgotten", host, "dropped", "not heard for long")
        news = self.news(now)
        self.beats += 1
        self.port.send_all(self.board.peers.greeted(), entry=news)
        if now >= self.suspects_repeat_at:
            self.suspects_repeat_at = now + SUSPECTS_REPEATED_S
            self.board.suspects.expire(now)
            worst = self.board.suspects.worst(SUSPICIONS_IN_ONE_DATAGRAM)
            self.send_suspicions([one for one in worst if one.uncleared() > 1])

    def catalogue_changed(self) -> None:
        """Tell the own failure domain soon: others there may rely on this entry."""
        if not self.change_to_tell:
            self.change_to_tell = True
            eventlet.spawn_after(CHANGE_NEWS_S, self.tell_change)

    def tell_change(self) -> None:
        """Send a heartbeat ahead of time."""
        self.change_to_tell = False
        now = clock.now()
        news = self.news(now)
        peers = self.board.peers
        near = (
            host
            for host in peers.greeted()
            if host in peers.known
            and peers.known[host].failure_domain == peers.own_domain
        )
        self.port.send_all(near, entry=news)

    def news(self, now: float) -> Any:
        """Return this entry's heartbeat."""
        catalogue = self.board.catalogue
        configuration = catalogue.configuration
        read_at = catalogue.read_at
        return schema.EntryNews(
            host=self.host,
            failure_domain=self.board.identity.failure_domain,
            incarnation=self.board.identity.incarnation,
            leaving=self.board.leaving,
            configuration_revision=configuration.revision if configuration else 0,
            store_revision=catalogue.store_revision,
            store_age_ms=-1 if read_at is None else int((now - read_at) * 1000),
            weights={m: named.version for m, named in catalogue.weights.items()},
            peers=self.board.peers.named(now)
            if self.beats % PEERS_NAMED_EACH == 0
            else {},
            weights_age_ms={
                model: {
                    known.version: int((now - known.learned_at) * 1000)
                    for known in named.history
                    if not known.assumed
                }
                for model, named in catalogue.weights.items()
            },
        )

    def receive(self, datagram: Any, host: str) -> None:
        """Take in one datagram."""
        if datagram.entry is not None:
            self.hear_entry(datagram.entry)
        elif datagram.engine is not None:
            self.hear_engine(datagram.engine, host)
        elif datagram.sent is not None:
            self.hear_sent(datagram.sent)
        elif datagram.suspects is not None:
            learn(self.board.suspects, datagram.suspects.suspicions)

    def note_suspicion(self, fingerprint: Fingerprint) -> None:
        """Tell others what is now known of a request at whose run a server crashed."""
        self.suspects_changed.add(fingerprint)
        if len(self.suspects_changed) == 1:
            eventlet.spawn_after(SENT_NEWS_S, self.tell_suspicions)

    def tell_suspicions(self) -> None:
        """Send what was noted since the last time."""
        changed, self.suspects_changed = self.suspects_changed, set()
        records = self.board.suspects.records
        self.send_suspicions([records[one] for one in changed if one in records])

    def send_suspicions(self, suspicions: list[Suspicion]) -> None:
        """Send suspicions to all live entries, in as many datagrams as they need."""
        step = SUSPICIONS_IN_ONE_DATAGRAM
        live = [peer.host for peer in self.board.peers.live(clock.now())]
        for start in range(0, len(suspicions), step):
            part = [wire_of(one) for one in suspicions[start : start + step]]
            self.port.send_all(live, suspects=schema.SuspicionNews(part))

    def note_sent(self, address: Address, prompt_tokens: int) -> None:
        """
        Tell others of a request: the own failure domain, or all if it left the domain.

        A server of another domain with room is seen by all domains at once; who does
        not hear of the others' requests would send it as many again.
        """
        backend = self.board.backends.by_address.get(address)
        own = self.board.identity.failure_domain
        if backend is not None and backend.listed.failure_domain != own:
            self.sent_far = True
        sent = schema.Sent(f"{address[0]}:{address[1]}", prompt_tokens)
        self.sent_requests.append(sent)
        if len(self.sent_requests) == 1:
            eventlet.spawn_after(SENT_NEWS_S, self.tell_sent)

    def tell_sent(self) -> None:
        """Send what was noted since the last time."""
        requests, self.sent_requests = self.sent_requests, []
        far, self.sent_far = self.sent_far, False
        news = schema.SentNews(requests[-SENT_IN_ONE_DATAGRAM:])
        now = clock.now()
        own = self.board.identity.failure_domain
        told = (
            peer.host
            for peer in self.board.peers.live(now)
            if far or peer.failure_domain == own
        )
        self.port.send_all(told, sent=news)

    def hear_sent(self, news: Any) -> None:
        """Take in what another entry sent to back ends."""
        now = clock.now()
        for sent in news.requests:
            backend = self.board.backends.by_address.get(parse_address(sent.address))
            if backend is None:
                continue
            service = self.board.catalogue.routes.services.get(backend.listed.service)
            if service is not None and service.engine is not None:
                reading = reading_s(service.engine, sent.prompt_tokens)
                backend.sent_by_other(reading, now)

    def hear_entry(self, news: Any) -> None:
        """Take in the heartbeat of another entry."""
        now = clock.now()
        peers = self.board.peers
        known = peers.known.get(news.host)
        was_live = known is not None and known.live(now)
        peer = peers.hear(news.host, news.failure_domain, now)
        if peer is None:
            return
        if not was_live:
            log_decision("peer heard", news.host, news.failure_domain, "heartbeat")
        peer.incarnation = news.incarnation
        peer.leaving = news.leaving
        peer.configuration_revision = news.configuration_revision
        peer.store_revision = news.store_revision
        age_ms = news.store_age_ms
        peer.store_age_s = float("inf") if age_ms < 0 else age_ms / 1000
        peer.weights = dict(news.weights or {})
        peers.learn(news.peers or {}, now)
        for model, ages_ms in (news.weights_age_ms or {}).items():
            named = self.board.catalogue.weights.get(model)
            if named is not None:
                for version, age_ms in ages_ms.items():
                    named.peer_learned(version, now - age_ms / 1000)
        if not self.knows_more(peer):
            self.board.catalogue.heard_by_peer(now - peer.store_age_s)
        elif not self.pulling:
            self.pulling = True
            eventlet.spawn(self.pull, peer)

    def knows_more(self, peer: Peer) -> bool:
        """Return whether a peer holds something newer than this process."""
        catalogue = self.board.catalogue
        configuration = catalogue.configuration
        own_revision = configuration.revision if configuration else 0
        if peer.configuration_revision > own_revision:
            return True
        if peer.store_revision > catalogue.store_revision:
            return True
        return any(
            model not in catalogue.weights or version > catalogue.weights[model].version
            for model, version in peer.weights.items()
        )

    def waits_for_own_watch(self, peer: Peer) -> bool:
        """Return whether the same may come by a shorter way than from a peer."""
        peers = self.board.peers
        return peer.failure_domain != peers.own_domain or reads_store(
            peers, clock.now()
        )

    def pull(self, peer: Peer) -> None:
        """Take over a peer's catalogue unless the store brought the same meanwhile."""
        try:
            if self.waits_for_own_watch(peer):
                eventlet.sleep(PULL_DELAY_S)
            if not self.knows_more(peer):
                return
            text = self.pool.call_again(
                (peer.host, self.control_port),
                "fetch_catalogue",
                self.board.catalogue.store_revision,
                timeout_s=PULL_TIMEOUT_S,
            )
            copy = copies.validate_json(text)
        except (NeverSentError, LostReplyError, ValueError) as exc:
            logger.warning("no catalogue from a peer", extra={"error": str(exc)})
            return
        finally:
            self.pulling = False
        if self.board.catalogue.merge(copy, clock.now()):
            configuration = self.board.catalogue.configuration
            log_decision(
                "catalogue changed",
                "peer",
                peer.host,
                "the peer knew more",
                configuration=configuration.revision if configuration else None,
                weights=copy.weights,
                servers=len(self.board.catalogue.servers),
            )
            self.changed(CataloguePart.OPERATOR)
            self.changed(CataloguePart.SERVERS)

    def hear_engine(self, news: Any, host: str) -> None:
        """Take in the report of an agent, and advise it."""
        now = clock.now()
        address = parse_address(news.address)
        before = self.board.backends.reports.get(address)
        report = EngineReport(
            now,
            news.born_ms,
            news.model,
            news.version,
            news.switching,
            news.running,
            news.waiting,
            news.pace,
            now + news.closes_in_ms / 1000 if news.closes_in_ms >= 0 else None,
        )
        self.board.backends.hear(address, report)
        if before is None or (before.version, before.switching) != (
            report.version,
            report.switching,
        ):
            log_decision(
                "engine reported",
                news.address,
                f"{news.model}/{news.version}",
                "switching" if news.switching else "its agent said so",
                born_ms=news.born_ms,
            )
        self.agents_heard[host] = now
        self.advise(host, address, now)

    def advise(self, host: str, address: Address, now: float) -> None:
        """Tell an agent what is wanted, if that is news or due again."""
        advice = self.advice(address, now)
        if advice is None:
            return
        last = self.advised.get(host)
        same = last is not None and last[1] == advice.weights
        if last is not None and same and now < last[0]:
            return
        self.advised[host] = (now + ADVICE_INTERVAL_S, advice.weights)
        self.port.send(host, advice=advice)

    def advice(self, address: Address, now: float) -> Any:
        """Return what the back end at an address should hold, None while unknown."""
        catalogue = self.board.catalogue
        backend = self.board.backends.by_address.get(address)
        if catalogue.configuration is None or backend is None:
            return schema.FillingAdvice(
                self.host,
                self.board.identity.failure_domain,
                {},
                {},
                self.peers(now),
                0,
                0,
            )
        service = catalogue.routes.services.get(backend.listed.service)
        if service is None or backend.listed.state is ServerState.LEAVING:
            return None
        weights, ages = {}, {}
        for model in service.models:
            named = catalogue.weights.get(model)
            weights[model] = named.version if named else FIRST_VERSION
            ages[model] = int((now - named.learned_at) * 1000) if named else 0
        group = sorted(
            one.listed.server_id for one in self.board.backends.serving(service.name)
        )
        rank = group.index(backend.listed.server_id)
        return schema.FillingAdvice(
            self.host,
            self.board.identity.failure_domain,
            weights,
            ages,
            self.peers(now),
            rank,
            len(group),
        )

    def peers(self, now: float) -> dict[str, str]:
        """Return the entries that an agent may turn to."""
        hosts = self.board.peers.named(now)
        for peer in self.board.peers.live(now):
            if peer.failure_domain == self.board.identity.failure_domain:
                hosts[peer.host] = peer.failure_domain
        return hosts


def parse_address(text: str) -> Address:
    """Return host and port of an ``IP:PORT``."""
    host, _, port = text.rpartition(":")
    return host, int(port)
