"""
The copy of the VM list that is distributed within a failure domain.

The watchers of the domain, here called readers, read the list from the platform, where
it has no revision. Copies of one incarnation of a reader are ordered by its counter,
never by a clock. A copy of a reader that ranks lower than that of the current copy is
only accepted once the current copy was not confirmed for ``COPY_FRESH_S``, so that two
copies cannot keep replacing each other.
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
MAX_RECENT_LISTS = 4


@dataclass(frozen=True, slots=True)
class ListVersion:
    """The reader of a list, its incarnation, and how many changes it had read."""

    reader: VmId
    incarnation: Incarnation
    counter: int

    def replaces(
        self,
        current: ListVersion | None,
        current_until: float,
        ranking: Sequence[VmId],
        now: float,
    ) -> bool:
        """Return whether this version replaces the current one."""
        if current is None or now >= current_until:
            return True
        if (self.reader, self.incarnation) == (current.reader, current.incarnation):
            return self.counter > current.counter
        if self.reader == current.reader:
            return True
        return rank_of(self.reader, ranking) < rank_of(current.reader, ranking)


def rank_of(vm_id: VmId, ranking: Sequence[VmId]) -> int:
    """Return the position of a reader in the ranking; an unranked one is last."""
    return ranking.index(vm_id) if vm_id in ranking else len(ranking)


@dataclass(slots=True)
class VmListCopy:
    """
    The copy of the VM list that a process holds and serves to other processes.

    Until ``precedence_until`` the version takes precedence over copies of readers that
    rank lower; each confirmation extends that time. ``recent_lists`` maps digests
    to the last lists, so that a process that has one of them is sent only the
    changes.
    """

    version: ListVersion | None = None
    precedence_until: float = 0.0
    digest: str = ""
    vms: Mapping[VmId, Vm] = field(default_factory=dict)
    recent_lists: OrderedDict[str, Mapping[VmId, Vm]] = field(
        default_factory=OrderedDict
    )

    def replace_list(
        self, version: ListVersion, vms: Mapping[VmId, Vm], now: float
    ) -> None:
        """Replace the current list; unchanged VMs share the objects of the old one."""
        old = self.vms
        vms = {v: old[v] if old.get(v) == vm else vm for v, vm in vms.items()}
        self.version = version
        self.precedence_until = now + COPY_FRESH_S
        self.vms = vms
        self.digest = digest_of(vms)
        self.recent_lists[self.digest] = vms
        self.recent_lists.move_to_end(self.digest)
        while len(self.recent_lists) > MAX_RECENT_LISTS:
            self.recent_lists.popitem(last=False)

    def confirm(self, version: ListVersion, now: float) -> None:
        """Record that the reader has confirmed a version, if it is the current one."""
        if version == self.version:
            self.precedence_until = now + COPY_FRESH_S

    def change_since(self, digest: str) -> ListChange:
        """Return the change from the list with a digest to the current list."""
        return change_between(self.recent_lists.get(digest), self.vms)


@dataclass(frozen=True, slots=True)
class ListChange:
    """
    The VMs to set in a list and those to drop from it.

    A change that is ``whole`` replaces the list.
    """

    whole: bool
    set_vms: Mapping[VmId, Vm]
    dropped: Sequence[VmId]

    def to_text(self) -> str:
        """Return the change as JSON text for sending to other processes."""
        fields = {
            "whole": self.whole,
            "set": [asdict(vm) for vm in self.set_vms.values()],
            "dropped": list(self.dropped),
        }
        return json.dumps(fields, separators=(",", ":"))

    @classmethod
    def from_text(cls, text: str) -> ListChange:
        """
        Return the change in a text that ``to_text`` returned.

        Raise ``ValueError`` for any other text, such as one from a later release.
        """
        try:
            fields: dict[str, Any] = json.loads(text)
            vms = [vm_from_fields(entry) for entry in fields["set"]]
            set_vms = {vm.vm_id: vm for vm in vms}
            return cls(bool(fields["whole"]), set_vms, list(fields["dropped"]))
        except (AttributeError, KeyError, TypeError) as exc:
            raise ValueError(f"invalid change of a VM list: {exc!r}") from exc

    def apply_to(self, vms: Mapping[VmId, Vm]) -> dict[VmId, Vm]:
        """Return the list with the change applied."""
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


def vm_from_fields(entry: dict[str, Any]) -> Vm:
    """Return the VM that serialised fields describe."""
    return Vm(**{**entry, "role": Role(entry["role"])})


def digest_of(vms: Mapping[VmId, Vm]) -> str:
    """Return the digest of a list; the order of the VMs does not matter."""
    lines = [
        f"{vm.vm_id} {vm.role} {vm.address} {vm.rpc_port} {vm.failure_domain} "
        f"{vm.region} {vm.group} {vm.leaving}"
        for vm in vms.values()
    ]
    return xxhash.xxh3_128_hexdigest("\n".join(sorted(lines)).encode())
