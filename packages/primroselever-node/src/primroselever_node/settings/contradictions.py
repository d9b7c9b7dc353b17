"""
Checks for settings that are each valid but conflict or cannot work on this VM.

Each function yields findings whose place is the path in the settings file.
"""

from __future__ import annotations

import ipaddress
import logging
from functools import singledispatch
from pathlib import Path
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from primroselever_core.findings import Finding

from .model import ListenAddress, NodeSettings, ProcessSettings, Settings
from .secrets import MIN_KEY_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

WILDCARD_ADDRESSES = ("0.0.0.0", "::")


@singledispatch
def contradictions(settings: Settings, environ: Mapping[str, str]) -> Iterator[Finding]:
    """Yield the findings for settings; binaries register their own settings types."""
    yield from ()


@singledispatch
def tolerated(settings: Settings) -> Iterator[Finding]:
    """Yield the findings that ``check`` reports but that prevent no start."""
    yield from ()


@contradictions.register(NodeSettings)
def _(settings: NodeSettings, environ: Mapping[str, str]) -> Iterator[Finding]:
    """Yield the findings for the settings that both binaries share."""
    yield from node_contradictions(settings, environ)


def node_contradictions(
    settings: NodeSettings, environ: Mapping[str, str]
) -> Iterator[Finding]:
    """Yield the findings for the settings that both binaries share."""
    yield from check_listen_addresses(settings)
    yield from check_urls("platform", settings.platform.model_dump())
    yield from check_ticket_key(settings, environ)
    yield from check_log_level(settings)


def check_log_level(settings: ProcessSettings) -> Iterator[Finding]:
    """Yield a finding for a log level that the logging module does not define."""
    if settings.log_level not in logging.getLevelNamesMapping():
        names = "DEBUG, INFO, WARNING or ERROR"
        yield Finding(
            "log_level", f"unknown log level {settings.log_level!r}", f"use {names}"
        )


def check_listen_addresses(settings: NodeSettings) -> Iterator[Finding]:
    """Yield a finding for each host that is no IP address and each repeated port."""
    checked: list[tuple[str, ListenAddress]] = []
    for name, address in settings:
        if not isinstance(address, ListenAddress):
            continue
        if not is_ip_address(address.host):
            problem = f"{address.host!r} is not an IP address"
            yield Finding(f"{name}.host", problem, "use an IP address of this VM")
        for other_name, other in checked:
            if addresses_overlap(address, other):
                problem = f"port {address.port} is also used by {other_name}"
                yield Finding(f"{name}.port", problem, "use a different port for each")
        checked.append((name, address))


def addresses_overlap(first: ListenAddress, second: ListenAddress) -> bool:
    """Return whether two listen addresses use the same port of the same host."""
    if first.port == 0 or first.port != second.port:
        return False
    return first.host == second.host or bool(
        {first.host, second.host} & {*WILDCARD_ADDRESSES}
    )


def is_ip_address(host: str) -> bool:
    """Return whether a host is an IP address rather than a name."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def check_urls(section: str, urls: Mapping[str, str | None]) -> Iterator[Finding]:
    """Yield a finding for each value that is not a valid base URL of a service."""
    for name, url in urls.items():
        if url is None:
            continue
        parts = urlsplit(url)
        if parts.scheme not in ("http", "https") or not parts.netloc:
            remedy = "write it as http://HOST:PORT"
            yield Finding(f"{section}.{name}", f"{url!r} is not an HTTP URL", remedy)
        elif url.endswith("/"):
            yield Finding(
                f"{section}.{name}", f"{url!r} ends with a slash", "remove the slash"
            )


def check_ticket_key(
    settings: NodeSettings, environ: Mapping[str, str]
) -> Iterator[Finding]:
    """Yield a finding if the key that signs tickets is missing or ambiguous."""
    path = settings.secrets.ticket_key_file
    variable = settings.secrets.ticket_key_variable
    if path is not None and variable is not None:
        problem = "both a file and an environment variable are set for the key"
        yield Finding("secrets", problem, "set only one of the two")
    if variable is not None and len(environ.get(variable, "").encode()) < MIN_KEY_BYTES:
        problem = f"{variable} is not set or shorter than {MIN_KEY_BYTES} bytes"
        remedy = "set it in this process's environment or use a key file"
        yield Finding("secrets.ticket_key_variable", problem, remedy)
    if path is not None:
        yield from check_key_file(Path(path))


def check_key_file(path: Path) -> Iterator[Finding]:
    """Yield a finding if a key file is unreadable or too short."""
    place = "secrets.ticket_key_file"
    try:
        key = path.read_bytes().strip()
    except OSError as exc:
        problem = f"{path} cannot be read: {exc.strerror}"
        yield Finding(place, problem, "make it readable for this process's user")
        return
    if len(key) < MIN_KEY_BYTES:
        problem = f"{path} holds fewer than {MIN_KEY_BYTES} bytes"
        yield Finding(place, problem, "write a random key into it")
