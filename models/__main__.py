"""Check every specification; exit with 1 if a result is not as expected."""

from __future__ import annotations

import sys

from . import (
    at_most_once,
    catalogue,
    closed_engines,
    configuration,
    evacuations,
    lapsed_weights,
    read_out,
    revisions,
    store_restore,
)
from .checking import check

MODULES = (
    at_most_once,
    catalogue,
    closed_engines,
    configuration,
    evacuations,
    lapsed_weights,
    read_out,
    revisions,
    store_restore,
)


def main() -> int:
    """Check all specifications, print a line for each and return the exit code."""
    failed_count = 0
    for module in MODULES:
        for specification in module.specifications():
            verdict = check(specification)
            print(verdict.format_line(), flush=True)
            failed_count += not verdict.as_expected
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(main())
