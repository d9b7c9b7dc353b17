"""The state of a request while an entry processes it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from primroselever_core.dispatch.urgent_work import DEFAULT_URGENCY

from .event_stream import EventIds

if TYPE_CHECKING:
    from primroselever_core.catalogue.model import EngineFigures, Route
    from primroselever_core.catalogue.routes import RouteTable
    from primroselever_core.dispatch.shedding import AdmissionTerms

    from .attempt import Attempt
    from .caller_request import CallerRequest
    from .sending import AttemptSender


@dataclass(slots=True)
class RequestState:
    """
    The state of a request in progress.

    ``deadline`` is when the route or the caller abandons it, ``objective_at`` when the
    first event is due, and ``late`` whether that time had already passed when the
    request arrived. ``silent_sender`` is the attempt whose back end fell silent; its
    connection stays open until another back end answers. ``forwarded_format`` is the
    content format in the head that was forwarded. ``released_bytes`` counts the bytes
    of a body that were forwarded, ``event_forwarded`` whether an event was among
    them, and ``event_ids`` are those of these events; after the last one another back
    end resumes the stream. Once a part of a plain answer was forwarded,
    ``plain_part_forwarded``, no other answer can replace it. ``workspace_regions`` are
    the allowed regions of the workspace at the time of admission, and ``admitted_by``
    is the table of routes then; ``admitted_figures`` are those of the service's engines
    then, None for a plain service. ``priority`` is that of the workspace, or of the
    route if the workspace has none; ``urgency`` is that with which the latest attempt
    is sent, and ``terms`` are those on which it was judged.
    """

    request: CallerRequest
    route: Route
    service: str
    workspace: str | None
    deadline: float
    objective_at: float
    late: bool
    tried_server_ids: list[str] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    head_forwarded: bool = False
    forwarded_format: tuple[bytes, bytes] = (b"", b"")
    plain_part_forwarded: bool = False
    released_bytes: int = 0
    event_forwarded: bool = False
    event_ids: EventIds = field(default_factory=EventIds)
    may_have_run: bool = False
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_gap_s: float = 0.0
    silent_sender: AttemptSender | None = None
    workspace_regions: tuple[str, ...] = ()
    admitted_by: RouteTable | None = None
    admitted_figures: EngineFigures | None = None
    priority: int = 0
    urgency: int = DEFAULT_URGENCY
    terms: AdmissionTerms | None = None

    @property
    def last_event_id(self) -> bytes:
        """Return the identifier after which the stream resumes, empty without one."""
        return self.event_ids.last_id if self.event_ids.ends_with_id else b""
