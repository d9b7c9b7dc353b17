from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from primroselever_node import clock
from primroselever_node.rpc.client_pool import (
    IDLE_CONNECTION_S,
    ClientPool,
    Connection,
    LostReplyError,
)
from primroselever_node.rpc.schema import schema
from primroselever_node.rpc.server import RpcServer

if TYPE_CHECKING:
    from collections.abc import Iterator

    Address = tuple[str, int]


class Echo:
    """Answers a heartbeat with itself."""

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


def beat(pool: ClientPool, address: Address) -> Connection:
    """Make a call and return the connection that is kept for the next one."""
    pool.call(address, "heartbeat", schema.Heartbeat(vm_id="a-0"), timeout_s=5.0)
    return pool.idle[address][-1]


def test_connections_to_servers_that_are_called_no_more_are_closed(
    addresses: list[Address], monkeypatch: pytest.MonkeyPatch
) -> None:
    now = 1000.0
    monkeypatch.setattr(clock, "now", lambda: now)
    pool = ClientPool(schema.Node)
    gone, fresh, called = addresses
    old = beat(pool, gone)
    now += IDLE_CONNECTION_S / 2
    kept = beat(pool, fresh)
    now += IDLE_CONNECTION_S / 2
    beat(pool, called)

    assert not old.socket.is_open()
    assert kept.socket.is_open()
    assert set(pool.idle) == {fresh, called}


def test_a_kept_connection_is_used_again(addresses: list[Address]) -> None:
    pool = ClientPool(schema.Node)

    assert beat(pool, addresses[0]) is beat(pool, addresses[0])


def test_a_call_is_made_anew_when_its_kept_connection_had_ended(
    addresses: list[Address],
) -> None:
    pool = ClientPool(schema.Node)
    kept = beat(pool, addresses[0])
    kept.socket.sock.close()
    news = schema.Heartbeat(vm_id="a-0")

    with pytest.raises(LostReplyError):
        pool.call(addresses[0], "heartbeat", news, timeout_s=5.0)
    beat(pool, addresses[0]).socket.sock.close()
    again = pool.call_again(addresses[0], "heartbeat", news, timeout_s=5.0)
    assert again.vm_id == "a-0"
