"""The settings of an agent whose engine is called directly by entries."""

from __future__ import annotations

from primroselever_node.direct.settings import DirectSettings, Endpoint


class DirectAgentSettings(DirectSettings):
    """
    The settings of an agent in direct mode.

    ``engine`` is the address of the model server on this VM, ``service`` its service.
    """

    engine: Endpoint
    service: str
