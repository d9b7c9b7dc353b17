"""What the heartbeat of a peer proves about when the operator published nothing."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from primroselever_core.catalogue.catalogue import Catalogue
    from primroselever_core.gossip.peers import Peer


def measure_sending(
    catalogue: Catalogue, peer: Peer, heartbeat: Any, now: float
) -> float | None:
    """
    Return when a heartbeat was sent by this process's clock, None if unknown.

    Without it, the ages in the heartbeat prove nothing: they lack its time on the way.
    A heartbeat that is much faster than all before it may show that this process was
    suspended. Its proofs would then seem younger by that time.
    """
    if heartbeat.sent_ms is None:
        return None
    sent_at = heartbeat.sent_ms / 1000
    delay_s = peer.transit.record(heartbeat.incarnation, sent_at, now)
    if peer.transit.stepped:
        catalogue.freshness.forget_proofs()
    return None if delay_s is None else now - delay_s


def record_weights_ages(
    catalogue: Catalogue, heartbeat: Any, sent_at: float | None, now: float
) -> None:
    """Record the times from which the bounds of versions count at a peer."""
    for model, ages_ms in (heartbeat.weights_age_ms or {}).items():
        published = catalogue.weights.get(model)
        if published is None:
            continue
        for version, age_ms in ages_ms.items():
            age_s = max(0, age_ms) / 1000
            if sent_at is not None:
                published.record_peer_absent_at(version, sent_at - age_s)
            elif heartbeat.sent_ms is None:
                published.record_peer_learned_at(version, now - age_s)


def record_proof(
    catalogue: Catalogue, peer: Peer, heartbeat: Any, sent_at: float | None, now: float
) -> None:
    """Record what the store's answers to a peer prove."""
    age_ms = heartbeat.operator_age_ms
    proof_at = None
    if age_ms is not None and sent_at is not None:
        proof_at = sent_at - max(0, age_ms) / 1000
        for model, published in catalogue.weights.items():
            published.record_absent(peer.weights.get(model, 0), proof_at)
    if (
        peer.configuration_revision > catalogue.configuration_revision
        # An entry of an earlier release does not know what it proves.
        or heartbeat.evacuations_revision is None
        or peer.evacuations_position > catalogue.evacuations.known_through
    ):
        return
    # An entry that sends no time of its last answer sends it as the age of its proof.
    answer_age_ms = age_ms if heartbeat.sent_ms is None else heartbeat.answer_age_ms
    if answer_age_ms is not None:
        catalogue.freshness.record_answer(now - max(0, answer_age_ms) / 1000)
    if proof_at is not None and all(
        model in catalogue.weights and version <= catalogue.weights[model].version
        for model, version in peer.weights.items()
    ):
        catalogue.freshness.record_proof(proof_at)
