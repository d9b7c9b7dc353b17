"""Parsing and validation of the VM list that the platform publishes."""

from __future__ import annotations

import json

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..identifiers import FailureDomain, GroupName, Region, VmId
from .vm import Role, Vm


class PublishedVm(BaseModel):
    """One entry of the published list; ``state`` is ``live`` or ``leaving``."""

    model_config = ConfigDict(extra="ignore")

    id: str = Field(min_length=1)
    role: Role
    address: str
    rpc_port: int = Field(ge=1, le=65535)
    failure_domain: str
    region: str
    group: str = ""
    state: str = "live"

    def to_vm(self) -> Vm:
        """Return the entry as a ``Vm``."""
        return Vm(
            vm_id=VmId(self.id),
            role=self.role,
            address=self.address,
            rpc_port=self.rpc_port,
            failure_domain=FailureDomain(self.failure_domain),
            region=Region(self.region),
            group=GroupName(self.group),
            leaving=self.state == "leaving",
        )


def parse_vm_list(text: str) -> list[Vm]:
    """
    Return the VMs of a published list; invalid entries are skipped.

    Text that is not JSON or has no list ``vms`` gives an empty result. The list is
    only a hint, and an empty list never removes a VM.
    """
    try:
        entries = json.loads(text)["vms"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return []
    if not isinstance(entries, list):
        return []
    vms = []
    for entry in entries:
        try:
            vms.append(PublishedVm.model_validate(entry).to_vm())
        except ValidationError:
            continue
    return vms
