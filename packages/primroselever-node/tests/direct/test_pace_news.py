"""News of servers that are cold or in their ramp, among entries."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace

import eventlet
import pytest
from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from primroselever_core.catalogue.model import ListedServer, ServerState, Service
from primroselever_core.direct_board import DirectBoard
from primroselever_core.dispatch.announcements import start_of
from primroselever_core.gossip.peers import Peers
from primroselever_core.identity import Identity
from primroselever_node import clock
from primroselever_node.direct.gossip import GossipController
from primroselever_node.direct.pace_news import PaceNews
from primroselever_node.direct.schema import schema

SERVER = ListedServer(
    "i-1", "s", ("127.0.0.9", 80), "a", ServerState.READY, 6, born_ms=5
)
START = start_of(SERVER)
MAX_NEWS_BYTES = 120  # 36 entries and 7 servers in their ramps at once


class Network:
    """Entries whose datagrams arrive at once."""

    def __init__(self) -> None:
        self.entries: dict[str, PaceNews] = {}
        self.sent: list = []
        self.datagrams: list = []

    def add(self, host: str) -> PaceNews:
        board = DirectBoard(Identity(host, "a", "r", 1), Peers(host, "a"))

        def send_all(hosts, paces) -> None:
            self.datagrams.append(paces)
            self.sent += paces
            for each in hosts:
                for pace in paces:
                    self.entries[each].receive(pace, host)

        entry = self.entries[host] = PaceNews(board, SimpleNamespace(send_all=send_all))
        for other in self.entries.values():
            for each in self.entries:
                other.board.peers.record_heartbeat(each, "b", clock.now())
        section = board.backends
        section.cold_pace.overage, section.cold_pace.slack = 1.5, 5.0
        service = Service("s", 0, cold_start_s=3.0, cold_per_s=14.0)
        section.cold_pace.configure({"s": service}, [])
        section.start_pace.enabled = True
        for servers in ([], [SERVER]):
            section.apply_listing(servers)
            backends = list(section.backends.values())
            section.cold_pace.apply_listing(backends, clock.now())
            section.start_pace.apply_listing(backends, clock.now())
        return entry


@pytest.fixture
def network() -> Network:
    return Network()


def backend_of(entry: PaceNews):
    return entry.board.backends.backends["i-1"]


def publish(entry: PaceNews, started: int = 0) -> None:
    entry.publish(START, started)
    eventlet.sleep(0.02)


# Guards against entries that keep a server for cold until its published time is over.
def test_what_a_server_says_to_one_entry_reaches_the_others(network):
    sender, other = network.add("127.0.0.1"), network.add("127.0.0.2")
    eventlet.sleep(0.005)  # ages are sent in whole milliseconds
    now = clock.now()
    backend_of(sender).cold.learn(now, now, "named in an answer", now)
    publish(sender)
    assert not backend_of(other).cold.is_cold(clock.now())


def test_what_is_older_than_an_event_is_ignored(network):
    sender, other = network.add("127.0.0.1"), network.add("127.0.0.2")
    now = clock.now()
    backend_of(sender).cold.learn(now, now, "named in an answer", now)
    backend_of(other).cold.record_event("a request failed", now + 0.5)
    publish(sender)
    assert backend_of(other).cold.is_cold(clock.now())


# Guards against a pace that each entry uses for itself.
def test_pace_and_starts_reach_the_other_entries(network):
    sender, other = network.add("127.0.0.1"), network.add("127.0.0.2")
    ramp = backend_of(sender).ramp
    now = clock.now()
    ramp.record_wanted(now)
    ramp.record_start(now)
    assert ramp.record_answer(0.2, None, now, now + 0.2)
    publish(sender, 3)
    heard = backend_of(other).ramp
    assert (heard.step, heard.per_s, heard.floor_s) == (1, ramp.per_s, 0.2)
    assert heard.sent_within(1.0, clock.now()) == 3


def test_requests_sent_together_are_published_in_one_datagram(network):
    sender = network.add("127.0.0.1")
    network.add("127.0.0.2")
    backend_of(sender).ramp.record_wanted(clock.now())
    sender.publish(START, 1)
    publish(sender, 2)
    assert [news.started for news in network.sent] == [3]


@pytest.mark.parametrize(
    "change",
    [
        {"host": None},
        {"server_id": None},
        {"per_s": float("nan")},
        {"per_s": float("inf")},
        {"per_s": -1.0},
        {"per_s": 0.0},
        {"born_ms": 6},
        {"server_id": "i-2"},
    ],
)
def test_invalid_news_and_those_of_other_starts_are_ignored(network, change):
    entry = network.add("127.0.0.1")
    fields = {
        "server_id": "i-1",
        "host": "127.0.0.9",
        "port": 80,
        "born_ms": 5,
        "step": 4,
        "per_s": 20.0,
    }
    entry.receive(schema.PaceNews(**(fields | change)), "127.0.0.2")
    assert backend_of(entry).ramp.step == 0


# Guards against news that fill the links, or that an earlier release cannot read.
def test_the_news_are_small_and_survive_the_wire(network):
    sender = network.add("127.0.0.1")
    network.add("127.0.0.2")
    backend_of(sender).ramp.record_wanted(clock.now())
    publish(sender, 1)
    protocol = TBinaryProtocolFactory()
    data = serialize(schema.Datagram(paces=network.sent[:1]), protocol)
    assert len(data) <= MAX_NEWS_BYTES
    assert deserialize(schema.Datagram(), data, protocol).paces == network.sent[:1]


# Guards against a datagram for each server when all of them start at once.
def test_news_of_servers_that_start_together_share_datagrams(network):
    sender = network.add("127.0.0.1")
    section = sender.board.backends
    servers = [
        replace(SERVER, server_id=f"i-{index}", address=("127.0.0.9", 100 + index))
        for index in range(20)
    ]
    section.apply_listing(servers)
    section.start_pace.apply_listing(section.backends.values(), clock.now())
    for _request in range(3):
        for server in servers:
            section.backends[server.server_id].record_wanted(clock.now())
            sender.publish(start_of(server), 1)
    eventlet.sleep(0.1)
    assert [len(paces) for paces in network.datagrams] == [10, 10]
    assert {news.started for news in network.sent} == {3}


# Guards against state of other entries where no setting asks for it.
@pytest.mark.parametrize("enabled", [False, True])
def test_members_are_recorded_only_where_a_setting_asks_for_it(network, enabled):
    entry = network.add("127.0.0.1")
    network.add("127.0.0.2")
    section = entry.board.backends
    section.cold_pace.overage = None
    section.start_pace.enabled = enabled
    controller = SimpleNamespace(board=entry.board, host="127.0.0.1")
    GossipController.update_members(controller, clock.now())
    assert bool(section.cold_pace.members.heard_at) == enabled


# Guards against a step of a peer after which this entry's next one fits no message, so
# that the news of all servers in the same datagrams are lost.
@pytest.mark.parametrize("step", [2**31 - 1, 1_000_001, -1])
def test_a_step_without_a_next_one_is_ignored(network, step):
    entry = network.add("127.0.0.1")
    news = schema.PaceNews("i-1", "127.0.0.9", 80, 5, step=step, per_s=2.0)
    entry.receive(news, "127.0.0.2")
    assert backend_of(entry).ramp.step == 0
