"""The identity of a process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .identifiers import FailureDomain, Incarnation, Region, VmId


@dataclass(frozen=True, slots=True)
class Identity:
    """The identity of this process, fixed for its lifetime."""

    vm_id: VmId
    failure_domain: FailureDomain
    region: Region
    incarnation: Incarnation
