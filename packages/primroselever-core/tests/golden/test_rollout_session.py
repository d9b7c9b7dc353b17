"""A rollout on one VM whose peers crash, lag behind or send damaged bytes."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from primroselever_core.identifiers import FailureDomain, VmId, WeightsDigest
from primroselever_core.profiles.model import Objective
from primroselever_core.transfer.manifest import (
    Manifest,
    PublishedManifest,
    chunk_digest,
)
from primroselever_core.transfer.neighbourhood import Neighbourhood
from primroselever_core.transfer.planner import TransferPlanner
from primroselever_core.transfer.read_outcomes import apply_read_event
from primroselever_core.transfer.sources import (
    STORE,
    Corrupt,
    Elsewhere,
    Held,
    Pending,
    Read,
    ReadEvent,
    Refused,
    Silent,
)
from primroselever_core.transfer.switching import (
    PeerState,
    SwitchPlan,
    fencing_number,
    plan_objection,
    reason_to_keep_serving,
)

if TYPE_CHECKING:
    from syrupy.assertion import SnapshotAssertion

    from .conftest import Session

OLD, NEW = WeightsDigest("old"), WeightsDigest("new")
CRASHED, DAMAGED, HOLDER = VmId("lag-a-2"), VmId("lag-a-3"), VmId("lag-a-4")


def new_planner() -> TransferPlanner:
    bodies = [bytes([number]) * 4 for number in range(8)]
    manifest = Manifest.from_published(
        PublishedManifest(
            model="eligibility",
            version="2",
            length=32,
            chunk_bytes=4,
            chunks=tuple(chunk_digest(body) for body in bodies),
        )
    )
    domain = FailureDomain("lag-a")
    vm_ids = {domain: tuple(VmId(f"lag-a-{number}") for number in range(1, 5))}
    neighbourhood = Neighbourhood(VmId("lag-a-1"), domain, (domain,), vm_ids)
    objective = Objective.TIME_TO_REPLICAS
    return TransferPlanner(
        manifest, list(range(8)), objective, neighbourhood, [STORE], Random(3), 0.0
    )


def simulate_outcome(read: Read, now: float) -> ReadEvent:
    """Return the outcome of a read: one VM is down, one sends damaged bytes."""
    if read.source.vm_id == CRASHED:
        return Silent(read)
    if read.source.vm_id == DAMAGED:
        return Corrupt(read)
    if read.source == STORE:
        return Held(read)
    if read.wait_s == 0:
        return Refused(read)
    if now < 1.0:
        return Pending(read, reading=True, retry_at=now + 0.5)
    return Held(read) if read.hops else Elsewhere(read, HOLDER)


def test_a_rollout_with_a_crash(session: Session, snapshot: SnapshotAssertion) -> None:
    planner = new_planner()
    for tick in range(60):
        session.at(tick / 10)
        while (read := planner.next_read(session.now)) is not None:
            session.decision(
                "read", chunk=read.index, source=read.source.name, reason=read.reason
            )
            event = simulate_outcome(read, session.now)
            session.event(type(event).__name__.lower(), chunk=read.index)
            apply_read_event(event, planner, session.now)
        if not planner.chunks:
            break
    assert not planner.chunks
    mine = PeerState(VmId("lag-a-1"), OLD)
    for states in ((OLD, None), (OLD, NEW), (NEW, NEW)):
        peers = [PeerState(VmId(f"lag-a-{n}"), s) for n, s in enumerate(states, 3)]
        session.event("peers", serving=[peer.serving for peer in peers])
        wait = reason_to_keep_serving(mine, peers, NEW, min_serving=2)
        session.decision("switch", answer=wait.reason if wait else "go")
    fencing = fencing_number(7, 1, current=12)
    plan = SwitchPlan(NEW, 7, fencing, deadline=session.now + 25.0)
    session.at(session.now + 30.0)
    session.event("resumed", paused_s=30)
    wait = plan_objection(plan, NEW, 7, session.now)
    session.decision("order", answer=wait.reason if wait else f"load {fencing}")
    assert session.text() == snapshot
