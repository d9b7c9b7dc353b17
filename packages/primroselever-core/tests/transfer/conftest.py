from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from primroselever_core.identifiers import FailureDomain, VmId
from primroselever_core.profiles.model import Objective
from primroselever_core.transfer.manifest import (
    Manifest,
    PublishedManifest,
    chunk_digest,
)
from primroselever_core.transfer.neighbourhood import Neighbourhood
from primroselever_core.transfer.planner import TransferPlanner
from primroselever_core.transfer.sources import ORIGIN, STORE

if TYPE_CHECKING:
    from collections.abc import Callable

CHUNKS = 12
BODIES = [bytes([n]) * 10 for n in range(CHUNKS)]


@pytest.fixture
def bodies() -> list[bytes]:
    return list(BODIES)


@pytest.fixture
def manifest() -> Manifest:
    return Manifest.from_published(
        PublishedManifest(
            model="eligibility",
            version="2",
            length=CHUNKS * 10,
            chunk_bytes=10,
            chunks=tuple(chunk_digest(body) for body in BODIES),
        )
    )


@pytest.fixture
def make_planner(manifest: Manifest) -> Callable[..., TransferPlanner]:
    """Return a factory of planners, by default for the VM ``a-0`` of domain ``a``."""

    def make(
        own_id: str = "a-0",
        objective: Objective = Objective.TIME_TO_REPLICAS,
        domains: str = "a",
        size: int = 4,
    ) -> TransferPlanner:
        vm_ids = {
            FailureDomain(d): tuple(VmId(f"{d}-{n}") for n in range(size))
            for d in domains
        }
        own_domain = FailureDomain(own_id[0])
        neighbourhood = Neighbourhood(VmId(own_id), own_domain, tuple(vm_ids), vm_ids)
        missing = list(range(CHUNKS))
        return TransferPlanner(
            manifest, missing, objective, neighbourhood, [STORE, ORIGIN], Random(7), 0.0
        )

    return make
