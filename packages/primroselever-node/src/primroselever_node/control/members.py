"""Keeping the section on members up to date."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from .. import clock
from ..exceptions import PlatformError

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard

    from ..platform.vm_list_service import VmListService

logger = logging.getLogger(__name__)


class MembersController:
    """Writes the section on members from the VM list."""

    def __init__(self, board: Blackboard, service: VmListService) -> None:
        self.board = board
        self.service = service

    def step(self) -> None:
        """Read the list once; keep the last one when it is not to be had."""
        try:
            vms = self.service.read()
        except PlatformError as exc:
            logger.warning("the VM list cannot be read: %s", exc)
            return
        if vms:
            self.board.members.vms = {vm.vm_id: vm for vm in vms}
            self.board.members.listed_at = clock.now()
