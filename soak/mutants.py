"""
Faulty variants that the soak must detect: python -m soak.mutants NAME ROLE ...

Each mutant replaces one decision with a wrong one, only in the process that runs it.
"""

from __future__ import annotations

import os
import runpy
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent


def retry_after_send() -> None:
    """Resend a request after its connection failed, even if it must not run twice."""
    from primroselever_entry.direct.flow import DirectFlow

    def retry_refusal_reason(self: Any, state: Any, attempt: Any) -> str | None:
        return None if len(state.attempts) < 2 else attempt.reason

    DirectFlow.retry_refusal_reason = retry_refusal_reason  # type: ignore[method-assign]


def configuration_back() -> None:
    """Apply every received configuration, including older ones."""
    from primroselever_core.catalogue.catalogue import Catalogue

    configure = Catalogue.configure

    def configure_any(self: Any, configuration: Any, now: float) -> bool:
        self.configuration = None
        return configure(self, configuration, now)

    Catalogue.configure = configure_any  # type: ignore[method-assign]


def rotten_piece() -> None:
    """Accept any bytes as a piece of weights."""
    from primroselever_core.filling.pieces import PieceDigests

    PieceDigests.matches = lambda self, index, data: True  # type: ignore[method-assign]


def cut_at_stop() -> None:
    """Exit immediately on shutdown instead of finishing open requests."""
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
    """Apply the mutant, then run the script of the program."""
    name, role = sys.argv[1:3]
    program = ROOT / "platform" / f"{role}.py"
    sys.argv = [str(program), *sys.argv[3:]]
    # As in the script, the standard library is patched before other imports.
    import eventlet

    eventlet.monkey_patch()
    MUTANTS[name]()
    runpy.run_path(str(program), run_name="__main__")


if __name__ == "__main__":
    main()
