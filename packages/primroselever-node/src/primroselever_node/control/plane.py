"""All parts of control in one process, wired together; the same in both binaries."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

import eventlet

from primroselever_core.membership.contact import BEAT_INTERVAL_S

from ..platform.configuration_service import ConfigurationService
from ..platform.vm_list_service import VmListService
from ..process import run_controller
from ..rpc.client_pool import ClientPool
from ..rpc.handler import NodeHandler
from ..rpc.publications import Publications
from ..rpc.schema import schema
from . import members, profiles
from .heartbeats import (
    PEER_INTERVAL_S,
    SUBSET_HEARTBEATS_PER_S,
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
    Profiles, members and heartbeats of one process.

    ``handler`` answers the calls of other processes; serve it, or let a handler of
    the binary pass those calls on.
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
        self.handler.on_heartbeat = self.heard

    def heard(self, said: Any) -> None:
        """Catch up with a sender that is ahead, without making it wait."""
        if not self.board.members.vms:
            eventlet.spawn_n(self.members.learn_from, said)
        held = self.board.profiles.revision
        if (said.revision, said.revision_digest) > (held.number, held.digest):
            eventlet.spawn_n(self.profiles.pull_if_behind, said)

    def start(self, visit_servers: bool = False) -> None:
        """Start the controllers; an entry also visits its subset of servers."""
        observe_control(self.board)
        run_controller(self.heartbeats.beat, BEAT_INTERVAL_S)
        run_controller(self.members.step, members.STEP_S)
        run_controller(self.profiles.step, profiles.STEP_S)
        run_controller(self.heartbeats.exchange, PEER_INTERVAL_S)
        if visit_servers:
            run_controller(self.heartbeats.visit_subset, 1.0 / SUBSET_HEARTBEATS_PER_S)

    def announce_leaving(self) -> None:
        """Tell those who count on this process that it is leaving."""
        self.heartbeats.announce_leaving(self.handler)
