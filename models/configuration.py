"""
How soon a configuration is in force at an entry that relies on its peers.

The entry can read the store, but does so only if no peer proved lately that nothing
later is published. Peers read the store themselves; any of them may freeze, or no
longer be answered by the store, at any moment. All act in rounds of ``ROUND_S``, the
time after which a slow pull is joined by the next one. In a round, peers read and send
heartbeats, and the entry pulls or reads. The rules of ``CataloguePuller`` and
``lacks_proof`` are written out in ``EntryRules``.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, NamedTuple

from .checking import Specification

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .checking import State

ROUND_S = 0.4
BOUND_ROUNDS = 7  # of 3 s, the time in which a configuration must be in force
PROOF_ROUNDS = 5  # 0.6 to 0.7 of that time
PULL_ROUNDS = 5  # the timeout of a pull, 2 s
LIVE_ROUNDS = 4  # a peer without heartbeats for 1.5 s does not count as live
# Until a peer that is not frozen is asked: the frozen ones are asked before it.
SOUND_ROUNDS = 3
OLD, NEW = 1, 2  # the versions: one is in force everywhere, then one is published


class Peer(NamedTuple):
    """
    A peer, and what the entry knows of it.

    ``answered`` is how many rounds ago the store answered the peer, ``named`` the
    version in its last heartbeat, ``silence`` the rounds since then, and
    ``pulled`` for how many rounds the entry has been pulling from it, 0 if it is not.
    """

    held: int = OLD
    served: bool = True
    frozen: bool = False
    answered: int = 0
    named: int = OLD
    silence: int = 0
    pulled: int = 0


class GlobalState(NamedTuple):
    """
    A state of the model.

    ``proof`` is how many rounds ago nothing later was published for certain, ``late``
    for how many the entry has been behind, and ``sound`` for how many a peer that is
    not frozen has named a later version. ``newest_held`` is the latest version that
    was in force at the entry, and ``paused`` is set while it is frozen.
    """

    published: int = OLD
    peers: tuple[Peer, ...] = ()
    held: int = OLD
    newest_held: int = OLD
    proof: int = 0
    late: int = 0
    sound: int = 0
    paused: bool = False
    faults: int = 0


@dataclass(frozen=True, slots=True)
class EntryRules:
    """
    The rules of the entry; a mutant changes one of them.

    ``max_pulls`` is from how many peers it pulls at once. ``ages_proofs`` is not set if
    a heartbeat counts as a proof when it arrives, ``orders_copies`` if the latest copy
    replaces the one before. ``reads`` is not set if the entry never reads the store
    itself. Fewer peers and faults make the search for a violation shorter.
    """

    max_pulls: int = 4
    ages_proofs: bool = True
    orders_copies: bool = True
    reads: bool = True
    peer_count: int = 3
    max_faults: int = 3

    def initial(self) -> GlobalState:
        """Return the state before the publication."""
        return GlobalState(peers=(Peer(),) * self.peer_count)

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return the labels and successors of all transitions from a state."""
        return list(self.steps(GlobalState(*state)))

    def steps(self, current: GlobalState) -> Iterator[tuple[str, GlobalState]]:
        """Yield the transitions from a state."""
        yield "a round passes", self.pass_round(current)
        if current.published == OLD:
            yield "the store publishes", current._replace(published=NEW)
        if current.paused:
            yield "the entry continues", self.resume(current)
        if current.faults == self.max_faults:
            return
        faulty = current._replace(faults=current.faults + 1)
        if not current.paused:
            yield "the entry is paused", faulty._replace(paused=True)
        for index, peer in enumerate(current.peers):
            if not peer.frozen:
                frozen = replace_peer(faulty, index, peer._replace(frozen=True))
                yield f"peer {index} freezes", frozen
            if peer.served:
                unserved = replace_peer(faulty, index, peer._replace(served=False))
                yield f"the store no longer answers peer {index}", unserved

    def resume(self, current: GlobalState) -> GlobalState:
        """Return the state after a pause, which excuses what was late before it."""
        return current._replace(paused=False, late=0, sound=0)

    def pass_round(self, current: GlobalState) -> GlobalState:
        """Return the state after a round."""
        peers = [self.run_peer(current, peer) for peer in current.peers]
        proof = min(current.proof + 1, BOUND_ROUNDS)
        if current.paused:
            return current._replace(peers=tuple(peers), proof=proof)
        held = current.held
        for index, peer in enumerate(peers):
            if not peer.frozen:
                peers[index] = peer._replace(named=peer.held, silence=0)
                if peer.held <= held:
                    proof = min(proof, peer.answered if self.ages_proofs else 0)
        held, peers = self.pull(held, current.peers, peers)
        if self.reads and proof > PROOF_ROUNDS:
            held, proof = max(held, current.published), 0
        is_named = any(not peer.frozen and peer.named > held for peer in peers)
        sound = current.sound + 1 if is_named else 0
        late = current.late + 1 if held < current.published else 0
        return current._replace(
            peers=tuple(peers),
            held=held,
            newest_held=max(held, current.newest_held),
            proof=proof,
            late=min(late, BOUND_ROUNDS + 1),
            sound=min(sound, SOUND_ROUNDS + 1),
        )

    def run_peer(self, current: GlobalState, peer: Peer) -> Peer:
        """Return a peer after it read the store, if it can."""
        silence = min(peer.silence + 1, LIVE_ROUNDS + 1)
        answered = min(peer.answered + 1, BOUND_ROUNDS)
        if peer.served and not peer.frozen:
            return peer._replace(held=current.published, answered=0, silence=silence)
        return peer._replace(answered=answered, silence=silence)

    def pull(
        self, held: int, before: tuple[Peer, ...], peers: list[Peer]
    ) -> tuple[int, list[Peer]]:
        """
        Return the version in force, and the peers, after pulls.

        A pull starts in the round after the heartbeat that named the version. Peers of
        which no heartbeat came lately are not asked.
        """
        for index, peer in enumerate(peers):
            if peer.pulled:
                pulled = 0 if peer.pulled == PULL_ROUNDS else peer.pulled + 1
                peers[index] = peer._replace(pulled=pulled)
        ahead = [
            index
            for index, peer in enumerate(peers)
            if not peer.pulled
            and before[index].silence <= LIVE_ROUNDS
            and (before[index].named > held or not self.orders_copies)
        ]
        if ahead and sum(bool(peer.pulled) for peer in peers) < self.max_pulls:
            # The order is that of the heartbeats: the frozen ones come first, as the
            # worst case.
            index = min(ahead, key=lambda each: not peers[each].frozen)
            if peers[index].frozen:
                peers[index] = peers[index]._replace(pulled=1)
            else:
                copy = peers[index].held
                held = max(held, copy) if self.orders_copies else copy
        return held, peers


