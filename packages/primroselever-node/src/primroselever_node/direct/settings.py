"""The settings that entries and agents of direct deployments share."""

from __future__ import annotations

from typing import Annotated, Any

from pydantic import BeforeValidator, Field

from ..settings.model import ProcessSettings


def parse_endpoint(value: Any) -> Any:
    """Return host and port of a ``HOST:PORT``; leave all else to the validator."""
    if isinstance(value, str):
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit():
            raise ValueError(f"{value!r} is no HOST:PORT")
        return host, int(port)
    return value


Endpoint = Annotated[tuple[str, int], BeforeValidator(parse_endpoint)]


class DirectSettings(ProcessSettings):
    """
    What each process of a direct deployment is told.

    ``host`` is the VM's own address; ``news_port`` the port of datagrams, which is the
    same on all VMs, and ``admin_port`` that of metrics and status. ``store`` is the
    address of the platform's store. ``shutdown_s`` bounds a graceful shutdown.
    """

    host: str
    news_port: int = Field(ge=1, le=65535)
    admin_port: int = Field(ge=0, le=65535)
    seeds: tuple[Endpoint, ...]
    store: Endpoint
    weights_within_s: float = Field(gt=0)
    shutdown_s: float = Field(gt=0)
