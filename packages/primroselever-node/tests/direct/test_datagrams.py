"""Sending datagrams to hosts that peers named."""

from __future__ import annotations

import eventlet
import pytest

from primroselever_node.direct.datagrams import DatagramPort
from primroselever_node.direct.schema import schema


@pytest.mark.parametrize("host", ["a" * 70, "a..b", "10.0.0.7\x00", None])
def test_an_invalid_host_does_not_keep_the_others_from_getting_a_datagram(caplog, host):
    """
    Hosts come from the messages of other processes.

    Each report goes to all hosts in turn, so the hosts after an invalid one would never
    get a report.
    """
    received = []
    port = DatagramPort("127.0.0.1", 0, lambda datagram, host: received.append(host))
    port.port = port.socket.getsockname()[1]
    port.start()

    port.send_all([host, "127.0.0.1"], advice=schema.FillingAdvice(host="10.0.0.8"))

    with eventlet.Timeout(5):
        while not received:
            eventlet.sleep(0.001)
    assert "failed to send a datagram" in caplog.text
