"""Keeping the profiles section at the highest valid revision."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from opentelemetry.metrics import get_meter

from primroselever_core.membership.contact import record_answer, record_failed_call
from primroselever_core.membership.peers import own_tree_place
from primroselever_core.profiles.adopt import Adoption, adopt
from primroselever_core.profiles.patch import Patch, apply_patch
from primroselever_core.profiles.start import StartInquiry
from primroselever_core.profiles.watch import SERVICE_SILENT_S
from primroselever_core.rendezvous import top_ranked

from .. import clock
from ..exceptions import PlatformError
from ..logs import log_decision
from ..rpc.publications import PROFILES

if TYPE_CHECKING:
    from random import Random

    from primroselever_core.identifiers import VmId
    from primroselever_core.membership.vm import Vm

    from ..platform.configuration_service import ConfigurationService
    from ..rpc.publications import Publications
    from .peer_client import PeerClient

WATCH_WAIT_S = 5.0
PARENT_WAIT_MS = 1500
STEP_INTERVAL_S = 0.2
MAX_CANDIDATES = 12
MAX_POLL_INTERVAL_S = 10.0

logger = logging.getLogger(__name__)
offers = get_meter(__name__).create_counter(
    "primroselever.profiles.offers",
    unit="{value}",
    description="Published values that were offered, by what became of them.",
)


class ProfilesController:
    """Writes the profiles section of the blackboard."""

    def __init__(
        self,
        peers: PeerClient,
        publications: Publications,
        service: ConfigurationService,
        random: Random,
    ) -> None:
        self.board = peers.board
        self.section = self.board.profiles
        self.peers = peers
        self.publications = publications
        self.service = service
        self.random = random
        self.inquiry: StartInquiry | None = StartInquiry.begin(clock.now())
        self.pulling = False
        self.section.service.grace_until = clock.now() + SERVICE_SILENT_S

    def step(self) -> None:
        """
        Query peers at the start; then watch the service or pull from a parent.

        Only the call to the first parent waits for a change. If that parent is
        silent, the calls to the others must show quickly whether they are silent
        too, so that another process becomes a watcher.
        """
        now = clock.now()
        if self.inquiry is not None:
            self.query_peers(self.inquiry)
            return
        place = own_tree_place(self.board, now)
        if not self.board.members.vms:
            self.poll_without_vm_list(now)
            return
        if place.watches:
            if now >= self.section.service.retry_at:
                self.watch_service(WATCH_WAIT_S)
            return
        size = len(self.board.members.ranking(self.board.identity.failure_domain))
        if self.section.service.should_probe(size, STEP_INTERVAL_S, now, self.random):
            self.watch_service(0.0)
        wait_ms = PARENT_WAIT_MS
        for parent in place.parents:
            vm = self.board.members.vms.get(parent)
            if vm is None:
                continue
            if self.pull_from(vm, wait_ms):
                return
            wait_ms = 0

    def poll_without_vm_list(self, now: float) -> None:
        """
        Poll the service at random intervals while there is no VM list.

        Without the list no process can determine whether it is one of the few
        watchers, so none makes a call that waits at the service.
        """
        service_contact = self.section.service
        if now >= service_contact.retry_at:
            self.watch_service(0.0)
            interval_s = self.random.uniform(0.5, 1.0) * MAX_POLL_INTERVAL_S
            service_contact.retry_at = max(
                service_contact.retry_at, clock.now() + interval_s
            )

    def query_peers(self, inquiry: StartInquiry) -> None:
        """Pull the profiles in force from a few peers before using the service."""
        candidates = self.candidate_peers()
        for vm_id in inquiry.next_peers(candidates):
            inquiry.asked.add(vm_id)
            vm = self.board.members.vms.get(vm_id)
            if vm is not None and self.pull_from(vm, 0):
                inquiry.answered.add(vm_id)
        if inquiry.is_over(candidates, clock.now()):
            reason = f"{len(inquiry.answered)} of {len(inquiry.asked)} peers replied"
            revision = str(self.section.revision.number)
            log_decision("profiles_at_start", revision, "query the service", reason)
            self.inquiry = None

    def candidate_peers(self) -> list[VmId]:
        """Return the peers to query, from this failure domain if it has any."""
        identity = self.board.identity
        vms = [
            vm for vm in self.board.members.vms.values() if vm.vm_id != identity.vm_id
        ]
        local = [vm.vm_id for vm in vms if vm.failure_domain == identity.failure_domain]
        remote = [
            vm.vm_id for vm in vms if vm.failure_domain != identity.failure_domain
        ]
        return top_ranked(identity.vm_id, local or remote, MAX_CANDIDATES)

    def watch_service(self, wait_s: float) -> None:
        """Wait up to ``wait_s`` seconds at the service for a newer value; adopt it."""
        contact = self.board.members.contact
        last_seen = max(
            self.section.revision.number, self.section.refused_revision.number
        )
        try:
            value = self.service.watch(PROFILES, last_seen, wait_s)
        except PlatformError as exc:
            logger.warning("profiles cannot be read: %s", exc)
            self.section.service.record_failure(clock.now(), self.random)
            record_failed_call(contact, clock.now())
            return
        self.section.service.record_answer(clock.now())
        record_answer(contact, clock.now())
        if value is not None:
            self.adopt_value(value.revision, value.text, "configuration service")

    def pull_if_behind(self, heartbeat: Any) -> None:
        """Pull from a peer whose heartbeat shows a newer revision."""
        held = self.section.revision
        vm = self.board.members.vms.get(heartbeat.vm_id)
        if vm is None or self.pulling:
            return
        if (heartbeat.revision, heartbeat.revision_digest) > (held.number, held.digest):
            self.pulling = True
            try:
                self.pull_from(vm, 0)
            finally:
                self.pulling = False

    def pull_from(self, vm: Vm, wait_ms: int) -> bool:
        """
        Fetch a VM's profiles if they are newer, and adopt them.

        Wait up to ``wait_ms`` milliseconds for a change. Return whether the VM
        replied.
        """
        held = self.section.revision
        reply = self.peers.fetch_publication(
            vm, PROFILES, held.number, held.digest, wait_ms
        )
        if reply is None:
            return False
        if reply.revision:
            text = self.decode_profiles(reply)
            if text is not None:
                self.adopt_value(reply.revision, text, vm.vm_id)
            else:
                self.pull_whole_value(vm, held.number)
        return True

    def pull_whole_value(self, vm: Vm, held_number: int) -> None:
        """Fetch a VM's profiles without a patch, and adopt them."""
        reply = self.peers.fetch_publication(vm, PROFILES, held_number, "", 0)
        if reply is not None and reply.revision:
            self.adopt_value(reply.revision, reply.text.decode(), vm.vm_id)

    def decode_profiles(self, reply: Any) -> str | None:
        """Return the full text of a publication, or None if a patch does not apply."""
        if not reply.patched:
            return str(reply.text.decode())
        accepted = self.section.accepted
        patch = Patch(reply.front, reply.back, reply.text, reply.digest)
        old = accepted.text.encode() if accepted else b""
        new = apply_patch(old, patch)
        return None if new is None else new.decode()

    def adopt_value(self, number: int, text: str, source: str) -> None:
        """Put a value in force if it is valid and newer than the current one."""
        adoption = adopt(self.section, number, text, source, clock.now())
        offers.add(1, {"result": adoption})
        if adoption is Adoption.NOT_NEWER:
            return
        reason = f"from {source}"
        if adoption is Adoption.REFUSED:
            reason += "".join(
                f"; {finding}" for finding in self.section.refused_findings
            )
        log_decision("profiles", str(number), adoption, reason)
        if adoption is Adoption.ACCEPTED:
            self.publications.notify_changed(PROFILES)
