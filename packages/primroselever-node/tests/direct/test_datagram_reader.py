"""Datagrams that are damaged, or that another program or release sent."""

from __future__ import annotations

import copy
import struct

import pytest
from hypothesis import given, settings, strategies as st
from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.thrift import TType
from thriftpy2.utils import serialize

from primroselever_core.catalogue.model import (
    CallerLimits,
    Configuration,
    EngineFigures,
    ListedServer,
    ServerState,
    Service,
)
from primroselever_core.direct_board import DirectBoard
from primroselever_core.gossip.peers import Peers
from primroselever_core.identity import Identity
from primroselever_core.suspects.section import CrashId
from primroselever_node import clock
from primroselever_node.direct import gossip as gossip_module
from primroselever_node.direct.datagram_reader import read_datagram
from primroselever_node.direct.gossip import GossipController
from primroselever_node.direct.schema import schema
from primroselever_node.rpc.schema import schema as rpc_schema

PROTOCOL = TBinaryProtocolFactory()
HEARTBEAT = schema.EntryNews(
    host="10.0.0.2",
    failure_domain="a",
    incarnation=1,
    leaving=False,
    configuration_revision=1,
    store_revision=1,
    store_age_ms=1,
    weights={"m": 1},
    peers={"10.0.0.3": "a"},
    weights_age_ms={"m": {1: 2}},
    operator_age_ms=1,
    pieces={"m": {1: b"\xff"}},
)
REPORT = schema.EngineNews(
    "10.0.0.9:1", 1, "m", 1, False, 1, 1, 1.0, "a", "10.0.0.9", -1, 5, 9
)
SENT = schema.SentNews([schema.Sent("10.0.0.9:1", 100, 0) for _ in range(3)])
STRUCTURES = {
    "entry": HEARTBEAT,
    "engine": REPORT,
    "advice": schema.FillingAdvice("10.0.0.2", "a", {"m": 1}, {"m": 1}, {}, 0, 2),
    "sent": SENT,
    "suspects": schema.SuspicionNews(
        [rpc_schema.Suspicion("ab", 1, 5000, ["i-1/1"], [])]
    ),
    "leaving": schema.LeavingNews([schema.LeavingServer("i-1", "10.0.0.9", 1, 1)]),
    "limit": schema.LimitNews("i-1", "10.0.0.9", 1, 1, 5.0, 1, 1),
    "paces": [schema.PaceNews("i-1", "10.0.0.9", 1, 1, 5, 5, 1, 2.0, 5, 1)],
}
SERVER = ListedServer("i-1", "gen", ("10.0.0.9", 1), "a", ServerState.READY, 8, 1)
FIGURES = EngineFigures(
    8, 500_000, 0.01, 0.0, 0.0, 10_000.0, 2048, 5, 1000.0, 100.0, 0.2
)


def pack(**structure) -> bytes:
    return serialize(schema.Datagram(**structure), PROTOCOL)


def change(name, **fields):
    structure = copy.deepcopy(STRUCTURES[name])
    for field, value in fields.items():
        setattr(structure, field, value)
    return {name: structure}


class UnsentDatagrams:
    """Stands for the port: encodes each datagram, and sends none."""

    def __init__(self, host, port, receive) -> None:
        self.receive = receive

    def send_all(self, hosts, **structure) -> None:
        pack(**structure)

    def send(self, host, **structure) -> None:
        pack(**structure)


@pytest.fixture
def entry(monkeypatch):
    monkeypatch.setattr(gossip_module, "DatagramPort", UnsentDatagrams)
    return make_entry()


def make_entry() -> GossipController:
    board = DirectBoard(Identity("e", "a", "r", 1), Peers("10.0.0.1", "a"))
    board.catalogue.configure(
        Configuration(
            7, (), (Service("gen", 9, FIGURES, ("m",)),), CallerLimits(1, 1, 1.0, 1.0)
        ),
        clock.now(),
    )
    board.catalogue.publish_weights("m", 1, clock.now())
    board.catalogue.list_server(SERVER)
    board.backends.apply_listing([SERVER])
    controller = GossipController(board, "10.0.0.1", 1, 1, lambda part: None)
    controller.puller.pull = lambda peer: None
    return controller


def use(controller: GossipController) -> None:
    """Do what the controller does at each heartbeat, report and request."""
    controller.send_heartbeat()
    controller.send_early_heartbeat()
    controller.puller.choose_peer(clock.now())
    controller.build_advice(SERVER.address, clock.now())
    controller.send_suspicions(list(controller.board.suspects.records.values()))
    for backend in controller.board.backends.backends.values():
        backend.load(clock.now())
        backend.pace(clock.now())


# Guards against a datagram of a few bytes that occupies the process for a minute: the
# decoder skips as many items of an unknown list as it names.
@pytest.mark.parametrize("outer", [TType.LIST, TType.SET, TType.MAP])
@pytest.mark.parametrize("kind", [0, 1, 2, 8, 11, 12, 13, 14, 15, 18, 99, 255])
def test_a_list_of_more_items_than_bytes_is_refused(outer, kind):
    kinds = bytes([kind, kind]) if outer == TType.MAP else bytes([kind])
    for count in (2**31 - 1, 1000, -1):
        data = bytes([outer]) + struct.pack(">h", 99) + kinds
        data += struct.pack(">i", count) + bytes(100)
        with pytest.raises(ValueError, match="the datagram"):
            read_datagram(data)


@pytest.mark.parametrize("name", STRUCTURES)
def test_each_datagram_is_read_as_sent_and_refused_at_each_cut(name):
    data = pack(**{name: STRUCTURES[name]})
    assert read_datagram(data) == schema.Datagram(**{name: STRUCTURES[name]})
    for end in range(len(data)):
        with pytest.raises(ValueError, match="the datagram"):
            read_datagram(data[:end])


