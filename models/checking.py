"""Checks of specifications, which must hold, and of mutants, which must be refuted."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from minicheck import Protocol, check_safety

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_STATES = 1_000_000

# Refuting a mutant does not require an exhaustive search. A mutant without a violation
# in this many states counts as not refuted.
MAX_MUTANT_STATES = 20_000

State = tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class Specification:
    """
    A transition system with its invariants.

    ``expected_violation`` is the name of the invariant that a mutant must violate. It
    is empty for a specification that must hold.
    """

    name: str
    fields: tuple[str, ...]
    initial: State
    transitions: Callable[[State], list[tuple[str, State]]]
    invariants: dict[str, Callable[[dict[str, Any]], bool]]
    expected_violation: str = ""


@dataclass(frozen=True, slots=True)
class Verdict:
    """
    The result of checking a specification, and whether it is as expected.

    ``violated`` maps each violated invariant to the labels of a counterexample.
    """

    specification: Specification
    state_count: int
    duration_s: float
    as_expected: bool
    violated: dict[str, list[str]]

    def format_line(self) -> str:
        """Return the verdict in one line."""
        name = self.specification.name
        if self.specification.expected_violation:
            result = "refuted" if self.violated else "NOT REFUTED"
        else:
            result = "VIOLATED" if self.violated else "holds"
        steps = "; ".join(
            f"{invariant} after {len(trace)} steps"
            for invariant, trace in self.violated.items()
        )
        status = "ok" if self.as_expected else "FAILED"
        figures = f"{self.state_count:>8} states {self.duration_s:6.1f} s"
        return f"{status:7}{name:44}{result:12}{figures}  {steps}"


def check(specification: Specification) -> Verdict:
    """Check a specification; one that must hold fails if the search is incomplete."""
    started_at = time.monotonic()
    search = check_safety(
        Protocol(
            name=specification.name,
            candidate=False,
            fields=specification.fields,
            initial=specification.initial,
            transitions=specification.transitions,
            invariants=specification.invariants,
        ),
        max_states=MAX_MUTANT_STATES
        if specification.expected_violation
        else MAX_STATES,
    )
    violated = {
        invariant: [step["label"] for step in property_result["counterexample"][1:]]
        for invariant, property_result in search["properties"].items()
        if property_result["holds"] is False
    }
    if specification.expected_violation:
        as_expected = specification.expected_violation in violated
    else:
        as_expected = search["exhaustive"] and not violated
    duration_s = time.monotonic() - started_at
    state_count = search["reachable_states"]
    return Verdict(specification, state_count, duration_s, as_expected, violated)
