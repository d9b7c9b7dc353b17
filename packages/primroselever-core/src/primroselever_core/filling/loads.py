"""
Which loads of weights an engine may serve.

An engine loads the bytes that are staged at the moment at which it accepts an order,
and does not verify them. Any time may pass between the check of the staged pieces and
that moment: a process is stopped, or an order waits at the engine. A load is therefore
trusted only if every staged piece was read and valid after the engine had accepted the
order, and nothing was staged in between. Only agents write to the staging area, so that
a piece that is valid then was valid before.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

    from .pieces import PieceDigests

# The next version is not staged for this long after an order that was not answered.
PENDING_ORDER_S = 5.0


class Load(NamedTuple):
    """The result of the order with a number since an engine's start; 0 for none."""

    born_ms: int
    sequence: int


class LayerRange(NamedTuple):
    """Some layers of a model, from the first one up to but not including ``end``."""

    start: int
    end: int


class OrderAnswer(StrEnum):
    """What an engine answers to an order: it starts, has nothing to do, or refuses."""

    STARTED = "begun"
    IN_EFFECT = "in effect"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """
    An order to load the staged pieces of ``weights``.

    The engine accepts it only as the next one after ``previous``. ``layers`` are the
    layers that it holds afterwards, None for all. It waits for its running requests to
    end unless ``aborts_requests`` is set.
    """

    weights: PieceDigests
    previous: Load
    layers: LayerRange | None = None
    aborts_requests: bool = False

    @property
    def load(self) -> Load:
        """Return the load that this order starts if it is accepted."""
        return Load(self.previous.born_ms, self.previous.sequence + 1)


