from __future__ import annotations

from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import pytest

from primroselever_agent.engine.engine_client import EngineState
from primroselever_agent.exceptions import EngineCallError
from primroselever_agent.transfer.engine_switch import EngineSwitch
from primroselever_agent.transfer.fetcher import Fetcher
from primroselever_agent.transfer.instruments import TransferInstruments
from primroselever_agent.transfer.rollout import RolloutController
from primroselever_core.board import Blackboard
from primroselever_core.identifiers import (
    FailureDomain,
    GroupName,
    Incarnation,
    Region,
    VmId,
)
from primroselever_core.identity import Identity
from primroselever_core.membership.contact import record_answer
from primroselever_core.membership.vm import Role, Vm
from primroselever_core.profiles.model import Profile, ProfileSet
from primroselever_core.profiles.revision import AcceptedProfiles, Revision
from primroselever_core.transfer.chunk_store import ChunkStore
from primroselever_core.transfer.manifest import (
    Manifest,
    PublishedManifest,
    VersionName,
    chunk_digest,
)
from primroselever_core.transfer.section import TransfersSection
from primroselever_node import clock


@dataclass(slots=True)
class FakeClock:
    now: float = 100.0

    def __call__(self) -> float:
        return self.now


@dataclass(slots=True)
class FakeEngine:
    """
    An in-memory engine; ``overwritten_digest`` replaces each ordered version.

    ``loaded`` holds the chunks that it had when it accepted the latest order.
    """

    honours_fencing: bool = True
    digest: str = ""
    fencing: int = 0
    handed: dict[str, dict[int, bytes]] = field(default_factory=dict)
    loaded: dict[int, bytes] = field(default_factory=dict)
    orders: list[tuple[str, int]] = field(default_factory=list)
    overwritten_digest: str = ""

    def state(self) -> EngineState:
        return EngineState(self.digest, self.fencing, 0)

    def put_chunk(self, digest: str, index: int, data: bytes) -> None:
        self.handed.setdefault(digest, {})[index] = data

    def load(self, manifest: Manifest, fencing: int) -> None:
        if self.honours_fencing and fencing < self.fencing:
            raise EngineCallError("the fencing number is lower than the current one")
        if len(self.handed.get(manifest.digest, {})) != len(manifest.chunks):
            raise EngineCallError("chunks are missing")
        self.loaded = dict(self.handed[manifest.digest])
        self.orders.append((manifest.version, fencing))
        self.digest, self.fencing = self.overwritten_digest or manifest.digest, fencing


@dataclass(slots=True)
class FakeFinder:
    """Returns the manifests that it holds by version name."""

    peers: Any
    sources: dict[str, Any] = field(default_factory=dict)
    manifests: dict[VersionName, Manifest] = field(default_factory=dict)

    def find(self, name: VersionName, _wanted: object) -> Manifest | None:
        return self.manifests.get(name)

    def read_from_source(self, name: VersionName) -> Manifest | None:
        return self.manifests.get(name)

    find_current = read_from_source


def manifest_of(version: str, *bodies: bytes) -> Manifest:
    size = len(bodies[0])
    return Manifest.from_published(
        PublishedManifest(
            model="eligibility",
            version=version,
            length=size * len(bodies),
            chunk_bytes=size,
            chunks=tuple(chunk_digest(body) for body in bodies),
        )
    )


@dataclass(slots=True)
class Agent:
    """The transfer components of an agent, around a fake engine."""

    board: Blackboard
    section: TransfersSection
    engine: FakeEngine
    finder: FakeFinder
    engine_switch: EngineSwitch
    rollout: RolloutController
    fetcher: Fetcher
    runs: SimpleNamespace

    def publish(self, revision: int, version: str) -> None:
        """Put a profile in force."""
        profile = Profile(
            name="alerts", group="alerts", model="eligibility", version=version
        )
        self.board.profiles.accepted = AcceptedProfiles(
            Revision(revision, ""), "", ProfileSet(profiles=(profile,))
        )

    def hold(self, *bodies: bytes) -> None:
        """Store chunks as if they had been fetched."""
        planner = self.section.planner
        for body in bodies:
            self.section.store.put(chunk_digest(body), body)
        if planner is not None and self.section.wanted is not None:
            missing = set(self.section.store.missing_indexes(self.section.wanted))
            planner.chunks = {i: c for i, c in planner.chunks.items() if i in missing}

    def offer(self, version: str, *bodies: bytes) -> Manifest:
        """Make a version available to the finder and return its manifest."""
        manifest = manifest_of(version, *bodies)
        self.finder.manifests[manifest.name] = manifest
        return manifest


@pytest.fixture
def fake_clock(monkeypatch: pytest.MonkeyPatch) -> FakeClock:
    fake = FakeClock()
    monkeypatch.setattr(clock, "now", fake)
    return fake


@pytest.fixture
def agent(fake_clock: FakeClock, monkeypatch: pytest.MonkeyPatch) -> Agent:
    domain = FailureDomain("lag-a")
    board = Blackboard(Identity(VmId("vm"), domain, Region("west"), Incarnation(1)))
    group, region = GroupName("alerts"), Region("west")
    vm = Vm(VmId("vm"), Role.AGENT, "127.0.0.1", 1, domain, region, group)
    board.members.vms = {vm.vm_id: vm}
    board.members.contact.confirm_after = 0.0
    record_answer(board.members.contact, fake_clock())
    section = TransfersSection(ChunkStore(limit_bytes=40))
    engine = FakeEngine()
    peers = SimpleNamespace(group=GroupName("alerts"), fetch_states=list)
    runs = SimpleNamespace(count=0)
    registry = SimpleNamespace(in_flight=lambda: runs.count)
    instruments = TransferInstruments()
    engine_switch = EngineSwitch(board, section, registry, engine, peers, instruments)
    finder = FakeFinder(peers)
    serving = SimpleNamespace(wake_waiting_calls=lambda _digest: None)
    fetcher = Fetcher(section, peers, {}, serving, None, instruments)
    rollout = RolloutController(board, section, finder, fetcher, engine_switch, None, 0)
    monkeypatch.setattr(rollout, "start_reads", lambda *_: None)
    return Agent(board, section, engine, finder, engine_switch, rollout, fetcher, runs)
