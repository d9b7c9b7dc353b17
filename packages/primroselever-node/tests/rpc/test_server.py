from __future__ import annotations

import socket

from primroselever_node.rpc.schema import schema
from primroselever_node.rpc.server import RpcServer


def test_a_connection_whose_client_says_nothing_is_closed() -> None:
    server = RpcServer(schema.Node, object(), "127.0.0.1", 0, idle_s=0.05)
    server.start()
    with socket.create_connection((server.host, server.port), timeout=5.0) as silent:
        received = silent.recv(1)
    server.stop()

    assert received == b""
