"""Keeping the section on members up to date: read by few, handed on to the rest."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from primroselever_core.identifiers import GroupName, Incarnation, VmId
from primroselever_core.membership.contact import heard, missed
from primroselever_core.membership.events import VmListHeard, apply
from primroselever_core.membership.peers import place_of
from primroselever_core.membership.vm import Role, Vm
from primroselever_core.membership.vm_list_copy import (
    ListChange,
    ListVersion,
    digest_of,
)
from primroselever_core.profiles.watch import ServiceContact

from .. import clock
from ..exceptions import PlatformError
from ..rpc.publications import VM_LIST

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from ..platform.vm_list_service import VmListService
    from ..rpc.publications import Publications
    from .peer_client import PeerClient

READ_INTERVAL_S = 2.0
PARENT_WAIT_MS = 5000
START_JITTER_S = 0.5
STEP_S = 0.2

logger = logging.getLogger(__name__)


class MembersController:
    """Writes the section on members."""

    def __init__(
        self,
        peers: PeerClient,
        publications: Publications,
        service: VmListService,
        random: Random,
    ) -> None:
        self.board = peers.board
        self.section = self.board.members
        self.peers = peers
        self.publications = publications
        self.service = service
        self.random = random
        self.reading = ServiceContact(
            retry_at=clock.now() + random.uniform(0, START_JITTER_S)
        )
        self.counter = 0

    def step(self) -> None:
        """
        Read the list as a reader or at the start; else follow a parent.

        A parent may leave the list while the one before it is waited for.
        """
        now = clock.now()
        place = place_of(self.board, now)
        if not self.section.vms or place.watches:
            if now >= self.reading.retry_at:
                self.read(hand_on=place.watches and bool(self.section.vms))
            return
        for parent in place.parents:
            vm = self.section.vms.get(parent)
            if vm is not None and self.follow(vm):
                return

    def read(self, hand_on: bool) -> None:
        """Read the platform's list; keep the last one when it is not to be had."""
        try:
            vms = self.service.read()
        except PlatformError as exc:
            logger.warning("the VM list cannot be read: %s", exc)
            self.reading.failed(clock.now(), self.random)
            missed(self.section.contact, clock.now())
            return
        now = clock.now()
        heard(self.section.contact, now)
        held = self.section.listed
        listed = {v.vm_id: held[v.vm_id] if held.get(v.vm_id) == v else v for v in vms}
        if not listed:
            self.reading.failed(now, self.random)
            return
        self.reading.answered(now)
        self.reading.retry_at = now + READ_INTERVAL_S
        apply(VmListHeard(listed), self.section, now)
        if hand_on:
            self.hand_on(listed, now)

    def hand_on(self, listed: Mapping[VmId, Vm], now: float) -> None:
        """Hold a list that this process read, for those who follow it."""
        me = self.board.identity
        copy = self.section.copy
        mine = copy.version is not None and copy.version.reader == me.vm_id
        if mine and copy.version is not None and copy.digest == digest_of(listed):
            copy.confirm(copy.version, now)
            return
        self.counter += 1
        copy.hold(ListVersion(me.vm_id, me.incarnation, self.counter), listed, now)
        self.publications.announce(VM_LIST)

    def follow(self, parent: Vm, wait_ms: int = PARENT_WAIT_MS) -> bool:
        """Wait for a parent's news of the list; return whether it replied."""
        copy = self.section.copy
        reply = self.peers.fetch(parent, VM_LIST, 0, copy.digest, wait_ms)
        if reply is None:
            return False
        if reply.revision:
            self.take_in(reply)
        elif copy.version is not None:
            copy.confirm(copy.version, clock.now())
            self.section.listed_at = clock.now()
        return True

    def learn_from(self, said: Any) -> None:
        """
        Fetch the list from the sender of a heartbeat, if there is none yet.

        So a process that restarts while the platform is down finds its peers: they
        still send heartbeats to its VM.
        """
        me = self.board.identity
        if self.section.vms or said.failure_domain != me.failure_domain:
            return
        if not said.rpc_port:
            return
        sender = Vm(
            vm_id=VmId(said.vm_id),
            role=Role.AGENT,
            address=said.address,
            rpc_port=said.rpc_port,
            failure_domain=me.failure_domain,
            region=me.region,
            group=GroupName(""),
        )
        self.follow(sender, 0)

    def take_in(self, reply: Any) -> None:
        """Take in a list that was handed on, if it goes before the one held."""
        copy = self.section.copy
        now = clock.now()
        version = ListVersion(
            VmId(reply.reader), Incarnation(reply.reader_incarnation), reply.revision
        )
        ranking = self.section.ranking(self.board.identity.failure_domain)
        if not version.replaces(copy.version, copy.held_until, ranking, now):
            return
        try:
            vms = ListChange.from_text(reply.text.decode()).apply_to(copy.vms)
        except ValueError as exc:
            logger.warning("a VM list that was handed on is passed over: %s", exc)
            return
        if digest_of(vms) != reply.digest:
            copy.digest = ""
            return
        copy.hold(version, vms, now)
        apply(VmListHeard(vms), self.section, now)
        self.publications.announce(VM_LIST)
