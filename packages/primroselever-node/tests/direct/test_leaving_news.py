"""Entries of a failure domain share the news of servers that leave."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import eventlet
import pytest
from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.utils import serialize

from primroselever_core.catalogue.model import ListedServer, ServerState
from primroselever_core.direct_board import DirectBoard
from primroselever_core.dispatch.announcements import ServerStart, start_of
from primroselever_core.gossip.peers import Peers
from primroselever_core.identity import Identity
from primroselever_node import clock
from primroselever_node.direct import leaving_news as leaving_news_module
from primroselever_node.direct.leaving_news import (
    MAX_REPEATED_SERVERS,
    MAX_SERVERS_PER_DATAGRAM,
    LeavingNews,
)
from primroselever_node.direct.schema import schema

SERVER = ListedServer("i-1", "gen", ("127.0.0.9", 1), "a", ServerState.READY, 8, 1)


class LossyPort:
    """Delivers datagrams in their wire form, except those that a test loses."""

    def __init__(self, own_host: str, entries: dict[str, LeavingNews]) -> None:
        self.own_host, self.entries = own_host, entries
        self.lost = 0
        self.sizes: list[int] = []
        self.recipients: list[str] = []

    def send_all(self, hosts, **structure) -> None:
        datagram = schema.Datagram(**structure)
        data = serialize(datagram, TBinaryProtocolFactory())
        for host in hosts:
            self.sizes.append(len(data))
            self.recipients.append(host)
            if self.lost:
                self.lost -= 1
            else:
                self.entries[host].receive(datagram.leaving, self.own_host)


@pytest.fixture
def entries(monkeypatch):
    """Return two entries of one failure domain and one of another, by host."""
    monkeypatch.setattr(leaving_news_module, "BATCH_DELAY_S", 0.0)
    by_host: dict[str, LeavingNews] = {}
    domains = {"10.0.0.1": "a", "10.0.0.2": "a", "10.0.0.3": "b"}
    for host, domain in domains.items():
        board = DirectBoard(Identity(host, domain, "r", 1), Peers(host, domain, ()))
        for peer, peer_domain in domains.items():
            board.peers.record_heartbeat(peer, peer_domain, clock.now())
        board.backends.apply_listing([SERVER])
        by_host[host] = LeavingNews(board, LossyPort(host, by_host))
    return by_host


def is_leaving(news: LeavingNews) -> bool:
    return news.board.backends.backends["i-1"].announced.is_leaving


# Guards against entries that send requests to a leaving server until each of them has
# read an answer of its own.
def test_the_other_entries_of_the_domain_learn_of_a_leaving_server(entries):
    sender, same_domain, other_domain = entries.values()
    sender.publish(start_of(SERVER))
    eventlet.sleep(0.01)
    assert is_leaving(same_domain)
    assert not is_leaving(other_domain)
    assert sender.datagram_port.recipients == ["10.0.0.2"]


# Guards against a lost datagram: no later answer of the server would be announced.
def test_news_is_repeated_for_a_bounded_time(entries, monkeypatch):
    sender, same_domain, _other_domain = entries.values()
    sender.datagram_port.lost = 2
    sender.publish(start_of(SERVER))
    eventlet.sleep(0.01)
    sender.repeat_news()
    assert not is_leaving(same_domain)
    sender.repeat_news()
    assert is_leaving(same_domain)
    monkeypatch.setattr(leaving_news_module, "REPEAT_FOR_S", 0.0)
    sender.publish(start_of(SERVER))
    eventlet.sleep(0.01)
    sent_count = len(sender.datagram_port.sizes)
    sender.repeat_news()
    assert len(sender.datagram_port.sizes) == sent_count
    assert sender.repeat_until == {}


def test_news_received_from_a_peer_is_not_sent_on(entries):
    sender, same_domain, _other_domain = entries.values()
    sender.publish(start_of(SERVER))
    eventlet.sleep(0.01)
    same_domain.repeat_news()
    assert same_domain.datagram_port.sizes == []


# Guards against news of an earlier start that closes the present one.
def test_news_concerns_one_start_of_a_server(entries):
    sender, same_domain, _other_domain = entries.values()
    sender.publish(start_of(replace(SERVER, born_ms=7)))
    eventlet.sleep(0.01)
    assert not is_leaving(same_domain)
    same_domain.board.backends.apply_listing([replace(SERVER, born_ms=7)])
    assert is_leaving(same_domain)


# Pattern: a whole service leaves at once.
def test_many_leaving_servers_are_batched_into_small_datagrams(entries):
    sender, same_domain, _other_domain = entries.values()
    starts = [
        ServerStart(f"i-{index:016x}", ("255.255.255.255", 65535), 1 << 45)
        for index in range(MAX_REPEATED_SERVERS + 40)
    ]
    for start in starts:
        sender.publish(start)
    eventlet.sleep(0.01)
    datagrams = -(-len(starts) // MAX_SERVERS_PER_DATAGRAM)
    assert len(sender.datagram_port.sizes) == datagrams
    assert max(sender.datagram_port.sizes) < 1400
    announcements = same_domain.board.backends.announcements
    assert all(announcements.of_start(start).is_leaving for start in starts)
    assert len(sender.repeat_until) == MAX_REPEATED_SERVERS


def test_news_with_missing_fields_does_not_affect_the_rest(entries, caplog):
    _sender, same_domain, _other_domain = entries.values()
    complete = schema.LeavingServer("i-1", "127.0.0.9", 1, 1)
    news = schema.LeavingNews([schema.LeavingServer("i-2"), complete])
    same_domain.receive(news, "10.0.0.1")
    same_domain.receive(schema.LeavingNews(), "10.0.0.1")
    assert is_leaving(same_domain)
    assert "missing fields" in caplog.text


def test_a_closure_is_not_part_of_the_news(entries):
    """A server that turns requests away addresses one VM, not all entries."""
    sender, same_domain, _other_domain = entries.values()
    sender.board.backends.backends["i-1"].announced.record_closure(
        clock.now() + 9.0, clock.now(), Random(1)
    )
    sender.repeat_news()
    assert sender.datagram_port.sizes == []
    assert same_domain.board.backends.backends["i-1"].available(clock.now())
