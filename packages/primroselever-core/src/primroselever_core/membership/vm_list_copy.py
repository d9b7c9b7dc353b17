"""
A VM list as it is handed on within a failure domain.

A few readers read the platform's list, which has no revision of its own. A copy is
ordered by its reader's counter, never by a clock. Of two readers the one that ranks
higher goes first, until nothing was heard of its copies for a while: so two copies
cannot replace each other in turn.
"""

from __future__ import annotations

import json
from collections import OrderedDict
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING, Any

import xxhash

from .vm import Role, Vm

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ..identifiers import Incarnation, VmId

COPY_FRESH_S = 10.0
KEPT_VERSIONS = 4


@dataclass(frozen=True, slots=True)
class ListVersion:
    """Who read a list, in which incarnation, and how often it had changed there."""

    reader: VmId
    incarnation: Incarnation
    counter: int

    def replaces(
        self,
        held: ListVersion | None,
        held_until: float,
        ranking: Sequence[VmId],
        now: float,
    ) -> bool:
        """Return whether this version takes the place of the one held."""
        if held is None or now >= held_until:
            return True
        if (self.reader, self.incarnation) == (held.reader, held.incarnation):
            return self.counter > held.counter
        if self.reader == held.reader:
            return True
        return rank_of(self.reader, ranking) < rank_of(held.reader, ranking)


def rank_of(vm_id: VmId, ranking: Sequence[VmId]) -> int:
    """Return the place of a reader in the ranking; one not in it comes last."""
    return ranking.index(vm_id) if vm_id in ranking else len(ranking)


@dataclass(slots=True)
class VmListCopy:
    """
    The copy that a process holds and hands on.

    ``held_until`` is the time until which the version counts as current unless
    its reader is heard again; ``past`` keeps the last lists by digest, so that
    only what changed needs to be handed on.
    """

    version: ListVersion | None = None
    held_until: float = 0.0
    digest: str = ""
    vms: Mapping[VmId, Vm] = field(default_factory=dict)
    past: OrderedDict[str, Mapping[VmId, Vm]] = field(default_factory=OrderedDict)

    def hold(self, version: ListVersion, vms: Mapping[VmId, Vm], now: float) -> None:
        """Hold a list; its VMs are shared with the last one where they are equal."""
        held = self.vms
        vms = {v: held[v] if held.get(v) == vm else vm for v, vm in vms.items()}
        self.version = version
        self.held_until = now + COPY_FRESH_S
        self.vms = vms
        self.digest = digest_of(vms)
        self.past[self.digest] = vms
        self.past.move_to_end(self.digest)
        while len(self.past) > KEPT_VERSIONS:
            self.past.popitem(last=False)

    def confirm(self, version: ListVersion, now: float) -> None:
        """Note that a reader still stands by the version held."""
        if version == self.version:
            self.held_until = now + COPY_FRESH_S

    def change_since(self, digest: str) -> ListChange:
        """Return what turns the list of that digest into the one held."""
        return change_between(self.past.get(digest), self.vms)


@dataclass(frozen=True, slots=True)
class ListChange:
    """What differs: VMs to set and VMs to drop; ``whole`` starts from nothing."""

    whole: bool
    set_vms: Mapping[VmId, Vm]
    dropped: Sequence[VmId]

    def to_text(self) -> str:
        """Return the change as it travels."""
        fields = {
            "whole": self.whole,
            "set": [asdict(vm) for vm in self.set_vms.values()],
            "dropped": list(self.dropped),
        }
        return json.dumps(fields, separators=(",", ":"))

    @classmethod
    def from_text(cls, text: str) -> ListChange:
        """
        Return the change behind a text that ``to_text`` made.

        Raise ``ValueError`` for any other text, as a later release may send.
        """
        try:
            fields: dict[str, Any] = json.loads(text)
            vms = [vm_from(entry) for entry in fields["set"]]
            set_vms = {vm.vm_id: vm for vm in vms}
            return cls(bool(fields["whole"]), set_vms, list(fields["dropped"]))
        except (AttributeError, KeyError, TypeError) as exc:
            raise ValueError(f"no change of a VM list: {exc!r}") from exc

    def apply_to(self, vms: Mapping[VmId, Vm]) -> dict[VmId, Vm]:
        """Return the list after the change."""
        changed = {} if self.whole else dict(vms)
        for vm_id in self.dropped:
            changed.pop(vm_id, None)
        changed.update(self.set_vms)
        return changed


def change_between(old: Mapping[VmId, Vm] | None, new: Mapping[VmId, Vm]) -> ListChange:
    """Return the change from one list to another."""
    if old is None:
        return ListChange(True, new, [])
    set_vms = {vm_id: vm for vm_id, vm in new.items() if old.get(vm_id) != vm}
    return ListChange(False, set_vms, [vm_id for vm_id in old if vm_id not in new])


def vm_from(entry: dict[str, Any]) -> Vm:
    """Return a VM from its fields."""
    return Vm(**{**entry, "role": Role(entry["role"])})


def digest_of(vms: Mapping[VmId, Vm]) -> str:
    """Return the digest of a list, whatever its order."""
    lines = [
        f"{vm.vm_id} {vm.role} {vm.address} {vm.rpc_port} {vm.failure_domain} "
        f"{vm.region} {vm.group} {vm.leaving}"
        for vm in vms.values()
    ]
    return xxhash.xxh3_128_hexdigest("\n".join(sorted(lines)).encode())
