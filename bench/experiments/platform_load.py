"""
Simulates loads near and above the capacity of engines that batch requests.

Each load runs with the core's decisions and with a baseline, which picks the engine
with the fewest requests and never refuses. No process is started; a run takes seconds.
"""

from __future__ import annotations

import sys
from dataclasses import asdict
from random import Random
from typing import TYPE_CHECKING, Any

from ..load_model import CorePolicy, LeastInFlight, Load, LoadModel

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

LOADS = {
    "calm": Load(((20.0, 0.6),)),
    "near capacity": Load(((20.0, 0.95),)),
    "burst": Load(((5.0, 0.6), (15.0, 1.5), (25.0, 0.6))),
    "overload": Load(((20.0, 1.3),)),
    "slow engines": Load(((20.0, 0.6),), slow_engines=((0, 4.0), (1, 4.0))),
    "many entries": Load(((20.0, 0.9),), entry_count=24),
}


def add_arguments(parser: ArgumentParser) -> None:
    """Add the experiment's arguments."""
    parser.add_argument("--seed", type=int, default=1)


def run(arguments: Namespace) -> dict[str, Any]:
    """Run each load under both policies and return the outcomes."""
    results: dict[str, Any] = {}
    for name, load in LOADS.items():
        for policy in (LeastInFlight, CorePolicy):
            outcome = LoadModel(load, policy, Random(arguments.seed)).run()
            results[f"{name}, {policy.name}"] = asdict(outcome)
            print(f"{name:16}{policy.name:18}{outcome}", file=sys.stderr)
    return results
