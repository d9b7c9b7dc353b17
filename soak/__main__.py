"""Run soak tests: python -m soak --seed 1 --seconds 20 [--seeds 50] [--mutant NAME]."""

from __future__ import annotations

import argparse
import sys
import warnings
from collections import Counter

warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated.*")

import eventlet  # noqa: E402

eventlet.monkey_patch()

from .mutants import MUTANTS  # noqa: E402
from .regressions import REGRESSIONS  # noqa: E402
from .run import Soak  # noqa: E402

MAX_PRINTED_VIOLATIONS = 10  # for each soak


def main() -> int:
    """Run the soaks in sequence; return how many had violations, at most 100."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of consecutive seeds"
    )
    parser.add_argument(
        "--seconds",
        type=float,
        default=20.0,
        help="duration of fault injection in seconds",
    )
    parser.add_argument("--mutant", choices=sorted(MUTANTS), default="")
    parser.add_argument(
        "--planned", action="store_true", help="inject planned operations only"
    )
    parser.add_argument(
        "--regressions", action="store_true", help="rerun seeds that failed before"
    )
    options = parser.parse_args()
    end_seed = options.seed + options.seeds
    scenarios = [(seed, options.seconds) for seed in range(options.seed, end_seed)]
    if options.regressions:
        scenarios = [
            (regression.seed, regression.fault_duration_s) for regression in REGRESSIONS
        ]
    failed_soaks = 0
    for seed, fault_duration_s in scenarios:
        soak = Soak(seed, fault_duration_s, options.mutant, options.planned)
        ledger = soak.run()
        failed_soaks += bool(ledger.violations)
        verdict = "BROKEN" if ledger.violations else "kept"
        print(f"seed {seed}: {verdict}; {len(ledger.attempts)} requests", flush=True)
        print(
            "  "
            + ", ".join(
                f"{key}: {count}" for key, count in sorted(ledger.counts.items())
            )
        )
        violation_counts = Counter(violation.rule for violation in ledger.violations)
        if violation_counts:
            print(f"  violations: {dict(violation_counts)}")
        for violation in ledger.violations[:MAX_PRINTED_VIOLATIONS]:
            print(
                f"  {violation.rule}: {violation.details}; logs: {soak.log_directory}"
            )
    return min(failed_soaks, 100)


if __name__ == "__main__":
    sys.exit(main())
