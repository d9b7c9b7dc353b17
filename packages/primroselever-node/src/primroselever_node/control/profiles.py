"""Keeping the section on profiles up to date: the highest valid revision."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from opentelemetry.metrics import get_meter

from primroselever_core.membership.contact import heard, missed
from primroselever_core.membership.peers import place_of
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

WATCH_S = 5.0
PARENT_WAIT_MS = 1500
STEP_S = 0.2
CANDIDATES = 12
READ_ALONE_S = 10.0

logger = logging.getLogger(__name__)
offers = get_meter(__name__).create_counter(
    "primroselever.profiles.offers",
    unit="{value}",
    description="Published values that were offered, by what became of them.",
)


class ProfilesController:
    """Writes the section on profiles."""

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
        Ask peers at the start; then watch the service or follow a parent.

        Only the first parent is waited for: when it is silent, it must show soon
        whether the others are, so that somebody else becomes a watcher.
        """
        now = clock.now()
        if self.inquiry is not None:
            self.ask_peers(self.inquiry)
            return
        place = place_of(self.board, now)
        if not self.board.members.vms:
            self.read_alone(now)
            return
        if place.watches:
            if now >= self.section.service.retry_at:
                self.watch(WATCH_S)
            return
        size = len(self.board.members.ranking(self.board.identity.failure_domain))
        if self.section.service.probes(size, STEP_S, now, self.random):
            self.watch(0.0)
        wait_ms = PARENT_WAIT_MS
        for parent in place.parents:
            vm = self.board.members.vms.get(parent)
            if vm is None:
                continue
            if self.pull(vm, wait_ms):
                return
            wait_ms = 0

    def read_alone(self, now: float) -> None:
        """
        Read the service now and then, without a VM list.

        No process can tell then whether it is one of the few that should watch, so
        none waits there.
        """
        service = self.section.service
        if now >= service.retry_at:
            self.watch(0.0)
            jitter_s = self.random.uniform(0.5, 1.0) * READ_ALONE_S
            service.retry_at = max(service.retry_at, clock.now() + jitter_s)

    def ask_peers(self, inquiry: StartInquiry) -> None:
        """Ask a few peers what is in force, before the service is believed."""
        candidates = self.candidates()
        for vm_id in inquiry.next_peers(candidates):
            inquiry.asked.add(vm_id)
            vm = self.board.members.vms.get(vm_id)
            if vm is not None and self.pull(vm, 0):
                inquiry.heard.add(vm_id)
        if inquiry.over(candidates, clock.now()):
            said = f"{len(inquiry.heard)} of {len(inquiry.asked)} peers answered"
            revision = str(self.section.revision.number)
            log_decision("profiles_at_start", revision, "ask the service", said)
            self.inquiry = None

    def candidates(self) -> list[VmId]:
        """Return the peers to ask: of this domain if there are any."""
        me = self.board.identity
        vms = [v for v in self.board.members.vms.values() if v.vm_id != me.vm_id]
        here = [v.vm_id for v in vms if v.failure_domain == me.failure_domain]
        away = [v.vm_id for v in vms if v.failure_domain != me.failure_domain]
        return top_ranked(me.vm_id, here or away, CANDIDATES)

    def watch(self, wait_s: float) -> None:
        """Wait at the service for one change and take it in."""
        contact = self.board.members.contact
        seen = max(self.section.revision.number, self.section.refused_revision.number)
        try:
            value = self.service.watch(PROFILES, seen, wait_s)
        except PlatformError as exc:
            logger.warning("profiles cannot be read: %s", exc)
            self.section.service.failed(clock.now(), self.random)
            missed(contact, clock.now())
            return
        self.section.service.answered(clock.now())
        heard(contact, clock.now())
        if value is not None:
            self.offer(value.revision, value.text, "configuration service")

    def pull_if_behind(self, said: Any) -> None:
        """Pull from a peer whose heartbeat shows a newer revision."""
        held = self.section.revision
        vm = self.board.members.vms.get(said.vm_id)
        if vm is None or self.pulling:
            return
        if (said.revision, said.revision_digest) > (held.number, held.digest):
            self.pulling = True
            try:
                self.pull(vm, 0)
            finally:
                self.pulling = False

    def pull(self, vm: Vm, wait_ms: int) -> bool:
        """Fetch what a VM holds if it is newer; return whether it replied."""
        held = self.section.revision
        reply = self.peers.fetch(vm, PROFILES, held.number, held.digest, wait_ms)
        if reply is None:
            return False
        if reply.revision:
            text = self.text_of(reply)
            if text is None:
                whole = self.peers.fetch(vm, PROFILES, held.number, "", 0)
                text = whole.text.decode() if whole and whole.revision else None
            if text is not None:
                self.offer(reply.revision, text, vm.vm_id)
        return True

    def text_of(self, reply: Any) -> str | None:
        """Return the whole text of a publication, or None if it does not fit."""
        if not reply.patched:
            return str(reply.text.decode())
        accepted = self.section.accepted
        patch = Patch(reply.front, reply.back, reply.text, reply.digest)
        old = accepted.text.encode() if accepted else b""
        new = apply_patch(old, patch)
        return None if new is None else new.decode()

    def offer(self, number: int, text: str, source: str) -> None:
        """Take in a value if it is newer than what is in force, and valid."""
        adoption = adopt(self.section, number, text, source, clock.now())
        offers.add(1, {"result": adoption})
        if adoption is Adoption.NOT_NEWER:
            return
        reason = f"from {source}"
        if adoption is Adoption.REFUSED:
            reason += "".join(f"; {found}" for found in self.section.refused_findings)
        log_decision("profiles", str(number), adoption, reason)
        if adoption is Adoption.ACCEPTED:
            self.publications.announce(PROFILES)
