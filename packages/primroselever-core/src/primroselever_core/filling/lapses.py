"""
When the weights of an engine lapse, as the agent on its VM knows it.

Entries send no request to an engine that could begin on lapsed weights, but a link may
deliver it much later. The time that a request gives the engine counts from its arrival,
and a cancellation waits in the same link. So the agent, which needs no link to the
engine, closes it when its weights lapse: it orders the engine to hold a single layer.
An engine that held all layers loads nothing for that, accepts no new requests from the
order on, and refuses them as not run once its running ones have ended.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING

from ..gossip.transit import TransitDelay
from .loads import LayerRange

if TYPE_CHECKING:
    from collections.abc import Mapping

# For an agent that runs late and for the order. The margin of entries is the same, so
# that a request that they still expect to begin is not refused.
CLOSE_MARGIN_S = 0.3
MAX_VERSIONS = 8  # per model; the bounds of older ones have long passed
# Entries name the models of a service at least every second, so that the ones recorded
# longest ago are those that they no longer name.
MAX_MODELS = 16
MAX_ENTRIES = 256  # above the number of entries that advise one agent
# The fastest message of an entry is that of one to two windows. They are longer than a
# link stays congested: its delay would count as usual otherwise.
WINDOW_S = 60.0


@dataclass(slots=True)
class EntryProofs:
    """
    When one entry proved versions to be absent, by its own clock.

    ``transit`` relates that clock to the one of this process. Its difference falls with
    each message that is faster than all before, which corrects what is known already.
    ``absent_at`` maps a model and a version to the latest time, in seconds.
    """

    transit: TransitDelay = field(
        default_factory=lambda: TransitDelay(window_s=WINDOW_S)
    )
    message_count: int = 0
    absent_at: dict[str, dict[int, float]] = field(default_factory=dict)

    def record(
        self,
        incarnation: int,
        sent_at: float,
        ages_s: Mapping[str, Mapping[int, float]],
        now: float,
    ) -> float | None:
        """Record a message; return its delay in seconds, None if it is unknown."""
        if incarnation != self.transit.incarnation:
            self.message_count = 0
            self.absent_at.clear()
        delay_s = self.transit.record(incarnation, sent_at, now)
        self.message_count += 1
        for model, versions in ages_s.items():
            known = self.absent_at.pop(model, {})
            self.absent_at[model] = known
            if len(self.absent_at) > MAX_MODELS:
                del self.absent_at[next(iter(self.absent_at))]
            for version, age_s in versions.items():
                known[version] = max(sent_at - age_s, known.get(version, -inf))
            for version in sorted(known)[:-MAX_VERSIONS]:
                del known[version]
        return delay_s

    def newer_absent_at(self, model: str, version: int) -> dict[int, float]:
        """Return the times at which newer versions were absent, by this clock."""
        if self.message_count < 2:
            return {}  # the delay of one message cannot be told
        offset_s = self.transit.known_s
        return {
            newer: at + offset_s
            for newer, at in self.absent_at.get(model, {}).items()
            if newer > version
        }


@dataclass(slots=True)
class WeightLapses:
    """
    From when on requests may not begin on older versions than a published one.

    That is ``within_s`` after the latest proof of any entry that the version was
    absent. ``entries`` has the proofs of entries by host.

        >>> lapses = WeightLapses(within_s=8.0)
        >>> for sent_at in (500.0, 501.0):
        ...     delay_s = lapses.record("e", 1, sent_at, {"m": {2: 0.5}}, sent_at - 400)
        >>> lapses.lapses_at("m", 1), lapses.lapses_at("m", 2)
        (108.5, inf)
    """

    within_s: float = inf
    entries: dict[str, EntryProofs] = field(default_factory=dict)

    def record(
        self,
        host: str,
        incarnation: int,
        sent_at: float,
        ages_s: Mapping[str, Mapping[int, float]],
        now: float,
    ) -> float | None:
        """
        Record how long ago an entry proved versions to be absent.

        ``ages_s`` maps models and versions to seconds at ``sent_at``, a time of the
        entry's clock. Return the delay of the message in seconds, None if unknown.
        """
        for known, proofs in list(self.entries.items()):
            if now - proofs.transit.window_at > 2 * WINDOW_S:
                del self.entries[known]
        is_known = host in self.entries
        proofs = self.entries.pop(host) if is_known else EntryProofs()
        self.entries[host] = proofs
        if len(self.entries) > MAX_ENTRIES:
            del self.entries[next(iter(self.entries))]
        return proofs.record(incarnation, sent_at, ages_s, now)

    def lapses_at(self, model: str, version: int) -> float:
        """Return from when on no request may begin on a version."""
        absent_at: dict[int, float] = {}
        for proofs in self.entries.values():
            for newer, at in proofs.newer_absent_at(model, version).items():
                absent_at[newer] = max(at, absent_at.get(newer, -inf))
        return min(absent_at.values(), default=inf) + self.within_s

    def has_lapsed(self, model: str, version: int, now: float) -> bool:
        """Return whether an engine with a version has to be closed."""
        return now >= self.lapses_at(model, version) - CLOSE_MARGIN_S

    def layers_to_keep(
        self, model: str, version: int, layers: LayerRange | None, now: float
    ) -> LayerRange | None:
        """
        Return the layers that an engine is to keep if its weights lapse now.

        Return None if it may go on, or serves nothing. ``layers`` are those that it
        holds, None if it does not report them.
        """
        if not version or not self.has_lapsed(model, version, now):
            return None
        if layers is None:
            return LayerRange(0, 1)
        if layers.end - layers.start <= 1:
            return None
        return LayerRange(layers.start, layers.start + 1)
