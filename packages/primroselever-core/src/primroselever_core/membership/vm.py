"""A VM as described by the VM list."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..identifiers import FailureDomain, GroupName, Region, VmId


class Role(StrEnum):
    """The binary that runs on a VM."""

    ENTRY = "entry"
    AGENT = "agent"


@dataclass(frozen=True, slots=True)
class Vm:
    """
    One VM of the fleet; ``group`` is empty for entry VMs.

    ``leaving`` is the state in the VM list, which may lag behind the state that the
    VM itself reports.
    """

    vm_id: VmId
    role: Role
    address: str
    rpc_port: int
    failure_domain: FailureDomain
    region: Region
    group: GroupName
    leaving: bool = False
