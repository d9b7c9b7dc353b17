"""
Finding the manifest of a version.

In each failure domain one VM, by rendezvous hash, reads it from the weight store
or the origin, and all others get it from that one, so that a domain agrees on the
content even while it changes at the source.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import eventlet

from primroselever_core.rendezvous import ranked
from primroselever_core.transfer.manifest import Manifest
from primroselever_node import clock
from primroselever_node.exceptions import WeightSourceError
from primroselever_node.logs import log_decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroselever_core.board import Blackboard
    from primroselever_core.identifiers import VmId
    from primroselever_core.transfer.manifest import VersionName
    from primroselever_node.platform.weight_source import WeightSource

    from .peers import Peers

READERS_PER_DOMAIN = 3
MAX_FURTHER_PEERS = 8
READER_TAKEOVER_S = 2.0
ASK_AGAIN_S = 0.1

logger = logging.getLogger(__name__)


class ManifestFinder:
    """Finds manifests at peers first, then at the sources."""

    def __init__(
        self, board: Blackboard, peers: Peers, sources: dict[str, WeightSource]
    ) -> None:
        self.board = board
        self.peers = peers
        self.sources = sources

    def ranking(self, name: VersionName) -> list[VmId]:
        """Return the VMs of this domain, the reader of the manifest first."""
        near = [vm.vm_id for vm in self.peers.near()]
        return ranked(f"manifest {name}", [*near, self.board.identity.vm_id])

    def find(
        self, name: VersionName, still_wanted: Callable[[], bool]
    ) -> Manifest | None:
        """
        Return a version's manifest, or None when it is not to be had now.

        Each reader in the ranking waits ``READER_TAKEOVER_S`` longer than the one
        before it, and all other VMs longer than the last reader.
        """
        mine = self.board.identity.vm_id
        readers = self.ranking(name)[:READERS_PER_DOMAIN]
        is_reader = mine in readers
        position = readers.index(mine) if is_reader else READERS_PER_DOMAIN
        found = self.ask_all([vm for vm in readers if vm != mine], name)
        deadline = clock.now() + READER_TAKEOVER_S * position
        while found is None and clock.now() < deadline and still_wanted():
            eventlet.sleep(ASK_AGAIN_S)
            found = self.ask_all(readers[:position], name)
        if found is None and not is_reader:
            found = self.ask_further(name)
        return found or self.read(name) or self.ask_further(name)

    def ask_all(self, vm_ids: list[VmId], name: VersionName) -> Manifest | None:
        """Return the first manifest that one of some VMs gives."""
        for vm_id in vm_ids:
            found = self.ask(vm_id, name)
            if found is not None:
                return found
        return None

    def ask(self, vm_id: VmId, name: VersionName) -> Manifest | None:
        """Return the manifest that a VM wants for a version, or None."""
        text = self.peers.manifest(vm_id, name)
        if not text:
            return None
        try:
            manifest = Manifest.parse(text)
        except ValueError as exc:
            logger.warning("%s gave no readable manifest: %s", vm_id, exc)
            return None
        return manifest if manifest.name == name else None

    def ask_further(self, name: VersionName) -> Manifest | None:
        """Return a manifest from VMs further away, as when cut off."""
        identity = self.board.identity
        agents = self.board.members.agents(self.peers.group)
        agents.sort(key=lambda vm: vm.failure_domain != identity.failure_domain)
        vm_ids = [vm.vm_id for vm in agents if vm.vm_id != identity.vm_id]
        return self.ask_all(vm_ids[:MAX_FURTHER_PEERS], name)

    def read(self, name: VersionName) -> Manifest | None:
        """Return the manifest as a source has it now."""
        for kind, source in self.sources.items():
            try:
                manifest = source.manifest(name.model, name.adapter, name.version)
            except WeightSourceError as exc:
                logger.info("%s: %s", kind, exc)
                continue
            log_decision("manifest", name.version, kind, "read", digest=manifest.digest)
            return manifest
        return None

    def check(self, name: VersionName) -> Manifest | None:
        """
        Return the content that a version has now.

        The first VM of the ranking that knows it has it from the source; when none
        before this one does, that is this one.
        """
        for vm_id in self.ranking(name)[:READERS_PER_DOMAIN]:
            if vm_id == self.board.identity.vm_id:
                return self.read(name)
            found = self.ask(vm_id, name)
            if found is not None:
                return found
        return None
