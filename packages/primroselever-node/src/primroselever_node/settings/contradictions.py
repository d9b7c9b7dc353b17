"""
Settings that are valid each by itself, but cannot be used together or here.

Each function yields findings whose place is the path in the file.
"""

from __future__ import annotations

import ipaddress
import logging
from functools import singledispatch
from pathlib import Path
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from primroselever_core.findings import Finding

from .model import Listen, NodeSettings, ProcessSettings, Settings
from .secrets import MIN_KEY_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

WILDCARDS = ("0.0.0.0", "::")


@singledispatch
def contradictions(settings: Settings, environ: Mapping[str, str]) -> Iterator[Finding]:
    """Yield what is wrong with settings; a binary adds to it for its own type."""
    yield from ()


@contradictions.register(NodeSettings)
def _(settings: NodeSettings, environ: Mapping[str, str]) -> Iterator[Finding]:
    """Yield what is wrong with the settings that both binaries share."""
    yield from node_contradictions(settings, environ)


def node_contradictions(
    settings: NodeSettings, environ: Mapping[str, str]
) -> Iterator[Finding]:
    """Yield what is wrong with the settings that both binaries share."""
    yield from check_listens(settings)
    yield from check_urls("platform", settings.platform.model_dump())
    yield from check_ticket_key(settings, environ)
    yield from check_log_level(settings)


def check_log_level(settings: ProcessSettings) -> Iterator[Finding]:
    """Yield a finding for a level that logging does not know."""
    if settings.log_level not in logging.getLevelNamesMapping():
        names = "DEBUG, INFO, WARNING or ERROR"
        yield Finding(
            "log_level", f"unknown log level {settings.log_level!r}", f"use {names}"
        )


def check_listens(settings: NodeSettings) -> Iterator[Finding]:
    """Yield a finding for each listen without an IP number or on a taken port."""
    taken: list[tuple[str, Listen]] = []
    for name, listen in settings:
        if not isinstance(listen, Listen):
            continue
        if not is_ip_number(listen.host):
            problem = f"{listen.host!r} is not an IP number"
            yield Finding(f"{name}.host", problem, "give the address of this VM")
        for other_name, other in taken:
            if overlap(listen, other):
                problem = f"port {listen.port} is also that of {other_name}"
                yield Finding(f"{name}.port", problem, "give each its own port")
        taken.append((name, listen))


def overlap(one: Listen, other: Listen) -> bool:
    """Return whether two listens want the same port of the same address."""
    if one.port == 0 or one.port != other.port:
        return False
    return one.host == other.host or bool({one.host, other.host} & {*WILDCARDS})


def is_ip_number(host: str) -> bool:
    """Return whether a host is given by its IP number."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def check_urls(section: str, urls: Mapping[str, str | None]) -> Iterator[Finding]:
    """Yield a finding for each value that is no URL of a service."""
    for name, url in urls.items():
        if url is None:
            continue
        parts = urlsplit(url)
        if parts.scheme not in ("http", "https") or not parts.netloc:
            remedy = "write it as http://HOST:PORT"
            yield Finding(f"{section}.{name}", f"{url!r} is no URL", remedy)
        elif url.endswith("/"):
            yield Finding(
                f"{section}.{name}", f"{url!r} ends with a slash", "leave it out"
            )


def check_ticket_key(
    settings: NodeSettings, environ: Mapping[str, str]
) -> Iterator[Finding]:
    """Yield a finding when the key that signs tickets is not to be had."""
    path = settings.secrets.ticket_key_file
    variable = settings.secrets.ticket_key_variable
    if path is not None and variable is not None:
        problem = "a file and an environment variable are both named"
        yield Finding("secrets", problem, "name one of the two")
    if variable is not None and len(environ.get(variable, "").encode()) < MIN_KEY_BYTES:
        problem = f"the variable {variable} is not set, or under {MIN_KEY_BYTES} bytes"
        remedy = "set it for this process, or name a file"
        yield Finding("secrets.ticket_key_variable", problem, remedy)
    if path is not None:
        yield from check_key_file(Path(path))


def check_key_file(path: Path) -> Iterator[Finding]:
    """Yield a finding when a key file is unreadable, or too short to be a key."""
    place = "secrets.ticket_key_file"
    try:
        key = path.read_bytes().strip()
    except OSError as exc:
        problem = f"{path} cannot be read: {exc.strerror}"
        yield Finding(place, problem, "let this process's user read it")
        return
    if len(key) < MIN_KEY_BYTES:
        problem = f"{path} holds fewer than {MIN_KEY_BYTES} bytes"
        yield Finding(place, problem, "write a random key into it")
