"""
Run one experiment: ``python -m bench NAME [ARGUMENTS]``.

An experiment is a module of ``bench.experiments`` that defines
``add_arguments(parser)`` and ``run(arguments)``. The mapping that ``run`` returns is
printed as one JSON object on the last line of standard output. Progress messages go
to standard error.
"""

from __future__ import annotations

import argparse
import importlib
import json
import pkgutil
import sys

from . import experiments


def main() -> int:
    """Run the experiment named on the command line and return the exit code."""
    names = [module.name for module in pkgutil.iter_modules(experiments.__path__)]
    if len(sys.argv) < 2 or sys.argv[1] not in names:
        print(
            f"expected the name of an experiment, one of: {', '.join(sorted(names))}",
            file=sys.stderr,
        )
        return 2
    module = importlib.import_module(f"{experiments.__name__}.{sys.argv[1]}")
    parser = argparse.ArgumentParser(prog=f"bench {sys.argv[1]}")
    module.add_arguments(parser)
    results = module.run(parser.parse_args(sys.argv[2:]))
    print(json.dumps(results, default=str), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
