"""The settings that both binaries share, validated at the border."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict, Field


class Settings(BaseModel):
    """The base of all settings: unknown fields are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Listen(Settings):
    """Where a process listens; port 0 takes any free port."""

    host: str = "127.0.0.1"
    port: int = Field(ge=0, le=65535)


class Platform(Settings):
    """
    The addresses of the platform's services, as URLs without a final slash.

    ``weight_store_domain`` is the failure domain in which the weight store stands.
    """

    configuration_service: str
    vm_list: str
    weight_store: str | None = None
    weight_store_domain: str | None = None
    origin: str | None = None


class Secrets(Settings):
    """Where the key that signs operation tickets comes from: one of the two."""

    ticket_key_file: str | None = None
    ticket_key_variable: str | None = None


class ProcessSettings(Settings):
    """What every process is told, whatever it does."""

    vm_id: str = Field(min_length=1)
    failure_domain: str = Field(min_length=1)
    region: str = Field(min_length=1)
    log_level: str = "INFO"


class NodeSettings(ProcessSettings):
    """
    What each process is told of itself and of the platform.

    ``shutdown_s`` bounds a graceful shutdown, in seconds.
    """

    rpc: Listen
    admin: Listen
    platform: Platform
    secrets: Secrets = Secrets()
    shutdown_s: float = Field(default=30.0, gt=0)
