"""
Copies of catalogues that peers send.

A peer of another release may list a server that this process cannot use, or read. Such
a server is left out, and so are versions and a configuration that cannot be used; the
rest of the copy holds.
"""

from __future__ import annotations

import logging
import zlib
from dataclasses import replace
from typing import Any

from pydantic import TypeAdapter, ValidationError
from pydantic_core import from_json

from primroselever_core.catalogue.catalogue_copy import CatalogueCopy
from primroselever_core.catalogue.model import ListedServer
from primroselever_core.catalogue.usable import (
    MAX_INTEGER,
    find_unusable,
    find_unusable_server,
    is_sendable_version,
)

from .json_limits import check_json_values

PACKED_PREFIX = b"\x78"  # the first byte of zlib's format; JSON begins with a brace
SERVER_FIELDS = ("servers", "withheld")
MAX_LOGGED_NAMES = 5
# A server takes about 300 bytes, so that this is above the copy of 25,000 servers. The
# compressed copy may be a thousandth of its text.
MAX_COPY_BYTES = 8 << 20

logger = logging.getLogger(__name__)
catalogue_serializer: TypeAdapter[CatalogueCopy] = TypeAdapter(CatalogueCopy)
server_serializer: TypeAdapter[ListedServer] = TypeAdapter(ListedServer)


def unpack_catalogue(data: bytes) -> CatalogueCopy:
    """Return the usable parts of a received copy; raise ``ValueError`` without any."""
    text = unpack_text(data) if data.startswith(PACKED_PREFIX) else data
    if len(text) > MAX_COPY_BYTES:
        raise ValueError(f"the catalogue has more than {MAX_COPY_BYTES} bytes")
    check_json_values(text)
    try:
        copy = catalogue_serializer.validate_json(text)
    except ValidationError:
        copy = catalogue_serializer.validate_python(drop_unreadable_servers(text))
    check_positions(copy)
    return drop_unusable(copy)


def unpack_text(data: bytes) -> bytes:
    """Return decompressed bytes, of those beyond ``MAX_COPY_BYTES`` only the first."""
    unpacker = zlib.decompressobj()
    try:
        text = unpacker.decompress(data, MAX_COPY_BYTES + 1)
    except zlib.error as exc:
        raise ValueError(f"the catalogue cannot be decompressed: {exc}") from exc
    if not unpacker.eof and len(text) <= MAX_COPY_BYTES:
        raise ValueError("the catalogue cannot be decompressed: it is cut off")
    return text


def drop_unreadable_servers(text: bytes) -> Any:
    """Return a copy as plain values, without servers that cannot be read."""
    value = from_json(text)
    for name in SERVER_FIELDS:
        servers = value.get(name) if isinstance(value, dict) else None
        if isinstance(servers, dict):
            readable = {
                server_id: server
                for server_id, server in servers.items()
                if is_readable(server)
            }
            value[name] = readable
            log_left_out(name, servers.keys() - readable.keys())
    return value


def is_readable(server: Any) -> bool:
    """Return whether a server of a copy has all fields, each of its type."""
    try:
        server_serializer.validate_python(server)
    except ValidationError:
        return False
    return True


def check_positions(copy: CatalogueCopy) -> None:
    """Raise ``ValueError`` for a position that a heartbeat cannot carry."""
    numbers = [*copy.store_position, *copy.evacuations.position]
    if not all(abs(number) <= MAX_INTEGER for number in numbers):
        raise ValueError("a position of the store does not fit into 64 bits")


def drop_unusable(copy: CatalogueCopy) -> CatalogueCopy:
    """Return a copy without the values that this process cannot use."""
    servers, withheld = keep_usable(copy.servers), keep_usable(copy.withheld)
    weights = {
        model: version
        for model, version in copy.weights.items()
        if is_sendable_version(model, version)
    }
    log_left_out("servers", copy.servers.keys() - servers.keys())
    log_left_out("withheld", copy.withheld.keys() - withheld.keys())
    log_left_out("weights", copy.weights.keys() - weights.keys())
    configuration = copy.configuration
    if configuration is not None and (
        abs(configuration.revision) > MAX_INTEGER or any(find_unusable(configuration))
    ):
        log_left_out("configuration", {str(configuration.revision)})
        configuration = None
    return replace(
        copy,
        configuration=configuration,
        weights=weights,
        servers=servers,
        withheld=withheld,
    )


def keep_usable(servers: dict[str, ListedServer]) -> dict[str, ListedServer]:
    """Return the servers to which requests can be sent."""
    return {
        server_id: server
        for server_id, server in servers.items()
        if next(find_unusable_server(server), None) is None
    }


def log_left_out(part: str, names: set[str]) -> None:
    """Log which values of a copy are left out, if any."""
    if names:
        logger.warning(
            "left out values of a peer's catalogue that cannot be used",
            extra={
                "part": part,
                "count": len(names),
                "names": [name[:80] for name in sorted(names)[:MAX_LOGGED_NAMES]],
            },
        )