def replace_peer(current: GlobalState, index: int, peer: Peer) -> GlobalState:
    """Return the state with one peer replaced."""
    peers = list(current.peers)
    peers[index] = peer
    return current._replace(peers=tuple(peers))


def in_force_in_time(state: dict[str, Any]) -> bool:
    """Return whether the entry is behind for no longer than allowed."""
    return bool(state["late"] <= BOUND_ROUNDS)


def pulled_in_time(state: dict[str, Any]) -> bool:
    """Return whether frozen peers do not keep the entry from asking a sound one."""
    return bool(state["sound"] <= SOUND_ROUNDS)


def never_back(state: dict[str, Any]) -> bool:
    """Return whether no configuration was replaced by an older one."""
    return bool(state["held"] >= state["newest_held"])


def specification(
    name: str, rules: EntryRules, expected_violation: str = ""
) -> Specification:
    """Return a specification; a mutant names the violation that it must cause."""
    return Specification(
        name=name,
        fields=GlobalState._fields,
        initial=rules.initial(),
        transitions=rules.transitions,
        invariants={
            "in_force_in_time": in_force_in_time,
            "pulled_in_time": pulled_in_time,
            "never_back": never_back,
        },
        expected_violation=expected_violation,
    )


def specifications() -> list[Specification]:
    """Return the specification that must hold and the mutants to be refuted."""
    name = "configuration in time"
    small = EntryRules(peer_count=2, max_faults=2)
    mutants = {
        "one pull": (replace(small, max_pulls=1), "pulled_in_time"),
        "ageless proofs": (replace(small, ages_proofs=False), "in_force_in_time"),
        "no own read": (replace(small, reads=False), "in_force_in_time"),
        "any copy": (replace(small, orders_copies=False), "never_back"),
    }
    return [
        specification(name, EntryRules()),
        *(
            specification(f"{name}: {mutant}", rules, violation)
            for mutant, (rules, violation) in mutants.items()
        ),
    ]
