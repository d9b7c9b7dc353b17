"""The settings that both binaries share, validated when they are loaded."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict, Field


class Settings(BaseModel):
    """Base of all settings models; unknown fields are an error."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ListenAddress(Settings):
    """An address on which a process listens; port 0 selects any free port."""

    host: str = "127.0.0.1"
    port: int = Field(ge=0, le=65535)


class Platform(Settings):
    """
    The URLs of the platform's services, without a trailing slash.

    ``weight_store_domain`` is the failure domain in which the weight store runs.
    """

    configuration_service: str
    vm_list: str
    weight_store: str | None = None
    weight_store_domain: str | None = None
    origin: str | None = None


class Secrets(Settings):
    """The source of the key that signs operation tickets; at most one may be set."""

    ticket_key_file: str | None = None
    ticket_key_variable: str | None = None


class ProcessSettings(Settings):
    """The settings of every process."""

    vm_id: str = Field(min_length=1)
    failure_domain: str = Field(min_length=1)
    region: str = Field(min_length=1)
    log_level: str = "INFO"


class NodeSettings(ProcessSettings):
    """
    The settings of an entry or agent: its addresses, the platform and secrets.

    ``shutdown_s`` limits the duration of a graceful shutdown, in seconds.
    """

    rpc: ListenAddress
    admin: ListenAddress
    platform: Platform
    secrets: Secrets = Secrets()
    shutdown_s: float = Field(default=30.0, gt=0)
