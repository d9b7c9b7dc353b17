"""The ``check`` command of the agent."""

from __future__ import annotations

from primroselever_node.console.check import BaseCheckCommand

from ..settings import AgentSettings


class CheckCommand(BaseCheckCommand):
    """Check an agent's settings and, if given, profiles."""

    settings_model = AgentSettings
