from __future__ import annotations

import socket

import pytest
from thriftpy2.transport import TTransportException

from primroselever_node.rpc.client_pool import ClientPool, LostReplyError
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


class FailingHandler:
    """Raises an error in each call."""

    def __init__(self, error: Exception) -> None:
        self.error = error

    def fetch_publication(self, *_args: object) -> object:
        raise self.error


@pytest.mark.parametrize(
    "error",
    [
        ValueError("no such value"),
        OSError("no route to a third process"),
        EOFError("a file ended early"),
        TTransportException(message="a third process does not reply"),
    ],
)
def test_an_error_of_a_handler_is_logged(
    caplog: pytest.LogCaptureFixture, error: Exception
) -> None:
    """A handler may raise the errors that a closed connection of a caller raises."""
    server = RpcServer(schema.Node, FailingHandler(error), "127.0.0.1", 0)
    server.start()
    address = (server.host, server.port)
    pool = ClientPool(schema.Node)

    with pytest.raises(LostReplyError):
        pool.call(address, "fetch_publication", "vms", 0, 0, "", timeout_s=5.0)

    server.stop()
    assert str(error) in caplog.text


def test_a_connection_that_its_caller_closes_is_not_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Processes close their idle connections all the time."""
    server = RpcServer(schema.Node, object(), "127.0.0.1", 0)
    server.start()
    with socket.create_connection((server.host, server.port), timeout=5.0) as client:
        client.shutdown(socket.SHUT_WR)
        assert client.recv(1) == b""
    server.stop()
    assert caplog.text == ""
