"""Which engines can hold a request, with the log line and metric of a refusal."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.dispatch.choose import (
    NO_SERVER_RETRY_S,
    Refused,
    is_candidate,
    spread_retry_s,
)
from primroselever_core.dispatch.server_memory import (
    REFUSAL_REASONS,
    MemoryRefusal,
    count_tokens,
    select_with_memory,
)
from primroselever_core.dispatch.shedding import LONGEST_RETRY_S
from primroselever_node.logs import log_decision

if TYPE_CHECKING:
    from primroselever_core.catalogue.model import EngineFigures
    from primroselever_core.dispatch.backend import Backend
    from primroselever_core.dispatch.choose import RequestNeeds

    from .flow import DirectFlow
    from .request_state import RequestState

MAX_LOGGED_ENGINES = 4  # those with the most memory left


def keep_holding(
    flow: DirectFlow,
    state: RequestState,
    backends: list[Backend],
    needs: RequestNeeds,
    figures: EngineFigures,
    now: float,
) -> list[Backend] | Refused:
    """
    Return the engines that can hold a request, or a refusal if none can.

    Without an engine that could otherwise answer it, all are returned: memory is not
    the cause then.
    """
    candidates = [
        each
        for each in backends
        if each.listed.server_id not in state.tried_server_ids
        and is_candidate(each, needs, figures, now)
    ]
    if not candidates:
        return backends
    tokens = sum(count_tokens(needs.prompt_tokens, needs.answer_tokens, figures))
    holding = select_with_memory(candidates, tokens, figures, now)
    if not isinstance(holding, MemoryRefusal):
        if len(holding) < len(candidates):
            flow.instruments.count_memory_choice("passed_over")
        return holding
    flow.instruments.count_memory_choice(str(holding))
    described = {
        each.listed.server_id: describe_memory(each, figures, now)
        for each in sorted(candidates, key=lambda each: each.memory.used(figures, now))[
            :MAX_LOGGED_ENGINES
        ]
    }
    reason = REFUSAL_REASONS[holding]
    log_decision(
        "server memory",
        state.request.log_id,
        "refused",
        reason,
        cause=str(holding),
        service=state.service,
        tokens=tokens,
        engines=len(candidates),
        least_used=described,
    )
    # Only another configuration makes room for a request that is too large.
    too_large = holding is MemoryRefusal.TOO_LARGE
    retry_s = LONGEST_RETRY_S if too_large else NO_SERVER_RETRY_S
    return Refused(reason, spread_retry_s(retry_s, flow.random))


def describe_memory(
    backend: Backend, figures: EngineFigures | None, now: float
) -> dict[str, Any] | None:
    """Return what is known of an engine's memory, None where it has no limit."""
    if figures is None:
        return None
    memory = backend.memory
    total, report = memory.total(figures), memory.report
    if total is None:
        return None
    return {
        "used_tokens": round(memory.used(figures, now)),
        "total_tokens": total,
        "reported_tokens": report.used if report is not None else None,
        "report_age_s": round(now - report.read_at, 3) if report else None,
        "own_requests": len(memory.own),
    }
