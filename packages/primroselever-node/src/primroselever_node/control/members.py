"""Keeping the members section up to date: a few VMs read the list, others copy it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from primroselever_core.identifiers import GroupName, Incarnation, VmId
from primroselever_core.membership.contact import record_answer, record_failed_call
from primroselever_core.membership.events import VmListReceived, apply
from primroselever_core.membership.peers import own_tree_place
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
MAX_START_DELAY_S = 0.5
STEP_INTERVAL_S = 0.2

logger = logging.getLogger(__name__)


class MembersController:
    """Writes the members section of the blackboard."""

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
        self.service_contact = ServiceContact(
            retry_at=clock.now() + random.uniform(0, MAX_START_DELAY_S)
        )
        self.revision_counter = 0

    def step(self) -> None:
        """
        Read the list from the platform, or wait for a change at a parent.

        The platform is read by watchers, and by every process that has no list yet.
        A parent may drop out of the list during the call to the previous parent.
        """
        now = clock.now()
        place = own_tree_place(self.board, now)
        if not self.section.vms or place.watches:
            if now >= self.service_contact.retry_at:
                self.read_list(publish=place.watches and bool(self.section.vms))
            return
        for parent in place.parents:
            vm = self.section.vms.get(parent)
            if vm is not None and self.fetch_list(vm):
                return

    def read_list(self, publish: bool) -> None:
        """Read the platform's list; keep the last one if that fails."""
        try:
            vms = self.service.read_vms()
        except PlatformError as exc:
            logger.warning("the VM list cannot be read: %s", exc)
            self.service_contact.record_failure(clock.now(), self.random)
            record_failed_call(self.section.contact, clock.now())
            return
        now = clock.now()
        record_answer(self.section.contact, now)
        held = self.section.listed
        listed = {
            vm.vm_id: held[vm.vm_id] if held.get(vm.vm_id) == vm else vm for vm in vms
        }
        if not listed:
            logger.warning("the VM list is empty; the last one stays in force")
            self.service_contact.record_failure(now, self.random)
            return
        self.service_contact.record_answer(now)
        self.service_contact.retry_at = now + READ_INTERVAL_S
        apply(VmListReceived(listed), self.section, now)
        if publish:
            self.publish_list(listed, now)

    def publish_list(self, listed: Mapping[VmId, Vm], now: float) -> None:
        """Make a list that this process read available to other processes."""
        identity = self.board.identity
        copy = self.section.copy
        read_here = copy.version is not None and copy.version.reader == identity.vm_id
        if read_here and copy.version is not None and copy.digest == digest_of(listed):
            copy.confirm(copy.version, now)
            return
        self.revision_counter += 1
        copy.replace_list(
            ListVersion(identity.vm_id, identity.incarnation, self.revision_counter),
            listed,
            now,
        )
        self.publications.notify_changed(VM_LIST)

    def fetch_list(self, peer: Vm, wait_ms: int = PARENT_WAIT_MS) -> bool:
        """
        Fetch a peer's list if it differs from the local copy.

        Wait up to ``wait_ms`` milliseconds for a change. Return whether the peer
        replied.
        """
        copy = self.section.copy
        reply = self.peers.fetch_publication(peer, VM_LIST, 0, copy.digest, wait_ms)
        if reply is None:
            return False
        if reply.revision:
            self.adopt_list(reply)
        elif copy.version is not None:
            copy.confirm(copy.version, clock.now())
            self.section.listed_at = clock.now()
        return True

    def fetch_first_list(self, heartbeat: Any) -> None:
        """
        Fetch the list from the sender of a heartbeat, if there is none yet.

        A process that restarts while the platform is down finds its peers this way,
        because they keep sending heartbeats to its VM.
        """
        identity = self.board.identity
        if self.section.vms or heartbeat.failure_domain != identity.failure_domain:
            return
        if not heartbeat.rpc_port:
            return
        sender = Vm(
            vm_id=VmId(heartbeat.vm_id),
            role=Role.AGENT,
            address=heartbeat.address,
            rpc_port=heartbeat.rpc_port,
            failure_domain=identity.failure_domain,
            region=identity.region,
            group=GroupName(""),
        )
        self.fetch_list(sender, 0)

    def adopt_list(self, reply: Any) -> None:
        """Adopt a peer's list if its version replaces the one held."""
        copy = self.section.copy
        now = clock.now()
        version = ListVersion(
            VmId(reply.reader), Incarnation(reply.reader_incarnation), reply.revision
        )
        ranking = self.section.ranking(self.board.identity.failure_domain)
        if not version.replaces(copy.version, copy.precedence_until, ranking, now):
            return
        try:
            vms = ListChange.from_text(reply.text.decode()).apply_to(copy.vms)
        except ValueError as exc:
            logger.warning("ignoring a VM list from a peer: %s", exc)
            return
        if digest_of(vms) != reply.digest:
            logger.warning("a VM list from a peer does not match its digest")
            copy.digest = ""
            return
        copy.replace_list(version, vms, now)
        apply(VmListReceived(vms), self.section, now)
        self.publications.notify_changed(VM_LIST)
