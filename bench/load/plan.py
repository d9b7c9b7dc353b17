"""The plan of a load driver, and the requests drawn from it."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

PADDING = "x" * 256


@dataclass(frozen=True, slots=True)
class Sender:
    """The load of one workspace; ``share`` is relative to those of the others."""

    workspace: str
    share: float
    prefixes: int = 1
    priority: int = 5


@dataclass(frozen=True, slots=True)
class Target:
    """The target of requests: an entry, or an engine that is called directly."""

    name: str
    port: int
    direct: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan; ``timeout_s`` is the deadline that each request states."""

    seed: int
    rate_per_s: float
    duration_s: float
    timeout_s: float
    service: str
    senders: list[Sender]
    targets: list[Target]

    @classmethod
    def read(cls, path: Path) -> Plan:
        """Return the plan in a JSON file."""
        fields = json.loads(path.read_text())
        senders = [Sender(**sender) for sender in fields.pop("senders")]
        targets = [Target(**target) for target in fields.pop("targets")]
        return cls(senders=senders, targets=targets, **fields)

    def write(self, path: Path) -> None:
        """Write the plan to a file as JSON."""
        path.write_text(json.dumps(asdict(self)))


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request, due ``at_s`` seconds after the start."""

    at_s: float
    number: int
    sender: Sender
    prefix: int
    target: Target

    def build_body(self) -> str:
        """Return a body that begins with the prefix and ends with the number."""
        return f"{self.prefix:06d}{PADDING}{self.number}"


def draw_arrivals(plan: Plan) -> Iterator[Arrival]:
    """Yield the requests of a plan; equal seeds yield equal requests."""
    random = Random(plan.seed)
    shares = [sender.share for sender in plan.senders]
    at_s, number = 0.0, 0
    while True:
        at_s += random.expovariate(plan.rate_per_s)
        if at_s > plan.duration_s:
            return
        sender = random.choices(plan.senders, shares)[0]
        prefix_weights = [1 / rank for rank in range(1, sender.prefixes + 1)]
        prefix = random.choices(range(sender.prefixes), prefix_weights)[0]
        yield Arrival(at_s, number, sender, prefix, random.choice(plan.targets))
        number += 1
