"""
Finding the manifest of a version.

Rendezvous hashing ranks the VMs of a group in each failure domain. The first of the
ranking reads the manifest from the weight store or the origin, and the other VMs get it
from that VM, so that a domain agrees on the content even while it changes at the
source. If it fails, the next ones of the first ``READERS_PER_DOMAIN`` take over.
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
MAX_FALLBACK_PEERS = 8
READER_TAKEOVER_S = 2.0
PEER_RETRY_INTERVAL_S = 0.1

logger = logging.getLogger(__name__)


class ManifestFinder:
    """Finds manifests, first at peers and then at the sources."""

    def __init__(
        self, board: Blackboard, peers: Peers, sources: dict[str, WeightSource]
    ) -> None:
        self.board = board
        self.peers = peers
        self.sources = sources

    def rank_readers(self, name: VersionName) -> list[VmId]:
        """Return the group's VMs in this failure domain, the first reader first."""
        domain_vm_ids = [vm.vm_id for vm in self.peers.group_peers_in_domain()]
        return ranked(f"manifest {name}", [*domain_vm_ids, self.board.identity.vm_id])

    def find(
        self, name: VersionName, still_wanted: Callable[[], bool]
    ) -> Manifest | None:
        """
        Return a version's manifest, or None if no peer or source has it now.

        Each reader in the ranking waits ``READER_TAKEOVER_S`` longer than the
        previous one before it reads a source, and all other VMs wait longer than
        the last reader.
        """
        own_vm_id = self.board.identity.vm_id
        readers = self.rank_readers(name)[:READERS_PER_DOMAIN]
        is_reader = own_vm_id in readers
        position = readers.index(own_vm_id) if is_reader else READERS_PER_DOMAIN
        manifest = self.ask_peers([vm for vm in readers if vm != own_vm_id], name)
        deadline = clock.now() + READER_TAKEOVER_S * position
        while manifest is None and clock.now() < deadline and still_wanted():
            eventlet.sleep(PEER_RETRY_INTERVAL_S)
            manifest = self.ask_peers(readers[:position], name)
        if manifest is None and not is_reader:
            manifest = self.ask_fallback_peers(name)
        return manifest or self.read_from_source(name) or self.ask_fallback_peers(name)

    def ask_peers(self, vm_ids: list[VmId], name: VersionName) -> Manifest | None:
        """Return the manifest from the first VM that has it, or None."""
        for vm_id in vm_ids:
            manifest = self.ask_peer(vm_id, name)
            if manifest is not None:
                return manifest
        return None

    def ask_peer(self, vm_id: VmId, name: VersionName) -> Manifest | None:
        """Return the manifest that a peer wants for a version, or None."""
        text = self.peers.fetch_manifest(vm_id, name)
        if not text:
            return None
        try:
            manifest = Manifest.parse(text)
        except ValueError as exc:
            logger.warning("invalid manifest from %s: %s", vm_id, exc)
            return None
        return manifest if manifest.name == name else None

    def ask_fallback_peers(self, name: VersionName) -> Manifest | None:
        """
        Return the manifest from a few VMs of the group, those of this domain first.

        This helps a VM that is cut off from the readers and the sources.
        """
        identity = self.board.identity
        agents = self.board.members.agents(self.peers.group)
        agents.sort(key=lambda vm: vm.failure_domain != identity.failure_domain)
        vm_ids = [vm.vm_id for vm in agents if vm.vm_id != identity.vm_id]
        return self.ask_peers(vm_ids[:MAX_FALLBACK_PEERS], name)

    def read_from_source(self, name: VersionName) -> Manifest | None:
        """Return the manifest from the first source that gives it now, or None."""
        for kind, source in self.sources.items():
            try:
                manifest = source.fetch_manifest(name.model, name.adapter, name.version)
            except WeightSourceError as exc:
                logger.info("no manifest from the %s: %s", kind, exc)
                continue
            log_decision("manifest", name.version, kind, "read", digest=manifest.digest)
            return manifest
        return None

    def find_current(self, name: VersionName) -> Manifest | None:
        """
        Return the manifest that a version has now, or None.

        The readers are asked in the order of the ranking. If this VM is one of them
        and no reader before it has the manifest, it reads the manifest from a source.
        A VM that is not a reader never reads a source here.
        """
        for vm_id in self.rank_readers(name)[:READERS_PER_DOMAIN]:
            if vm_id == self.board.identity.vm_id:
                return self.read_from_source(name)
            manifest = self.ask_peer(vm_id, name)
            if manifest is not None:
                return manifest
        return None
