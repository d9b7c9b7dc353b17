"""Log lines of the decisions on one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroselever_node import clock
from primroselever_node.logs import log_decision

if TYPE_CHECKING:
    from primroselever_core.catalogue.catalogue import Catalogue

    from .caller_request import CallerRequest
    from .request_state import RequestState


def log_choice(
    catalogue: Catalogue, state: RequestState, choice: str, reason: str, candidates: str
) -> None:
    """Log the chosen back end and the candidates."""
    request = state.request
    log_decision(
        "back end chosen",
        request.log_id,
        choice,
        reason,
        service=state.service,
        candidates=candidates,
        tried=state.tried_server_ids[:],
        late=state.late,
        urgency=state.urgency,
        admission=state.terms.inputs if state.terms is not None else None,
        configuration=catalogue.configuration.revision
        if catalogue.configuration
        else None,
        store_age_s=round(clock.now() - catalogue.store_contact_at, 3)
        if catalogue.store_contact_at is not None
        else None,
    )


def log_request_end(
    request: CallerRequest,
    outcome: str,
    reason: str,
    state: RequestState | None = None,
    configuration: int | None = None,
) -> None:
    """
    Log how a request ended from the caller's point of view.

    ``configuration`` is the revision that was in force when the entry refused it.
    """
    extra_fields: dict[str, object] = {}
    if configuration is not None:
        extra_fields["configuration"] = configuration
    if state is not None:
        extra_fields |= {
            "route": state.route.name,
            "workspace": state.workspace,
            "attempts": [
                f"{server}: {attempt.end} {attempt.status or ''} {attempt.reason}"
                for server, attempt in zip(
                    state.tried_server_ids, state.attempts, strict=False
                )
            ],
        }
        if state.first_event_at is not None:
            first_event_s = state.first_event_at - request.received_at
            extra_fields["first_event_ms"] = round(first_event_s * 1000)
            extra_fields["longest_gap_ms"] = round(state.longest_gap_s * 1000)
    log_decision(
        "request ended",
        request.log_id,
        outcome,
        reason,
        took_ms=round((clock.now() - request.received_at) * 1000),
        caller_waits_ms=None
        if request.deadline is None
        else round((request.deadline - request.received_at) * 1000),
        **extra_fields,
    )
