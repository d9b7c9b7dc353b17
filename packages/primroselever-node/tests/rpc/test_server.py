from __future__ import annotations

import socket

from primroselever_node.rpc.schema import schema
from primroselever_node.rpc.server import RpcServer


def test_an_idle_connection_is_closed() -> None:
    server = RpcServer(schema.Node, object(), "127.0.0.1", 0, idle_s=0.05)
    server.start()
    with socket.create_connection(
        (server.host, server.port), timeout=5.0
    ) as connection:
        received = connection.recv(1)
    server.stop()

    assert received == b""
