"""Heartbeats to peers, and from an entry to the servers that it is connected to."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import eventlet

from primroselever_core.identifiers import GroupName, Incarnation
from primroselever_core.membership.contact import record_tick
from primroselever_core.membership.peers import (
    connected_servers,
    heartbeat_peers,
    refresh_subsets,
)

from .. import clock
from ..logs import log_decision
from ..process import spawn_task

if TYPE_CHECKING:
    from random import Random

    from primroselever_core.membership.vm import Vm

    from ..rpc.handler import NodeHandler
    from .peer_client import PeerClient
    from .profiles import ProfilesController

PEER_HEARTBEAT_INTERVAL_S = 1.0
SERVER_HEARTBEATS_PER_S = 4
SERVER_ROUND_INTERVAL_S = 2.0
RECENT_SENDER_S = 60.0
LEAVING_TIMEOUT_S = 2.0


class HeartbeatController:
    """Keeps the state of other VMs current with a bounded rate of heartbeats."""

    def __init__(
        self, peers: PeerClient, profiles: ProfilesController, random: Random
    ) -> None:
        self.peers = peers
        self.profiles = profiles
        self.board = peers.board
        self.random = random
        self.remaining_in_round: deque[Vm] = deque()
        self.next_round_at = 0.0

    def detect_pause(self) -> None:
        """
        Record that the process runs; after a pause, contact peers immediately.

        The exchange runs in its own greenlet. Waiting here for peers that do not
        reply would delay the next call, which would then report another pause.
        """
        if record_tick(self.board.members.contact, clock.now()):
            log_decision(
                "pause",
                self.board.identity.vm_id,
                "contact peers",
                "the process was paused",
            )
            spawn_task(self.exchange_with_peers)

    def exchange_with_peers(self) -> None:
        """Exchange heartbeats with one or two peers and pull newer profiles."""
        for vm in heartbeat_peers(self.board, self.random, clock.now()):
            reply = self.peers.exchange_heartbeat(vm)
            if reply is not None:
                self.profiles.pull_if_behind(reply)

    def exchange_with_next_server(self) -> None:
        """Exchange a heartbeat with the next server that this entry is connected to."""
        for _ in refresh_subsets(self.board):
            eventlet.sleep(0)
        now = clock.now()
        if not self.remaining_in_round and now >= self.next_round_at:
            self.remaining_in_round.extend(self.list_connected_servers())
            self.next_round_at = now + SERVER_ROUND_INTERVAL_S
        if self.remaining_in_round:
            self.exchange_with_server(self.remaining_in_round.popleft())

    def list_connected_servers(self) -> list[Vm]:
        """Return this entry's connected servers of all groups in the profiles."""
        accepted = self.board.profiles.accepted
        if accepted is None:
            return []
        groups = {
            accepted.profiles.group_of(service)
            for service in accepted.profiles.services
        }
        names = [GroupName(group) for group in sorted(filter(None, groups))]
        vms = [vm for name in names for vm in connected_servers(self.board, name)]
        return list({vm.vm_id: vm for vm in vms}.values())

    def exchange_with_server(self, vm: Vm) -> None:
        """Exchange a heartbeat with a server; avoid it for a round on failure."""
        server = self.board.servers.get_server(vm)
        reply = self.peers.exchange_heartbeat(vm)
        if reply is None:
            server.avoid_until = max(
                server.avoid_until, clock.now() + SERVER_ROUND_INTERVAL_S
            )
            return
        server.incarnation = Incarnation(reply.incarnation)
        server.apply_report(reply.load.in_flight, reply.leaving, clock.now())

    def announce_leaving(self, handler: NodeHandler) -> None:
        """Tell the VMs that recently sent a heartbeat that this process is leaving."""
        since = clock.now() - RECENT_SENDER_S
        vms = self.board.members.vms
        recent_senders = [
            vm_id
            for vm_id, sent_at in handler.senders.items()
            if sent_at >= since and vm_id in vms
        ]
        pool = eventlet.GreenPool(8)
        for vm_id in recent_senders:
            pool.spawn_n(self.peers.exchange_heartbeat, vms[vm_id])
        with eventlet.Timeout(LEAVING_TIMEOUT_S, False):
            pool.waitall()
