"""Bringing the version that the profile asks for to this VM's engine."""

from __future__ import annotations

import logging
from random import Random
from typing import TYPE_CHECKING

import eventlet

from primroselever_core.exceptions import PrimroseleverError
from primroselever_core.transfer.manifest import VersionName
from primroselever_core.transfer.neighbourhood import Neighbourhood
from primroselever_core.transfer.planner import TransferPlanner
from primroselever_core.transfer.read_outcomes import apply
from primroselever_core.transfer.sources import Held, Silent, Source, SourceKind
from primroselever_node import clock

from .fetcher import bucket_of

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
ROLLOUT_STEP_S = 0.05
KEEP_OLD_CHUNKS_S = 120.0
MANIFEST_RECHECK_S = 15.0
# The least times between two tries.
SEEK_INTERVAL_S = 1.0
DOUBT_INTERVAL_S = 1.0
HINT_INTERVAL_S = 2.0
SWITCH_INTERVAL_S = 0.3
# Factors, so that the VMs of a group do not act at the same moment.
RECHECK_JITTER = (0.75, 1.25)
SWITCH_JITTER = (0.5, 1.5)

logger = logging.getLogger(__name__)


class RolloutController:
    """Writes the section on transfers."""

    def __init__(
        self,
        board: Blackboard,
        section: TransfersSection,
        finder: ManifestFinder,
        fetcher: Fetcher,
        switch: EngineSwitch,
        store_domain: FailureDomain | None,
        cross_domain_bytes_per_s: int,
    ) -> None:
        self.board = board
        self.section = section
        self.finder = finder
        self.fetcher = fetcher
        self.switch = switch
        self.store_domain = store_domain
        self.cross_domain_bytes_per_s = cross_domain_bytes_per_s
        self.random = Random()
        self.reading = 0
        self.recheck_at = 0.0
        self.doubt_at = 0.0
        self.hint_at = 0.0
        self.sought: VersionName | None = None
        self.seek_at = 0.0
        self.switch_at = 0.0

    def step(self) -> None:
        """Go on with the rollout of what the profile in force asks for."""
        now = clock.now()
        self.section.store.expire(now)
        profile = self.profile()
        if profile is None or not self.board.members.vms:
            return
        try:
            self.follow(profile)
            self.go_on(profile)
        except PrimroseleverError as exc:
            self.section.problem = str(exc)
            logger.warning("rollout of %s goes on later: %s", profile.version, exc)

    def profile(self) -> Profile | None:
        """Return the profile in force for this VM's group."""
        accepted = self.board.profiles.accepted
        if accepted is None:
            return None
        return accepted.profiles.profile_of_group(self.finder.peers.group)

    def follow(self, profile: Profile) -> None:
        """Want what the profile asks for, with the content that it has now."""
        name = name_of(profile)
        wanted = self.section.wanted
        if wanted is None or wanted.name != name:
            self.seek(name, profile)
        else:
            self.look_again(name, profile)

    def seek(self, name: VersionName, profile: Profile) -> None:
        """Look for the manifest of a version that is not wanted yet, and want it."""
        if self.sought == name and clock.now() < self.seek_at:
            return
        self.sought, self.seek_at = name, clock.now() + SEEK_INTERVAL_S
        found = self.known(name)
        found = found or self.finder.find(name, lambda: self.asked_for(name))
        if found is not None and self.asked_for(name):
            self.want(found, profile)

    def look_again(self, name: VersionName, profile: Profile) -> None:
        """Look now and then, or for a reason, whether a version has changed."""
        now = clock.now()
        planner = self.section.planner
        if planner is not None and planner.doubted and now >= self.doubt_at:
            planner.doubted = False
            self.doubt_at = now + DOUBT_INTERVAL_S
            self.adopt(self.finder.read(name), profile)
        elif now >= self.recheck_at or self.hinted(now):
            self.section.other_asked = False
            self.hint_at = now + HINT_INTERVAL_S
            jitter = self.random.uniform(*RECHECK_JITTER)
            self.recheck_at = now + MANIFEST_RECHECK_S * jitter
            self.adopt(self.finder.check(name), profile)

    def hinted(self, now: float) -> bool:
        """Return whether a peer's question is a reason to look again."""
        return self.section.other_asked and now >= self.hint_at

    def known(self, name: VersionName) -> Manifest | None:
        """Return a manifest that is still known here, as after a rollback."""
        known = self.section.manifests.values()
        return next((m for m in known if m.name == name), None)

    def asked_for(self, name: VersionName) -> bool:
        """Return whether the profile in force still asks for a version."""
        profile = self.profile()
        return profile is not None and name_of(profile) == name

    def adopt(self, found: Manifest | None, profile: Profile) -> None:
        """Want another content if a version has changed at its source."""
        wanted = self.section.wanted
        if found is None or wanted is None or found.digest == wanted.digest:
            return
        if self.asked_for(found.name):
            logger.warning("%s changed at its source", found.version)
            self.want(found, profile)

    def want(self, manifest: Manifest, profile: Profile) -> None:
        """Start the transfer of a version; equal chunks of others are kept."""
        now = clock.now()
        store = self.section.store
        if manifest.length > store.limit_bytes:
            self.section.problem = (
                f"{manifest.version} needs {manifest.length} bytes and the limit is "
                f"{store.limit_bytes}; raise chunk_memory_bytes"
            )
            return
        store.want_only(manifest, now + KEEP_OLD_CHUNKS_S)
        self.section.wanted = manifest
        self.section.manifests[manifest.digest] = manifest
        self.forget_manifests()
        self.switch.forget_others(manifest)
        self.recheck_at = now + MANIFEST_RECHECK_S
        self.section.planner = TransferPlanner(
            manifest,
            store.missing(manifest),
            profile.objective,
            self.neighbourhood(),
            [Source(SourceKind(kind)) for kind in self.finder.sources],
            self.random,
            now,
        )

    def forget_manifests(self) -> None:
        """Forget manifests of which no chunk is held any more."""
        wanted = self.section.wanted
        chunks = self.section.store.chunks
        self.section.manifests = {
            digest: manifest
            for digest, manifest in self.section.manifests.items()
            if manifest is wanted or any(c in chunks for c in manifest.chunks)
        }

    def neighbourhood(self) -> Neighbourhood:
        """Return the VMs of the group as the VM list has them now."""
        identity = self.board.identity
        return Neighbourhood.of(
            identity.vm_id,
            identity.failure_domain,
            self.board.members.agents(self.finder.peers.group),
            self.store_domain,
        )

    def go_on(self, profile: Profile) -> None:
        """Read what is missing, and switch once all is there."""
        manifest, planner = self.section.wanted, self.section.planner
        if manifest is None or planner is None or manifest.name != name_of(profile):
            return
        if planner.chunks:
            planner.meet(self.neighbourhood())
            self.set_cross_domain_budget(len(planner.neighbourhood.near))
            self.fill(manifest, planner)
        elif not self.section.store.whole(manifest):
            self.want(manifest, profile)
        elif self.section.serving != manifest.digest:
            self.try_switch(manifest, profile)
        else:
            self.section.problem = ""

    def try_switch(self, manifest: Manifest, profile: Profile) -> None:
        """Switch the engine, if it is time to try."""
        accepted = self.board.profiles.accepted
        if accepted is None or clock.now() < self.switch_at:
            return
        number = accepted.revision.number
        if not self.switch.switch(manifest, number, profile.min_serving):
            jitter = self.random.uniform(*SWITCH_JITTER)
            self.switch_at = clock.now() + SWITCH_INTERVAL_S * jitter

    def set_cross_domain_budget(self, sharers: int) -> None:
        """Take this VM's share of the link that its failure domain shares."""
        # Rounded up: a share of 0 would be no limit.
        rate = -(-self.cross_domain_bytes_per_s // sharers)
        bucket = self.fetcher.cross_domain
        if bucket is None or bucket.rate != rate:
            self.fetcher.cross_domain = bucket_of(rate)

    def fill(self, manifest: Manifest, planner: TransferPlanner) -> None:
        """Start reads until as many as allowed are going on."""
        while self.reading < MAX_PARALLEL_READS:
            read = planner.next_read(clock.now())
            if read is None:
                return
            self.reading += 1
            eventlet.spawn_n(self.carry, manifest, planner, read)

    def carry(self, manifest: Manifest, planner: TransferPlanner, read: Read) -> None:
        """Carry out a read, tell the planner, and start the next ones."""
        event: ReadEvent = Silent(read)
        try:
            event = self.fetcher.perform(manifest, read)
        except Exception:
            logger.exception("a read failed")
        finally:
            self.reading -= 1
        apply(event, planner, clock.now())
        if isinstance(event, Held):
            self.hand_over(manifest, read.index)
        if planner is self.section.planner:
            self.fill(manifest, planner)

    def hand_over(self, manifest: Manifest, index: int) -> None:
        """Hand a chunk to the engine; one that fails is handed over later."""
        try:
            self.switch.hand_over(manifest, index)
        except PrimroseleverError as exc:
            logger.info("chunk %d is handed over later: %s", index, exc)


def name_of(profile: Profile) -> VersionName:
    """Return the version that a profile asks for."""
    return VersionName(profile.model, profile.adapter, profile.version)
