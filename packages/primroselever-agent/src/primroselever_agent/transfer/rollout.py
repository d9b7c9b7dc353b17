"""Rolling out the version that the profile requests to this VM's engine."""

from __future__ import annotations

import logging
from random import Random
from typing import TYPE_CHECKING

from primroselever_core.exceptions import PrimroseleverError
from primroselever_core.transfer.manifest import VersionName
from primroselever_core.transfer.neighbourhood import Neighbourhood
from primroselever_core.transfer.planner import TransferPlanner
from primroselever_core.transfer.read_outcomes import apply_read_event
from primroselever_core.transfer.sources import Held, Silent, Source, SourceKind
from primroselever_node import clock
from primroselever_node.process import spawn_task

from .fetcher import new_bucket

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard
    from primroselever_core.identifiers import FailureDomain
    from primroselever_core.profiles.model import Profile
    from primroselever_core.transfer.manifest import Manifest
    from primroselever_core.transfer.section import TransfersSection
    from primroselever_core.transfer.sources import Read, ReadEvent

    from .engine_switch import EngineSwitch
    from .fetcher import Fetcher
    from .manifests import ManifestFinder

MAX_PARALLEL_READS = 64
ROLLOUT_STEP_INTERVAL_S = 0.05
OLD_CHUNK_RETENTION_S = 120.0
MANIFEST_RECHECK_INTERVAL_S = 15.0
# Minimum times between two attempts of the same kind.
SEEK_INTERVAL_S = 1.0  # searches for the manifest of a newly requested version
DOUBT_RECHECK_INTERVAL_S = 1.0  # rechecks after a source sent damaged bytes
HINT_RECHECK_INTERVAL_S = 2.0  # rechecks after a peer asked for unknown content
SWITCH_INTERVAL_S = 0.3  # attempts to switch the engine
# Random factors that keep the VMs of a group from acting at the same moment.
RECHECK_JITTER = (0.75, 1.25)
SWITCH_JITTER = (0.5, 1.5)

logger = logging.getLogger(__name__)


