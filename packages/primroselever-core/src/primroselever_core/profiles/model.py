"""
What operators publish: profiles, services and workspaces.

These are the models at the border. ``ProfileSet`` is a whole published value; it
is replaced as a whole and never changed.
"""

from __future__ import annotations

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field


class Objective(StrEnum):
    """What a rollout weighs most."""

    TIME_TO_REPLICAS = "time_to_replicas"
    ORIGIN_BYTES = "origin_bytes"


class Published(BaseModel):
    """The base of all published models: frozen, and unknown fields are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Profile(Published):
    """Which model, adapter and version the VMs of a group serve."""

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

    It runs on the VMs of its profile's group or, for a plain service, of the
    group that it names itself.
    """

    name: str = Field(min_length=1, pattern=r"^[a-z0-9][a-z0-9-]*$")
    profile: str | None = None
    group: str | None = None
    idempotent: bool


class Workspace(Published):
    """
    A workspace and the weight of its share when servers are busy.

    The weight is finite: beside an infinite one no other share can be worked out.
    """

    name: str = Field(min_length=1)
    share: float = Field(default=1.0, gt=0, allow_inf_nan=False)


class ProfileSet(Published):
    """A whole published value."""

    profiles: tuple[Profile, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] = ()

    def service(self, name: str) -> Service | None:
        """Return the service of that name, or None."""
        return next((s for s in self.services if s.name == name), None)

    def profile_of_group(self, group: str) -> Profile | None:
        """Return the profile that selects a group, or None for plain services."""
        return next((p for p in self.profiles if p.group == group), None)

    def group_of(self, service: Service) -> str | None:
        """Return the group on whose VMs a service runs, or None."""
        if service.group is not None:
            return service.group
        return next((p.group for p in self.profiles if p.name == service.profile), None)
