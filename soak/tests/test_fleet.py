"""The ports of the programs."""

from __future__ import annotations

from soak.fleet import find_free_port


def test_no_port_is_given_to_two_listeners() -> None:
    """An entry with the same port for two listeners does not start."""
    ports = [find_free_port(protocol) for protocol in ("tcp", "udp") for _ in range(50)]
    assert len(set(ports)) == 100
