"""The settings of an agent whose engine is called directly."""

from __future__ import annotations

from primroselever_node.direct.settings import DirectSettings, Endpoint


class DirectAgentSettings(DirectSettings):
    """
    The settings of such an agent.

    ``engine`` is the address of the model server on this VM, ``service`` its service.
    """

    engine: Endpoint
    service: str
