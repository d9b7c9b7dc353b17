"""
Models of the values that operators publish: profiles, services and workspaces.

The models validate input from outside the process. ``ProfileSet`` is a complete
published value; it is immutable and only replaced as a whole.
"""

from __future__ import annotations

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field


class Objective(StrEnum):
    """What a rollout optimises for."""

    TIME_TO_REPLICAS = "time_to_replicas"
    ORIGIN_BYTES = "origin_bytes"


class Published(BaseModel):
    """Base of all published models: immutable, with unknown fields forbidden."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Profile(Published):
    """The model, adapter and version that the VMs of a group serve."""

    name: str = Field(min_length=1)
    group: str = Field(min_length=1)
    model: str = Field(min_length=1)
    adapter: str | None = None
    version: str = Field(min_length=1)
    objective: Objective = Objective.TIME_TO_REPLICAS
    min_serving: int = Field(default=0, ge=0)
    checks_fencing: bool = False


class Service(Published):
    """
    A service that callers name in the path of a request.

    It runs on the VMs of its profile's group or, for a plain service, on those of
    ``group``.
    """

    name: str = Field(min_length=1, pattern=r"^[a-z0-9][a-z0-9-]*$")
    profile: str | None = None
    group: str | None = None
    idempotent: bool


class Workspace(Published):
    """
    A workspace and the weight of its share when servers are busy.

    The weight is finite because an infinite one leaves the other shares undefined.
    """

    name: str = Field(min_length=1)
    share: float = Field(default=1.0, gt=0, allow_inf_nan=False)


class ProfileSet(Published):
    """A complete published value."""

    profiles: tuple[Profile, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] = ()

    def service(self, name: str) -> Service | None:
        """Return the service with the given name, or None."""
        return next((s for s in self.services if s.name == name), None)

    def profile_of_group(self, group: str) -> Profile | None:
        """Return the profile that selects a group, or None if no profile does."""
        return next((p for p in self.profiles if p.group == group), None)

    def group_of(self, service: Service) -> str | None:
        """Return the group whose VMs run a service, or None."""
        if service.group is not None:
            return service.group
        return next((p.group for p in self.profiles if p.name == service.profile), None)
