from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eventlet
import pytest

from primroselever_node import clock
from primroselever_node.rpc.client_pool import (
    IDLE_CONNECTION_S,
    ClientPool,
    Connection,
    LostReplyError,
    NeverSentError,
)
from primroselever_node.rpc.schema import schema
from primroselever_node.rpc.server import RpcServer

if TYPE_CHECKING:
    from collections.abc import Iterator

    Address = tuple[str, int]


class Echo:
    """Returns each heartbeat unchanged."""

    def heartbeat(self, sender: Any) -> Any:
        return sender


@pytest.fixture
def addresses() -> Iterator[list[Address]]:
    servers = [RpcServer(schema.Node, Echo(), "127.0.0.1", 0) for _ in range(3)]
    for server in servers:
        server.start()
    yield [(server.host, server.port) for server in servers]
    for server in servers:
        server.stop()


def call_once(pool: ClientPool, address: Address) -> Connection:
    """Make a call and return the pooled connection."""
    pool.call(address, "heartbeat", schema.Heartbeat(vm_id="a-0"), timeout_s=5.0)
    return pool.idle[address][-1]


def test_idle_connections_are_closed_after_their_time(
    addresses: list[Address], monkeypatch: pytest.MonkeyPatch
) -> None:
    now = 1000.0
    monkeypatch.setattr(clock, "now", lambda: now)
    pool = ClientPool(schema.Node)
    unused, recent, called = addresses
    expired = call_once(pool, unused)
    now += IDLE_CONNECTION_S / 2
    pooled = call_once(pool, recent)
    now += IDLE_CONNECTION_S / 2
    call_once(pool, called)

    assert not expired.socket.is_open()
    assert pooled.socket.is_open()
    assert set(pool.idle) == {recent, called}


def test_a_pooled_connection_is_reused(addresses: list[Address]) -> None:
    pool = ClientPool(schema.Node)

    assert call_once(pool, addresses[0]) is call_once(pool, addresses[0])


def test_a_call_is_retried_when_its_pooled_connection_was_closed(
    addresses: list[Address],
) -> None:
    pool = ClientPool(schema.Node)
    pooled = call_once(pool, addresses[0])
    pooled.socket.sock.close()
    heartbeat = schema.Heartbeat(vm_id="a-0")

    with pytest.raises(LostReplyError):
        pool.call(addresses[0], "heartbeat", heartbeat, timeout_s=5.0)
    call_once(pool, addresses[0]).socket.sock.close()
    reply = pool.call_with_retry(addresses[0], "heartbeat", heartbeat, timeout_s=5.0)
    assert reply.vm_id == "a-0"


# A reply whose first string has the length -1: version 1, reply, "heartbeat", sequence
# number 0, field 0 (a struct), field 1 (a string).
NEGATIVE_LENGTH = (
    b"\x80\x01\x00\x02\x00\x00\x00\x09heartbeat\x00\x00\x00\x00"
    b"\x0c\x00\x00\x0b\x00\x01\xff\xff\xff\xff"
)


@pytest.mark.parametrize(
    "received",
    [b"HTTP/1.1 400 Bad Request\r\n\r\n", b"\x80\x02\x00\x02abcd", NEGATIVE_LENGTH],
)
def test_bytes_that_are_no_reply_are_a_lost_reply(received: bytes) -> None:
    """
    Another program may listen at the address of a VM that left.

    The callers handle the errors of the pool only, so any other error would end their
    request or their greenlet.
    """

    def answer(connection: Any, _address: object) -> None:
        connection.recv(4096)
        connection.sendall(received)

    listener = eventlet.listen(("127.0.0.1", 0))
    server = eventlet.spawn(eventlet.serve, listener, answer)
    pool = ClientPool(schema.Node)
    address = listener.getsockname()

    with pytest.raises(LostReplyError):
        pool.call(address, "heartbeat", schema.Heartbeat(vm_id="a"), timeout_s=5.0)

    assert not pool.idle[address]
    server.kill()


def test_a_method_that_the_service_lacks_is_no_lost_reply(
    addresses: list[Address],
) -> None:
    """It is an error of this program."""
    with pytest.raises(AttributeError):
        ClientPool(schema.Node).call(addresses[0], "no_such_method", timeout_s=5.0)


# Guards against a host that a peer named and that raises in the loop of the caller.
@pytest.mark.parametrize(
    "address",
    [("10.0.0.1\0", 1), ("a" * 70, 1), ("a..b", 1), ("127.0.0.1", 65536), (None, -1)],
    ids=str,
)
def test_an_address_that_none_can_have_is_one_that_nothing_is_sent_to(address):
    pool = ClientPool(schema.Node)
    with pytest.raises(NeverSentError):
        pool.open_connection(address)
