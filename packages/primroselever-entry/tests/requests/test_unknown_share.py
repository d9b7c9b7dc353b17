"""The share of unknown outcomes, with and without resolving lost replies."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from primroselever_core.outcomes import Outcome, Reason, Unknown
from primroselever_entry.requests.resolving import StartResolver

from .conftest import collect_answer, new_request

if TYPE_CHECKING:
    from .conftest import FakeAgent, Fleet

REQUEST_COUNT = 400
LOSS_PROBABILITY = 0.1


def measure_unknown_share(fleet: Fleet, seed: int) -> float:
    """
    Return the share of unknown outcomes among ``REQUEST_COUNT`` requests.

    A tenth each of the starts, of the replies to starts and of the resolve calls is
    lost.
    """
    random = Random(seed)
    flow = fleet.new_request_flow()
    unknown_count = 0
    for _ in range(REQUEST_COUNT):
        fault = random.choices(
            ("request_lost", "reply_lost", ""),
            (LOSS_PROBABILITY, LOSS_PROBABILITY, 1 - 2 * LOSS_PROBABILITY),
        )
        fleet.client_pool.faults["start"] = fault
        fleet.client_pool.faults["resolve"] = [
            "request_lost" if random.random() < LOSS_PROBABILITY else ""
            for _ in range(3)
        ]
        for server in flow.board.servers.servers.values():
            server.avoid_until = server.ejected_until = 0.0
        _, ending = collect_answer(flow, new_request())
        unknown_count += ending.outcome is Outcome.UNKNOWN
    return unknown_count / REQUEST_COUNT


@pytest.mark.parametrize(
    ("resolves", "min_share", "max_share"), [(True, 0.0, 0.005), (False, 0.15, 0.25)]
)
def test_resolving_lost_replies_leaves_few_unknown_outcomes(
    fleet: Fleet,
    only_agent: FakeAgent,
    monkeypatch: pytest.MonkeyPatch,
    resolves: bool,
    min_share: float,
    max_share: float,
) -> None:
    if not resolves:
        unresolved = Unknown(Reason.SERVER_LOST)
        monkeypatch.setattr(
            StartResolver, "resolve_start", lambda self, run, epoch: unresolved
        )
    share = measure_unknown_share(fleet, seed=5)
    print(f"resolves={resolves}: unknown {share:.4f} of {REQUEST_COUNT}")
    assert min_share <= share <= max_share
