"""Check every specification; exit 1 when one is not as it must be."""

from __future__ import annotations

import sys

from . import at_most_once, catalogue, read_out, revisions
from .checking import check

MODULES = (at_most_once, catalogue, read_out, revisions)


def main() -> int:
    """Run all checks and print a line for each."""
    failed = 0
    for module in MODULES:
        for specification in module.specifications():
            verdict = check(specification)
            print(verdict.line(), flush=True)
            failed += not verdict.as_expected
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