@dataclass(slots=True)
class Loads:
    """
    What is known about the loads of one engine.

    ``trusted`` is the load that may serve, ``current`` the latest that was seen and
    ``first`` the first one that this process saw. ``inherited`` is a trusted load that
    an earlier process ordered; an order of that process may be accepted until
    ``inherits_until`` or later. ``invalid`` holds the pieces that were not valid when
    they were read after the current load, None if that is not known, and
    ``was_trusted`` says that they may have become so long after it. ``pending`` is an
    order without an answer, which may be accepted until ``pending_until`` or later.
    ``writes`` counts the pieces that were staged, ``writes_before`` those that were
    certainly staged before the current load, and ``writes_seen`` those before the last
    read of the engine's state. ``missed`` says that the engine could not be read before
    it was read for the first time.
    """

    trusted: Load | None = None
    current: Load | None = None
    inherited: Load | None = None
    first: Load | None = None
    inherits_until: float = 0.0
    invalid: frozenset[int] | None = None
    was_trusted: bool = False
    pending: LoadOrder | None = None
    pending_until: float = 0.0
    writes: int = 0
    writes_before: int = 0
    writes_seen: int = 0
    missed: bool = False

    def trusts(self, load: Load) -> bool:
        """Return whether requests may run on the result of a load."""
        return load == self.trusted

    def must_abort(self, load: Load) -> bool:
        """Return whether requests that run on the result of a load must not go on."""
        return (
            self.invalid is not None and not self.was_trusted and not self.trusts(load)
        )

    def may_be_inherited(self, load: Load, now: float) -> bool:
        """Return whether an earlier process may have ordered what the engine holds."""
        return load == self.inherited or (
            load == self.first and now < self.inherits_until
        )

    @property
    def is_uncertain(self) -> bool:
        """Return whether the engine may hold or accept a load that is not trusted."""
        return self.pending is not None or self.current != self.trusted

    def waits_for_order(self, now: float) -> bool:
        """Return whether an order without an answer may be accepted any moment."""
        return self.pending is not None and now < self.pending_until

    def record_write(self) -> None:
        """Count a piece that is about to be staged."""
        self.writes += 1

    def record_unreachable(self) -> None:
        """Record that the engine could not be read."""
        if self.current is None:
            self.missed = True

    def observe(
        self,
        load: Load,
        loading: bool,
        layers: LayerRange | None,
        writes: int,
        now: float,
    ) -> bool:
        """
        Record the load that an engine's state names; return whether it is unexpected.

        ``writes`` is the count of pieces staged before the state was read.
        """
        current = self.current
        if current is not None and current.born_ms == load.born_ms:
            if load.sequence < current.sequence:
                return False  # a late answer
            if load == current:
                self.writes_seen = writes
                return False
        if current is None:
            self.first, self.inherits_until = load, now + PENDING_ORDER_S
        self.begin(load, self.writes_seen if current is not None else writes)
        self.writes_seen = writes
        if not load.sequence:
            # The engine was started with these weights, or has none.
            self.trusted = load
            return False
        is_partial = layers is not None and layers.end - layers.start == 1
        if current is None and not (loading or self.missed or is_partial):
            self.trusted = self.inherited = load
            return False
        return True

    def begin(self, load: Load, writes_before: int) -> None:
        """Record a load that is not verified yet."""
        self.current = load
        self.writes_before = writes_before
        self.invalid = self.inherited = None
        self.was_trusted = False
        pending = self.pending
        if pending is not None and pending.previous != load:
            self.pending = None

    def record_order(self, order: LoadOrder, answer: OrderAnswer, writes: int) -> None:
        """Record an answered order, before which ``writes`` pieces were staged."""
        if answer is OrderAnswer.STARTED:
            self.begin(order.load, writes)

    def record_unanswered(self, order: LoadOrder, now: float) -> None:
        """
        Record an order that the engine may have accepted or accept later.

        A start of the engine that followed meanwhile accepts it if it has accepted as
        many orders as the start that it was meant for.
        """
        current = self.current
        if current is not None and current.sequence == order.previous.sequence:
            self.pending = replace(order, previous=current)
            self.pending_until = now + PENDING_ORDER_S

    def verify(
        self, load: Load, invalid: Collection[int], *, is_partial: bool = False
    ) -> bool:
        """
        Trust the current load if all staged pieces were valid after it was accepted.

        ``invalid`` are the pieces that were read since and are not valid. Return
        whether the load is valid. A load of some layers is never trusted, because the
        engine does not serve with them and the others must be loaded as well.
        """
        if load != self.current or self.writes != self.writes_before:
            return self.trusts(load)
        if is_partial:
            return not invalid
        if invalid:
            if self.trusts(load):
                self.trusted, self.was_trusted = None, True
            self.invalid = frozenset(invalid).union(self.invalid or ())
        elif self.invalid is None:
            self.trusted = load
        self.inherited = None
        return self.trusts(load)


def pieces_of_layer(layer: int, layer_count: int, piece_count: int) -> range:
    """Return the pieces that a layer needs; neighbouring layers may share one."""
    start = layer * piece_count // layer_count
    end = -(-(layer + 1) * piece_count // layer_count)
    return range(start, end)


def plan_reload(
    layers: LayerRange, piece_count: int, invalid: Collection[int] | None
) -> list[LayerRange | None]:
    """
    Return the layers of the orders that replace a load of the same version.

    An engine that holds a version completely does not load it again. It drops layers
    that an order leaves out, and the next order loads them anew. One layer stays: one
    that was loaded from valid pieces, or else one that is loaded first in place of the
    others. ``layers`` are those that the engine holds, and ``invalid`` the pieces that
    were not valid, None if unknown. None in the result stands for all layers.
    """
    start, end = layers
    if end - start == 1:
        other = start - 1 if start else start + 1
        return [LayerRange(other, other + 1), None]
    for layer in range(start, end) if invalid is not None else ():
        needed = pieces_of_layer(layer, end, piece_count)
        if not any(index in needed for index in invalid or ()):
            return [LayerRange(layer, layer + 1), None]
    return [LayerRange(start, start + 1), LayerRange(start + 1, start + 2), None]
