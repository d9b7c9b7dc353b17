"""
Run stand-ins: ``python -m bench.standins FILE``.

The file is a JSON list of objects with ``kind``, ``host``, ``port`` and ``faults``.
One process serves all of them until SIGTERM.
"""

from __future__ import annotations

import sys
import warnings

warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated.*")

import eventlet

eventlet.monkey_patch()

import json
from pathlib import Path
from typing import TYPE_CHECKING

from primroselever_node.http import HttpServer
from primroselever_node.process import ShutdownSignal

from .configuration_service import ConfigurationService
from .corrupt_peer import CorruptPeer
from .engine import Engine
from .link import Links
from .plain_service import PlainService
from .vm_list import VmList
from .weight_source import WeightSource

if TYPE_CHECKING:
    from .base import StandIn

KINDS: dict[str, type[StandIn]] = {
    "configuration_service": ConfigurationService,
    "corrupt_peer": CorruptPeer,
    "engine": Engine,
    "links": Links,
    "plain_service": PlainService,
    "vm_list": VmList,
    "weight_source": WeightSource,
}


def main() -> int:
    """Start the listed stand-ins and serve until SIGTERM."""
    stop = ShutdownSignal()
    for entry in json.loads(Path(sys.argv[1]).read_text()):
        stand_in = KINDS[entry["kind"]](**entry.get("faults", {}))
        HttpServer(stand_in, entry["host"], entry["port"]).start()
    stop.wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
