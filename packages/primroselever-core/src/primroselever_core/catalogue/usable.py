"""Values of a configuration or a server's entry with which a process fails."""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address
from typing import TYPE_CHECKING

from ..findings import Finding

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .model import (
        CallerLimits,
        Configuration,
        EngineFigures,
        ListedServer,
        Route,
        Service,
    )

MAX_INTEGER = 2**63 - 1  # in the messages between processes
MAX_VERSION = 2**31 - 1  # of weights, in the messages between processes
MAX_PORT = 65535
# Of an identifier or a model. 16 identifiers are sent in one datagram, of which 8,192
# bytes are received.
MAX_NAME_BYTES = 255
MAX_NUMBER = 2.0**63 - 1024  # the messages between processes have 64 bits for a number
# A longer wait cannot be scheduled; 2**31 - 1 ms is a usual value for "no limit".
MAX_DURATION_S = (2**31 - 1) / 1000

# Named one by one, because a large configuration is checked while requests are served.
LIMIT_RANGES = (
    ("header_bytes", MAX_NUMBER),
    ("body_bytes", MAX_NUMBER),
    ("header_timeout_s", MAX_DURATION_S),
    ("idle_timeout_s", MAX_DURATION_S),
)
ROUTE_RANGES = (
    ("timeout_s", MAX_DURATION_S),
    ("objective_s", MAX_DURATION_S),
    ("pause_s", MAX_DURATION_S),
)
SERVICE_RANGES = (
    ("cold_start_s", MAX_DURATION_S),
    ("cold_per_s", MAX_NUMBER),
)
ENGINE_RANGES = (
    ("slots", MAX_NUMBER),
    ("memory_tokens", MAX_NUMBER),
    ("step_s", MAX_DURATION_S),
    ("step_per_request_s", MAX_DURATION_S),
    ("step_per_context_token_s", MAX_DURATION_S),
    ("read_tokens_per_s", MAX_NUMBER),
    ("read_chunk_tokens", MAX_NUMBER),
    ("steps_per_pass", MAX_NUMBER),
    ("usual_prompt_tokens", MAX_NUMBER),
    ("usual_answer_tokens", MAX_NUMBER),
    ("report_lag_s", MAX_DURATION_S),
    ("layers", MAX_NUMBER),
)


def find_unusable(configuration: Configuration) -> Iterator[Finding]:
    """
    Yield what makes a configuration unusable.

    A configuration with any of these is refused as a whole, so that the one in force
    stays. Unwise values, such as a timeout below the objective, can be used.
    """
    yield from check_ranges(configuration.limits, "limits", LIMIT_RANGES)
    for index, route in enumerate(configuration.routes):
        place = f"routes[{index}]"
        yield from check_ranges(route, place, ROUTE_RANGES)
        yield from check_weights(route, f"{place}.services")
    for index, service in enumerate(configuration.services):
        place = f"services[{index}]"
        yield from check_ranges(service, place, SERVICE_RANGES)
        if service.engine is not None:
            yield from check_engine(service.engine, f"{place}.engine")
        if service.origin is not None and service.origin.max_connections < 0:
            yield Finding(f"{place}.origin", "a negative number", "make it 0 or more")


def check_ranges(
    part: CallerLimits | Route | Service | EngineFigures,
    place: str,
    ranges: tuple[tuple[str, float], ...],
) -> Iterator[Finding]:
    """Yield the numbers of a part that are negative or too large."""
    for name, maximum in ranges:
        number = getattr(part, name)
        if number is not None and not 0 <= number <= maximum:
            yield Finding(
                f"{place}.{name}",
                f"{number:g} is out of range",
                f"make it 0 to {maximum:g}",
            )


def check_weights(route: Route, place: str) -> Iterator[Finding]:
    """Yield why no service can be drawn by weight."""
    weights = [weighted.weight for weighted in route.services]
    if not weights:
        yield Finding(place, "no service is named", "name at least one")
    elif not all(0 <= weight <= MAX_NUMBER for weight in weights):
        yield Finding(place, "a weight is out of range", "make it 0 or more")
    elif len(weights) > 1 and not sum(weights) > 0:
        yield Finding(place, "all weights are 0", "make one positive")


def check_engine(engine: EngineFigures, place: str) -> Iterator[Finding]:
    """Yield the figures of an engine by which predictions cannot be made."""
    yield from check_ranges(engine, place, ENGINE_RANGES)
    if engine.slots < 1:
        yield Finding(f"{place}.slots", "an engine has no slot", "make it 1 or more")
    if not engine.read_tokens_per_s > 0:
        yield Finding(
            f"{place}.read_tokens_per_s", "nothing is ever read", "make it positive"
        )


def find_unusable_server(server: ListedServer) -> Iterator[Finding]:
    """Yield why no request can be sent to a server, or its entry to a peer."""
    if not is_header_value(server.server_id):
        yield Finding(
            "server_id",
            "cannot be sent in a header",
            f"make it 1 to {MAX_NAME_BYTES} bytes of printable text",
        )
    host, port = server.address
    if not is_ipv4_address(host):
        # A name would be resolved at each connection, for which the process waits.
        yield Finding("address", f"{host!r} is no IPv4 address", "write one")
    if not 0 < port <= MAX_PORT:
        yield Finding("address", f"{port} is no port", f"make it 1 to {MAX_PORT}")
    if server.cold_s is not None and not 0 <= server.cold_s <= MAX_DURATION_S:
        yield Finding("cold_s", f"{server.cold_s:g} is out of range", "make it less")
    versions = [version for _model, version in server.weights]
    numbers = [server.born_ms, server.slots, server.revision, server.era, *versions]
    if server.sequence is not None:
        numbers.append(server.sequence)
    if not all(abs(number) <= MAX_INTEGER for number in numbers):
        yield Finding("numbers", "one is too large", "make all fit into 64 bits")


def is_header_value(text: str) -> bool:
    """Return whether a text can be sent as the value of a header."""
    return (
        text.isprintable()
        and text == text.strip()
        and 0 < len(text.encode()) <= MAX_NAME_BYTES
    )


def is_sendable_version(model: str, version: int) -> bool:
    """Return whether heartbeats and advice can name a version of a model."""
    return is_header_value(model) and 0 <= version <= MAX_VERSION


def is_ipv4_address(host: str) -> bool:
    """Return whether a host is an IPv4 address in the usual notation."""
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return True
