"""Checking a specification, and its mutants, which must be refuted."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from minicheck import Protocol, check_safety

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_STATES = 1_000_000

# A refutation needs no whole search; a mutant that survives this much of it is
# taken for not refuted.
MAX_MUTANT_STATES = 20_000

State = tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class Specification:
    """
    One specification.

    ``refutes`` names the invariant that a mutant must violate; it is empty for a
    specification that must hold.
    """

    name: str
    fields: tuple[str, ...]
    initial: State
    transitions: Callable[[State], list[tuple[str, State]]]
    invariants: dict[str, Callable[[dict[str, Any]], bool]]
    refutes: str = ""


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the checker found, and whether that is as it must be."""

    specification: Specification
    states: int
    seconds: float
    as_expected: bool
    violated: dict[str, list[str]]

    def line(self) -> str:
        """Return the verdict in one line."""
        name = self.specification.name
        if self.specification.refutes:
            found = "refuted" if self.violated else "NOT REFUTED"
        else:
            found = "VIOLATED" if self.violated else "holds"
        steps = "; ".join(
            f"{invariant} after {len(trace)} steps"
            for invariant, trace in self.violated.items()
        )
        mark = "ok" if self.as_expected else "FAILED"
        figures = f"{self.states:>8} states {self.seconds:6.1f} s"
        return f"{mark:7}{name:44}{found:12}{figures}  {steps}"


def check(specification: Specification) -> Verdict:
    """Explore a specification and judge it; an unfinished search is a failure."""
    started = time.monotonic()
    found = check_safety(
        Protocol(
            name=specification.name,
            candidate=False,
            fields=specification.fields,
            initial=specification.initial,
            transitions=specification.transitions,
            invariants=specification.invariants,
        ),
        max_states=MAX_MUTANT_STATES if specification.refutes else MAX_STATES,
    )
    violated = {
        name: [step["label"] for step in verdict["counterexample"][1:]]
        for name, verdict in found["properties"].items()
        if verdict["holds"] is False
    }
    if specification.refutes:
        as_expected = specification.refutes in violated
    else:
        as_expected = found["exhaustive"] and not violated
    seconds = time.monotonic() - started
    states = found["reachable_states"]
    return Verdict(specification, states, seconds, as_expected, violated)
