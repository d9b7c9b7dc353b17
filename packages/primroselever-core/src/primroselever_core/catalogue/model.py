"""The published configuration and the list of back ends, without wire formats."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .store_position import StorePosition

Address = tuple[str, int]


class RouteKind(StrEnum):
    """The kind of a route's requests, which decides whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class ServerState(StrEnum):
    """Whether a back end accepts new work, as published by itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """
    The services and limits for the paths of a host that begin with a prefix.

    ``timeout_s`` limits how long a caller waits; ``objective_s`` is the target time to
    the answer or, for streams, to the first event; ``pause_s`` is the longest pause
    between events of a stream that is still on time, 0 if none is published.
    ``max_attempts`` limits how many back ends one request is sent to. ``regions`` are
    the only ones in which its requests may be served, all if it is empty.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    anonymous: bool
    resumable: bool
    pause_s: float = 0.0
    regions: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Return whether a request that may already have run may be sent again."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineFigures:
    """
    The performance figures that a service publishes for its engines.

    Times are in seconds, rates in tokens per second. A step generates one token for
    each running request; a pass that generates tokens makes ``steps_per_pass`` steps.
    ``layers`` is the number of layers of the service's models, 0 if not published.
    """

    slots: int
    memory_tokens: int
    step_s: float
    step_per_request_s: float
    step_per_context_token_s: float
    read_tokens_per_s: float
    read_chunk_tokens: int
    steps_per_pass: int
    usual_prompt_tokens: float
    usual_answer_tokens: float
    report_lag_s: float
    layers: int = 0


@dataclass(frozen=True, slots=True)
class WeightOrigin:
    """The server from which entries fetch pieces of weights that no entry has yet."""

    address: Address
    failure_domain: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class Service:
    """
    A service; ``engine`` is set for model engines, ``origin`` for weight origins.

    A server is cold for ``cold_start_s`` after it starts, and takes ``cold_per_s``
    requests a second meanwhile; both are None if not published.
    """

    name: str
    max_connections: int
    engine: EngineFigures | None = None
    models: tuple[str, ...] = ()
    origin: WeightOrigin | None = None
    cold_start_s: float | None = None
    cold_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of a caller's request, in bytes, and its time, in seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class Workspace:
    """
    A workspace and its keys.

    With ``priority`` None the route's priority applies. ``regions`` are the only ones
    in which its requests may be served, all if it is empty.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Configuration:
    """One published configuration; ``workspaces`` is None when keys are not used."""

    revision: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits
    workspaces: tuple[Workspace, ...] | None = None


@dataclass(frozen=True, slots=True)
class ListedServer:
    """
    A back end as it registered itself.

    ``weights`` holds the model and version of all weights that are loaded completely.
    ``born_ms`` distinguishes starts of a server under the same identifier; it is 0 if
    none is published. ``sequence`` counts the server's writes since its start, None if
    it is not published. ``revision`` is the store's revision of this entry in ``era``:
    in the same era, the entry with the higher revision is the later one. ``cold_s`` is
    for how long the server was still cold when it wrote the entry, None if not
    published. Processes do not share a clock, so the deadline is in ``ColdState``.
    """

    server_id: str
    service: str
    address: Address
    failure_domain: str
    state: ServerState
    slots: int
    born_ms: int = 0
    weights: tuple[tuple[str, int], ...] = ()
    revision: int = 0
    era: int = 0
    sequence: int | None = None
    cold_s: float | None = None

    @property
    def position(self) -> StorePosition:
        """Return the store's position of this entry."""
        return StorePosition(self.era, self.revision)

    @property
    def write_order(self) -> tuple[int, int] | None:
        """Return the order of the server's writes in all eras, None if unknown."""
        if not self.born_ms or self.sequence is None:
            return None
        return self.born_ms, self.sequence
