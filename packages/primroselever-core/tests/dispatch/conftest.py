from __future__ import annotations

import pytest

from primroselever_core.catalogue.model import (
    EngineFigures,
    ListedServer,
    ServerState,
)
from primroselever_core.dispatch.backend import Backend, EngineReport
from primroselever_core.dispatch.choose import RequestNeeds


@pytest.fixture
def figures() -> EngineFigures:
    return EngineFigures(
        slots=8,
        memory_tokens=500_000,
        step_s=0.01,
        step_per_request_s=0.0,
        step_per_context_token_s=0.0,
        read_tokens_per_s=10_000.0,
        read_chunk_tokens=2048,
        steps_per_pass=5,
        usual_prompt_tokens=1000.0,
        usual_answer_tokens=100.0,
        report_lag_s=0.2,
    )


@pytest.fixture
def make_backend():
    def make(
        server_id: str,
        domain: str = "here",
        weights: tuple[tuple[str, int], ...] = (("m", 1),),
        slots: int = 8,
    ) -> Backend:
        address = ("10.0.0.1", 1 + sum(map(ord, server_id)))
        return Backend(
            ListedServer(
                server_id, "s", address, domain, ServerState.READY, slots, 1, weights
            )
        )

    return make


@pytest.fixture
def make_report():
    def make(received_at: float, **changes: object) -> EngineReport:
        values: dict[str, object] = {
            "received_at": received_at,
            "born_ms": 1,
            "model": "m",
            "version": 1,
            "switching": False,
            "running": 0,
            "waiting": 0,
            "pace": 1.0,
        }
        return EngineReport(**(values | changes))  # type: ignore[arg-type]

    return make


@pytest.fixture
def make_needs():
    def make(**changes: object) -> RequestNeeds:
        values: dict[str, object] = {
            "model": "m",
            "min_version": 0,
            "prompt_tokens": 500.0,
            "answer_tokens": 100.0,
            "first_event_within_s": 0.4,
            "deadline_within_s": 6.0,
        }
        return RequestNeeds(**(values | changes))  # type: ignore[arg-type]

    return make
