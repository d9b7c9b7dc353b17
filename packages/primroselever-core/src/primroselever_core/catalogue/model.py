"""The published configuration and the list of back ends, free of wire names."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

Address = tuple[str, int]


class RouteKind(StrEnum):
    """What a request of a route is, and with it what may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class ServerState(StrEnum):
    """Whether a back end says that it takes work."""

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
    Which service answers which paths of a host, and within what limits.

    ``timeout_s`` bounds how long a caller waits, ``objective_s`` is the time to the
    answer (for streams to the first event) that callers hope for. ``max_attempts``
    counts back ends for one request.
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

    @property
    def repeatable(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineFigures:
    """
    What a service publishes of the speed of its engines.

    Times are in seconds, rates in tokens a second. A step makes one token for each
    running request; a pass that writes makes ``steps_per_pass`` steps.
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


@dataclass(frozen=True, slots=True)
class WeightOrigin:
    """Where the pieces of weights come from at first."""

    address: Address
    failure_domain: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service; ``engine`` is set for model engines, ``origin`` for a weight store."""

    name: str
    max_connections: int
    engine: EngineFigures | None = None
    models: tuple[str, ...] = ()
    origin: WeightOrigin | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, in bytes, and how long it may take, in seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace and the keys that name it; ``priority`` is None to use a route's."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


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

    ``weights`` holds model and version of what it has loaded as a whole. ``born_ms``
    tells two starts under one identifier apart; it is 0 where none is published.
    ``revision`` is the store's for this entry: the higher one is the later word.
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
