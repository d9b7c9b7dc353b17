"""The control plane of one process, the same in the entry and the agent."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from primroselever_core.membership.contact import TICK_INTERVAL_S

from ..platform.configuration_service import ConfigurationService
from ..platform.vm_list_service import VmListService
from ..process import run_controller, spawn_task
from ..rpc.client_pool import ClientPool
from ..rpc.handler import NodeHandler
from ..rpc.publications import Publications
from ..rpc.schema import schema
from . import members, profiles
from .heartbeats import (
    PEER_HEARTBEAT_INTERVAL_S,
    SERVER_HEARTBEATS_PER_S,
    HeartbeatController,
)
from .members import MembersController
from .metrics import observe_control
from .peer_client import PeerClient
from .profiles import ProfilesController

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard

    from ..settings.model import Platform


class ControlPlane:
    """
    The controllers of profiles, members and heartbeats of one process.

    ``handler`` answers the calls of other processes. The binary serves it directly
    or delegates calls to it from a handler of its own.
    """

    def __init__(self, board: Blackboard, platform: Platform) -> None:
        self.board = board
        random = Random()
        self.publications = Publications(board)
        self.handler = NodeHandler(board, self.publications)
        peers = PeerClient(self.handler, ClientPool(schema.Node))
        self.profiles = ProfilesController(
            peers,
            self.publications,
            ConfigurationService(platform.configuration_service),
            random,
        )
        self.members = MembersController(
            peers, self.publications, VmListService(platform.vm_list), random
        )
        self.heartbeats = HeartbeatController(peers, self.profiles, random)
        self.handler.on_heartbeat = self.catch_up_with_sender

    def catch_up_with_sender(self, heartbeat: Any) -> None:
        """
        Pull the VM list or newer profiles from the sender of a heartbeat.

        The calls run in greenlets of their own, so that the sender does not wait
        for them.
        """
        if not self.board.members.vms:
            spawn_task(self.members.fetch_first_list, heartbeat)
        held = self.board.profiles.revision
        if (heartbeat.revision, heartbeat.revision_digest) > (held.number, held.digest):
            spawn_task(self.profiles.pull_if_behind, heartbeat)

    def start(self, send_server_heartbeats: bool = False) -> None:
        """Start the controllers; an entry also sends heartbeats to its servers."""
        observe_control(self.board)
        run_controller(self.heartbeats.detect_pause, TICK_INTERVAL_S)
        run_controller(self.members.step, members.STEP_INTERVAL_S)
        run_controller(self.profiles.step, profiles.STEP_INTERVAL_S)
        run_controller(self.heartbeats.exchange_with_peers, PEER_HEARTBEAT_INTERVAL_S)
        if send_server_heartbeats:
            run_controller(
                self.heartbeats.exchange_with_next_server,
                1.0 / SERVER_HEARTBEATS_PER_S,
            )

    def announce_leaving(self) -> None:
        """Tell the VMs that use this process that it is leaving."""
        self.heartbeats.announce_leaving(self.handler)
