"""Sending heartbeats: to peers, and from an entry to its subset of servers."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import eventlet

from primroselever_core.identifiers import GroupName, Incarnation
from primroselever_core.membership.contact import beat
from primroselever_core.membership.peers import (
    heartbeat_peers,
    refresh_subsets,
    subset_of,
)

from .. import clock
from ..logs import log_decision

if TYPE_CHECKING:
    from random import Random

    from primroselever_core.membership.vm import Vm

    from ..rpc.handler import NodeHandler
    from .peer_client import PeerClient
    from .profiles import ProfilesController

PEER_INTERVAL_S = 1.0
SUBSET_HEARTBEATS_PER_S = 4
SUBSET_ROUND_S = 2.0
LEAVING_SENDER_S = 60.0
LEAVING_WAIT_S = 2.0


class HeartbeatController:
    """Keeps what is known of others fresh, within a fixed number of messages."""

    def __init__(
        self, peers: PeerClient, profiles: ProfilesController, random: Random
    ) -> None:
        self.peers = peers
        self.profiles = profiles
        self.board = peers.board
        self.random = random
        self.due: deque[Vm] = deque()
        self.next_round_at = 0.0

    def beat(self) -> None:
        """
        Note that the process runs; after a pause, ask around at once.

        Nobody is waited for here: the next beat would be late by as long as peers
        are silent, and be taken for another pause.
        """
        if beat(self.board.members.contact, clock.now()):
            log_decision("pause", self.board.identity.vm_id, "rejoin", "ran late")
            eventlet.spawn_n(self.exchange)

    def exchange(self) -> None:
        """Exchange heartbeats with one or two peers and catch up with them."""
        for vm in heartbeat_peers(self.board, self.random, clock.now()):
            said = self.peers.heartbeat(vm)
            if said is not None:
                self.profiles.pull_if_behind(said)

    def visit_subset(self) -> None:
        """Send one heartbeat to the next server of this entry's subset."""
        for _ in refresh_subsets(self.board):
            eventlet.sleep(0)
        now = clock.now()
        if not self.due and now >= self.next_round_at:
            self.due.extend(self.servers())
            self.next_round_at = now + SUBSET_ROUND_S
        if self.due:
            self.visit(self.due.popleft())

    def servers(self) -> list[Vm]:
        """Return the servers of all groups that the profiles in force name."""
        accepted = self.board.profiles.accepted
        if accepted is None:
            return []
        groups = {accepted.profiles.group_of(s) for s in accepted.profiles.services}
        names = [GroupName(group) for group in sorted(filter(None, groups))]
        vms = [vm for name in names for vm in subset_of(self.board, name)]
        return list({vm.vm_id: vm for vm in vms}.values())

    def visit(self, vm: Vm) -> None:
        """Exchange a heartbeat with a server and note what it says."""
        server = self.board.servers.of(vm)
        said = self.peers.heartbeat(vm)
        if said is None:
            server.avoid_until = max(server.avoid_until, clock.now() + SUBSET_ROUND_S)
            return
        server.incarnation = Incarnation(said.incarnation)
        server.take_report(said.load.in_flight, said.leaving, clock.now())

    def announce_leaving(self, handler: NodeHandler) -> None:
        """Tell those who lately sent a heartbeat that this process is leaving."""
        since = clock.now() - LEAVING_SENDER_S
        vms = self.board.members.vms
        senders = [v for v, at in handler.senders.items() if at >= since and v in vms]
        pool = eventlet.GreenPool(8)
        for vm_id in senders:
            pool.spawn_n(self.peers.heartbeat, vms[vm_id])
        with eventlet.Timeout(LEAVING_WAIT_S, False):
            pool.waitall()