def test_a_nested_datagram_is_refused():
    with pytest.raises(ValueError, match="nested"):
        read_datagram(b"\x0c\x00\x63" * 2500 + b"\x00" * 500)


# Guards against a peer of which a field is missing or of another type, with which each
# later heartbeat of any peer fails.
@pytest.mark.parametrize(
    "fields",
    [
        {"host": None},
        {"host": b"\xff"},
        {"failure_domain": b"\xff"},
        {"incarnation": None},
        {"configuration_revision": None},
        {"store_revision": None},
        {"store_age_ms": None},
    ],
    ids=str,
)
def test_a_heartbeat_without_a_required_field_is_refused(fields, entry):
    with pytest.raises(ValueError, match="required"):
        read_datagram(pack(**change("entry", **fields)))
    with pytest.raises(ValueError, match="required"):
        read_datagram(pack(entry=schema.EntryNews(host="10.0.0.2")))


@pytest.mark.parametrize(
    "fields",
    [
        {"peers": {b"\xff": "a", "10.0.0.4": b"\xff", "10.0.0.5": "a"}},
        {"weights": {b"\xff": 3, "n": 2**31 - 1}},
        {"weights_age_ms": {"m": {1: -(2**31)}, b"\xff": {1: 1}}},
        {"configuration_revision": 2**63 - 1, "store_revision": -(2**63)},
        {"store_age_ms": 2**63 - 1, "operator_age_ms": -(2**63)},
        {"sent_ms": 2**63 - 1, "answer_age_ms": -(2**63)},
        {"sent_ms": -(2**63), "answer_age_ms": 2**63 - 1},
        {"store_era": 2**63 - 1, "evacuations_era": -(2**63)},
        {"pieces": {b"\xff": {1: b"\xff"}, "m": {-1: b""}}},
    ],
    ids=str,
)
def test_odd_values_of_a_heartbeat_leave_the_others(fields, entry):
    datagram = read_datagram(pack(**change("entry", **fields)))
    entry.receive(datagram, "10.0.0.2")
    use(entry)
    assert entry.board.peers.by_host["10.0.0.2"].failure_domain == "a"
    assert all(isinstance(host, str) for host in entry.board.peers.by_host)


# Guards against a report of an engine that makes the choice of servers fail.
@pytest.mark.parametrize(
    "fields",
    [
        {"pace": float("nan")},
        {"pace": float("inf")},
        {"pace": None},
        {"running": None},
        {"address": b"\xff"},
        {"closes_in_ms": None},
    ],
    ids=str,
)
def test_a_report_with_an_unusable_value_is_refused(fields):
    with pytest.raises(ValueError, match="required"):
        read_datagram(pack(**change("engine", **fields)))


@pytest.mark.parametrize(
    "address", ["", ":", "x", "10.0.0.9", "10.0.0.9:x", "9" * 5000]
)
def test_odd_addresses_in_reports_change_nothing(address, entry):
    entry.receive(read_datagram(pack(**change("engine", address=address))), "10.0.0.9")
    assert not entry.board.backends.reports
    news = schema.SentNews([schema.Sent(address, 1, 0), *SENT.requests])
    entry.receive(read_datagram(pack(sent=news)), "10.0.0.2")
    backend = entry.board.backends.by_address[SERVER.address]
    assert len(backend.sent_by_others) == 3


# Guards against a load below zero, which makes a server the best one for all requests.
def test_negative_numbers_of_requests_count_as_none(entry):
    now = clock.now()
    fields = {"running": -(2**31), "waiting": -5}
    entry.receive(read_datagram(pack(**change("engine", **fields))), "10.0.0.9")
    news = schema.SentNews([schema.Sent("10.0.0.9:1", -(2**31), 0)])
    entry.receive(read_datagram(pack(sent=news)), "10.0.0.2")
    backend = entry.board.backends.by_address[SERVER.address]
    assert backend.load(now) >= 0
    report = entry.board.backends.reports[SERVER.address]
    assert (report.running, report.waiting) == (0, 0)


# Guards against a deadline that is received and cannot be sent on.
def test_the_longest_deadline_of_a_suspicion_can_be_sent_on(entry):
    suspicion = rpc_schema.Suspicion("ab", 2, 2**63 - 1, ["i-1/1", "i-2/1"], [])
    entry.receive(
        read_datagram(pack(suspects=schema.SuspicionNews([suspicion]))), "10.0.0.2"
    )
    (record,) = entry.board.suspects.records.values()
    assert record.crashes == {CrashId("i-1/1"), CrashId("i-2/1")}
    use(entry)


@st.composite
def damaged(draw):
    """Return a datagram with some bytes replaced, removed or added."""
    name = draw(st.sampled_from(sorted(STRUCTURES)))
    data = bytearray(pack(**{name: STRUCTURES[name]}))
    for _ in range(draw(st.integers(1, 4))):
        at = draw(st.integers(0, len(data) - 1))
        data[at] = draw(
            st.sampled_from([0, 1, 2, 4, 8, 10, 11, 12, 13, 15, 127, 128, 255])
        )
    return bytes(data)


# Guards against a damaged datagram that fails after it was read, or later.
@settings(max_examples=1000, derandomize=True, deadline=None, database=None)
@given(st.lists(damaged(), min_size=1, max_size=4))
def test_damaged_datagrams_are_used_or_refused(datagrams):
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(gossip_module, "DatagramPort", UnsentDatagrams)
        entry = make_entry()
    for data in datagrams:
        try:
            datagram = read_datagram(data)
        except ValueError:
            continue
        entry.receive(datagram, "10.0.0.2")
    use(entry)
