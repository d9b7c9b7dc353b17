"""The settings of an agent whose engine is called directly by entries."""

from __future__ import annotations

from pydantic import Field

from primroselever_core.filling.link_rate import DEFAULT_BYTES_PER_S, LINK_SHARE
from primroselever_node.direct.settings import DirectSettings, Endpoint


class DirectAgentSettings(DirectSettings):
    """
    The settings of an agent in direct mode.

    ``engine`` is the address of the model server on this VM, ``service`` its service.
    ``link_mbit_per_s`` is the rate of the VM's link. It is used to predict the duration
    of a fill until a rate is measured; without it, a rate of 3.6 Mbit/s is assumed.
    ``server_memory`` makes the agent report the memory of its engine.
    """

    engine: Endpoint
    service: str
    server_memory: bool = False
    link_mbit_per_s: float | None = Field(default=None, gt=0)

    @property
    def link_bytes_per_s(self) -> float:
        """Return the rate at which pieces are expected to arrive, in bytes a second."""
        if self.link_mbit_per_s is None:
            return DEFAULT_BYTES_PER_S
        return self.link_mbit_per_s * 1e6 / 8 * LINK_SHARE
