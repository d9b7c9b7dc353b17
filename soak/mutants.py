"""
Mutants of the product, which the soak must catch: python -m soak.mutants NAME ROLE ...

Each one replaces a decision by a wrong one, in the process of the program alone.
"""

from __future__ import annotations

import os
import runpy
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent


def retry_after_send() -> None:
    """Send what must run once again after a connection broke."""
    from primroselever_entry.direct.flow import DirectFlow

    def retry_refusal_reason(self: Any, state: Any, attempt: Any) -> str | None:
        return None if len(state.attempts) < 2 else attempt.reason

    DirectFlow.retry_refusal_reason = retry_refusal_reason  # type: ignore[method-assign]


def configuration_back() -> None:
    """Put whatever configuration is heard in force."""
    from primroselever_core.catalogue.catalogue import Catalogue

    configure = Catalogue.configure

    def take_any(self: Any, configuration: Any, now: float) -> bool:
        self.configuration = None
        return configure(self, configuration, now)

    Catalogue.configure = take_any  # type: ignore[method-assign]


def rotten_piece() -> None:
    """Accept any bytes as a piece of weights."""
    from primroselever_core.filling.pieces import PieceDigests

    PieceDigests.matches = lambda self, index, data: True  # type: ignore[method-assign]


def cut_at_stop() -> None:
    """End at once when told to stop."""
    from primroselever_entry.direct.process import DirectEntryProcess

    def shut_down(self: Any) -> bool:
        os._exit(0)

    DirectEntryProcess.shut_down = shut_down  # type: ignore[method-assign]


MUTANTS = {
    "retry-after-send": retry_after_send,
    "configuration-back": configuration_back,
    "rotten-piece": rotten_piece,
    "cut-at-stop": cut_at_stop,
}


def main() -> None:
    """Mutate, then run the program as its file would."""
    name, role = sys.argv[1:3]
    program = ROOT / "platform" / f"{role}.py"
    sys.argv = [str(program), *sys.argv[3:]]
    # The program's file patches the standard library before anything else is imported.
    import eventlet

    eventlet.monkey_patch()
    MUTANTS[name]()
    runpy.run_path(str(program), run_name="__main__")


if __name__ == "__main__":
    main()
