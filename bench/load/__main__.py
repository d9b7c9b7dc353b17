"""Run the load driver: ``python -m bench.load PLAN``."""

from __future__ import annotations

import sys
import warnings

warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated.*")

import eventlet

eventlet.monkey_patch()

import json
from pathlib import Path

from .driver import Driver
from .plan import Plan

if __name__ == "__main__":
    print(json.dumps(Driver(Plan.read(Path(sys.argv[1]))).run()))