class RolloutController:
    """Drives the rollout of the requested version; writes the section on transfers."""

    def __init__(
        self,
        board: Blackboard,
        section: TransfersSection,
        finder: ManifestFinder,
        fetcher: Fetcher,
        engine_switch: EngineSwitch,
        store_domain: FailureDomain | None,
        cross_domain_bytes_per_s: int,
    ) -> None:
        self.board = board
        self.section = section
        self.finder = finder
        self.fetcher = fetcher
        self.engine_switch = engine_switch
        self.store_domain = store_domain
        self.cross_domain_bytes_per_s = cross_domain_bytes_per_s
        self.random = Random()
        self.active_reads = 0
        self.next_recheck_at = 0.0
        self.next_doubt_check_at = 0.0
        self.next_hint_check_at = 0.0
        self.sought_name: VersionName | None = None
        self.next_seek_at = 0.0
        self.next_switch_at = 0.0

    def step(self) -> None:
        """Advance the rollout of the version that the profile in force requests."""
        now = clock.now()
        self.section.store.expire(now)
        profile = self.current_profile()
        if profile is None or not self.board.members.vms:
            return
        try:
            self.follow_profile(profile)
            self.advance_rollout(profile)
        except PrimroseleverError as exc:
            self.section.problem = str(exc)
            logger.warning(
                "rollout of %s failed and will be retried: %s", profile.version, exc
            )

    def current_profile(self) -> Profile | None:
        """Return the profile in force for this VM's group."""
        accepted = self.board.profiles.accepted
        if accepted is None:
            return None
        return accepted.profiles.profile_of_group(self.finder.peers.group)

    def follow_profile(self, profile: Profile) -> None:
        """Make the requested version the wanted one, or recheck its current content."""
        name = requested_version(profile)
        wanted = self.section.wanted
        if wanted is None or wanted.name != name:
            self.seek_version(name, profile)
        else:
            self.recheck_version(name, profile)

    def seek_version(self, name: VersionName, profile: Profile) -> None:
        """Find the manifest of a newly requested version and start its transfer."""
        if self.sought_name == name and clock.now() < self.next_seek_at:
            return
        self.sought_name, self.next_seek_at = name, clock.now() + SEEK_INTERVAL_S
        manifest = self.find_known_manifest(name)
        manifest = manifest or self.finder.find(name, lambda: self.is_requested(name))
        if manifest is not None and self.is_requested(name):
            self.start_transfer(manifest, profile)

    def recheck_version(self, name: VersionName, profile: Profile) -> None:
        """Recheck the wanted version's content periodically, or when it is in doubt."""
        now = clock.now()
        planner = self.section.planner
        if (
            planner is not None
            and planner.manifest_doubted
            and now >= self.next_doubt_check_at
        ):
            planner.manifest_doubted = False
            self.next_doubt_check_at = now + DOUBT_RECHECK_INTERVAL_S
            self.adopt_changed_manifest(self.finder.read_from_source(name), profile)
        elif now >= self.next_recheck_at or self.has_peer_hint(now):
            self.section.unknown_digest_requested = False
            self.next_hint_check_at = now + HINT_RECHECK_INTERVAL_S
            jitter = self.random.uniform(*RECHECK_JITTER)
            self.next_recheck_at = now + MANIFEST_RECHECK_INTERVAL_S * jitter
            self.adopt_changed_manifest(self.finder.find_current(name), profile)

    def has_peer_hint(self, now: float) -> bool:
        """Return whether a peer asked for unknown content and a recheck is due."""
        return self.section.unknown_digest_requested and now >= self.next_hint_check_at

    def find_known_manifest(self, name: VersionName) -> Manifest | None:
        """Return a version's manifest if it is still kept, as after a rollback."""
        known_manifests = self.section.manifests.values()
        return next((m for m in known_manifests if m.name == name), None)

    def is_requested(self, name: VersionName) -> bool:
        """Return whether the profile in force still requests a version."""
        profile = self.current_profile()
        return profile is not None and requested_version(profile) == name

    def adopt_changed_manifest(
        self, manifest: Manifest | None, profile: Profile
    ) -> None:
        """Start the transfer of new content if a version has changed at its source."""
        wanted = self.section.wanted
        if manifest is None or wanted is None or manifest.digest == wanted.digest:
            return
        if self.is_requested(manifest.name):
            logger.warning(
                "the content of version %s changed at its source", manifest.version
            )
            self.start_transfer(manifest, profile)

    def start_transfer(self, manifest: Manifest, profile: Profile) -> None:
        """Start the transfer of a version, keeping chunks that other versions share."""
        now = clock.now()
        store = self.section.store
        if manifest.length > store.limit_bytes:
            self.section.problem = (
                f"version {manifest.version} needs {manifest.length} bytes, but the "
                f"limit is {store.limit_bytes}; raise chunk_memory_bytes"
            )
            return
        store.expire_unneeded(manifest, now + OLD_CHUNK_RETENTION_S)
        self.section.wanted = manifest
        self.section.manifests[manifest.digest] = manifest
        self.forget_unused_manifests()
        self.engine_switch.forget_other_versions(manifest)
        self.next_recheck_at = now + MANIFEST_RECHECK_INTERVAL_S
        self.section.planner = TransferPlanner(
            manifest,
            store.missing_indexes(manifest),
            profile.objective,
            self.current_neighbourhood(),
            [Source(SourceKind(kind)) for kind in self.finder.sources],
            self.random,
            now,
        )

    def forget_unused_manifests(self) -> None:
        """Forget manifests of which no chunk is held any longer."""
        wanted = self.section.wanted
        chunks = self.section.store.chunks
        self.section.manifests = {
            digest: manifest
            for digest, manifest in self.section.manifests.items()
            if manifest is wanted or any(c in chunks for c in manifest.chunks)
        }

    def current_neighbourhood(self) -> Neighbourhood:
        """Return the VMs of the group by failure domain, from the current VM list."""
        identity = self.board.identity
        return Neighbourhood.of(
            identity.vm_id,
            identity.failure_domain,
            self.board.members.agents(self.finder.peers.group),
            self.store_domain,
        )

    def advance_rollout(self, profile: Profile) -> None:
        """Read missing chunks, and switch the engine once all chunks are held."""
        manifest, planner = self.section.wanted, self.section.planner
        if (
            manifest is None
            or planner is None
            or manifest.name != requested_version(profile)
        ):
            return
        if planner.chunks:
            planner.update_neighbourhood(self.current_neighbourhood())
            self.set_cross_domain_budget(len(planner.neighbourhood.local_vm_ids))
            self.start_reads(manifest, planner)
        elif not self.section.store.is_complete(manifest):
            self.start_transfer(manifest, profile)
        elif self.section.serving != manifest.digest:
            self.try_switch(manifest, profile)
        else:
            self.section.problem = ""

    def try_switch(self, manifest: Manifest, profile: Profile) -> None:
        """Switch the engine if the next attempt is due."""
        accepted = self.board.profiles.accepted
        if accepted is None or clock.now() < self.next_switch_at:
            return
        revision_number = accepted.revision.number
        if not self.engine_switch.switch_version(
            manifest, revision_number, profile.min_serving
        ):
            jitter = self.random.uniform(*SWITCH_JITTER)
            self.next_switch_at = clock.now() + SWITCH_INTERVAL_S * jitter

    def set_cross_domain_budget(self, vm_count: int) -> None:
        """Set this VM's budget to an equal share of its failure domain's link."""
        # Rounded up, since a rate of 0 would mean no limit.
        rate = -(-self.cross_domain_bytes_per_s // vm_count)
        bucket = self.fetcher.cross_domain_budget
        if bucket is None or bucket.rate != rate:
            self.fetcher.cross_domain_budget = new_bucket(rate)

    def start_reads(self, manifest: Manifest, planner: TransferPlanner) -> None:
        """Start reads that are due, up to the limit of parallel reads."""
        while self.active_reads < MAX_PARALLEL_READS:
            read = planner.next_read(clock.now())
            if read is None:
                return
            self.active_reads += 1
            spawn_task(self.complete_read, manifest, planner, read)

    def complete_read(
        self, manifest: Manifest, planner: TransferPlanner, read: Read
    ) -> None:
        """Perform a read, report its outcome to the planner, and start more reads."""
        event: ReadEvent = Silent(read)
        try:
            event = self.fetcher.perform_read(manifest, read)
        except Exception:
            logger.exception("reading a chunk failed unexpectedly")
        finally:
            self.active_reads -= 1
        apply_read_event(event, planner, clock.now())
        if isinstance(event, Held):
            self.hand_over_chunk(manifest, read.index)
        if planner is self.section.planner:
            self.start_reads(manifest, planner)

    def hand_over_chunk(self, manifest: Manifest, index: int) -> None:
        """Hand a chunk to the engine; if that fails, the switch does it later."""
        try:
            self.engine_switch.hand_over_chunk(manifest, index)
        except PrimroseleverError as exc:
            logger.info(
                "handing chunk %d to the engine failed and will be retried: %s",
                index,
                exc,
            )


def requested_version(profile: Profile) -> VersionName:
    """Return the version that a profile requests."""
    return VersionName(profile.model, profile.adapter, profile.version)
