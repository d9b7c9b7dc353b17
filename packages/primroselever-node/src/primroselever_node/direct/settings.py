"""The settings that entries and agents of direct deployments share."""

from __future__ import annotations

from typing import Annotated, Any

from pydantic import BeforeValidator, Field

from ..settings.model import ProcessSettings


def parse_endpoint(value: Any) -> Any:
    """Return host and port of a ``HOST:PORT`` string, and any other value as it is."""
    if isinstance(value, str):
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit():
            raise ValueError(f"expected HOST:PORT, got {value!r}")
        return host, int(port)
    return value


Endpoint = Annotated[tuple[str, int], BeforeValidator(parse_endpoint)]


class DirectSettings(ProcessSettings):
    """
    The settings of every process in a direct deployment.

    ``host`` is the VM's own address, ``news_port`` the port for datagrams, which is the
    same on all VMs, and ``admin_port`` the port for metrics and status. ``seeds`` are
    the endpoints of entries to contact first, ``store`` is the endpoint of the
    platform's store. ``weights_within_s`` is the time in which a new version of weights
    must replace the previous one, ``shutdown_s`` the bound of a graceful shutdown.
    """

    host: str
    news_port: int = Field(ge=1, le=65535)
    admin_port: int = Field(ge=0, le=65535)
    seeds: tuple[Endpoint, ...]
    store: Endpoint
    weights_within_s: float = Field(gt=0)
    shutdown_s: float = Field(gt=0)
