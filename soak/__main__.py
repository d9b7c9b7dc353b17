"""Run soaks: python -m soak --seed 1 --seconds 20 [--seeds 50] [--mutant NAME]."""

from __future__ import annotations

import argparse
import sys
import warnings

warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated.*")

import eventlet  # noqa: E402

eventlet.monkey_patch()

from .mutants import MUTANTS  # noqa: E402
from .regressions import REGRESSIONS  # noqa: E402
from .run import Soak  # noqa: E402

SHOWN = 10  # breaches of one soak


def main() -> int:
    """Run one soak after the other; return how many of them broke a promise."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many in a row")
    parser.add_argument("--seconds", type=float, default=20.0, help="of faults")
    parser.add_argument("--mutant", choices=sorted(MUTANTS), default="")
    parser.add_argument("--planned", action="store_true", help="planned work only")
    parser.add_argument("--regressions", action="store_true", help="seeds that failed")
    options = parser.parse_args()
    last = options.seed + options.seeds
    plays = [(seed, options.seconds) for seed in range(options.seed, last)]
    if options.regressions:
        plays = [(known.seed, known.seconds) for known in REGRESSIONS]
    failed = 0
    for seed, seconds in plays:
        soak = Soak(seed, seconds, options.mutant, options.planned)
        ledger = soak.run()
        failed += bool(ledger.breaches)
        verdict = "BROKEN" if ledger.breaches else "kept"
        print(f"seed {seed}: {verdict}; {len(ledger.attempts)} requests", flush=True)
        print("  " + ", ".join(f"{k}: {n}" for k, n in sorted(ledger.counts.items())))
        for breach in ledger.breaches[:SHOWN]:
            print(f"  {breach.rule}: {breach.seen}; logs: {soak.log_directory}")
    return min(failed, 100)


if __name__ == "__main__":
    sys.exit(main())
