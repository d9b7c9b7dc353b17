"""The ``check`` command of the entry."""

from __future__ import annotations

from primroselever_node.console.check import BaseCheckCommand

from ..settings import EntrySettings


class CheckCommand(BaseCheckCommand):
    """Check the settings of an entry and, if given, the profiles."""

    settings_model = EntrySettings
