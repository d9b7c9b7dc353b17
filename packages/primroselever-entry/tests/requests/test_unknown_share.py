"""How many endings are unknown with and without resolving lost replies."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from primroselever_core.outcomes import Outcome, Reason, Unknown
from primroselever_entry.requests.resolving import Resolver

from .conftest import answer_of, new_request

if TYPE_CHECKING:
    from .conftest import FakeAgent, Fleet

REQUESTS = 400
LOSS = 0.1


def unknown_share(fleet: Fleet, seed: int) -> float:
    """Lose a tenth of the starts, of their replies and of the resolves."""
    random = Random(seed)
    entry = fleet.entry()
    unknown = 0
    for _ in range(REQUESTS):
        fault = random.choices(
            ("request_lost", "reply_lost", ""), (LOSS, LOSS, 1 - 2 * LOSS)
        )
        fleet.wire.faults["start"] = fault
        fleet.wire.faults["resolve"] = [
            "request_lost" if random.random() < LOSS else "" for _ in range(3)
        ]
        for server in entry.board.servers.servers.values():
            server.avoid_until = server.ejected_until = 0.0
        _, ending = answer_of(entry, new_request())
        unknown += ending.outcome is Outcome.UNKNOWN
    return unknown / REQUESTS


@pytest.mark.parametrize(
    ("resolves", "least", "most"), [(True, 0.0, 0.005), (False, 0.15, 0.25)]
)
def test_resolving_leaves_little_unknown(
    fleet: Fleet,
    one_agent: FakeAgent,
    monkeypatch: pytest.MonkeyPatch,
    resolves: bool,
    least: float,
    most: float,
) -> None:
    if not resolves:
        lost = Unknown(Reason.SERVER_LOST)
        monkeypatch.setattr(Resolver, "resolve", lambda self, run, epoch: lost)
    share = unknown_share(fleet, seed=5)
    print(f"resolves={resolves}: unknown {share:.4f} of {REQUESTS}")
    assert least <= share <= most
