"""The published versions of a model's weights and from when their bounds count."""

from __future__ import annotations

from dataclasses import dataclass, replace

MAX_VERSIONS_PER_MODEL = 8  # the bounds of older versions have long passed
# Before the bound of a version, an engine with older weights gets no request that may
# wait in a queue for this long: the usual objective of 0.4 s, and 0.8 s, which is the
# p90 of the prediction error near full load. Agents assume the same.
OLD_WEIGHTS_MARGIN_S = 1.2
# No request at all is sent to older weights: an idle engine may be slow for a moment.
LEAST_MARGIN_S = 0.8


@dataclass(frozen=True, slots=True)
class PublishedVersion:
    """
    A published version of a model, and from when the bound on older ones counts.

    The bound counts from ``absent_at``, the latest time at which the version certainly
    was not published yet. This time is an estimate unless ``proven`` is set: the
    process found the version when it started, which sets ``assumed``, or had no proof
    for too long when it learned of it. ``learned_at`` is when this process learned of
    the version, None if only a peer reported its time.
    """

    version: int
    absent_at: float
    learned_at: float | None = None
    proven: bool = False
    assumed: bool = False

    def with_proof(self, at: float) -> PublishedVersion:
        """Return the version with a proven time, not after it was learned."""
        if self.learned_at is not None:
            at = min(at, self.learned_at)
        return replace(self, absent_at=at, proven=True, assumed=False)

    def is_published_after(self, time: float) -> bool:
        """Return whether it was published after a time, as far as is known."""
        if self.assumed:
            return False
        if self.proven or self.learned_at is None:
            return self.absent_at >= time
        return self.learned_at >= time


@dataclass(slots=True)
class PublishedWeights:
    """
    The published versions of a model, oldest first.

    Each version has its own bound, after which older weights may not begin a request:
    a newer version does not postpone the bound of the version before it.
    """

    history: list[PublishedVersion]

    @property
    def newest(self) -> PublishedVersion:
        """Return the newest version and the time from which its bound counts."""
        return self.history[-1]

    @property
    def version(self) -> int:
        """Return the newest version."""
        return self.newest.version

    @property
    def absent_at(self) -> float:
        """Return the time from which the bound of the newest version counts."""
        return self.newest.absent_at

    def append(self, version: int, now: float, absent_at: float | None = None) -> None:
        """Add a newer version, learned now, whose bound counts from then by default."""
        absent_at = now if absent_at is None else absent_at
        self.history.append(PublishedVersion(version, absent_at, now))
        del self.history[:-MAX_VERSIONS_PER_MODEL]

    def assume_absent_at(self, absent_at: float) -> None:
        """Set an estimated time for the newest version until one is proven."""
        self.history[-1] = replace(
            self.newest, absent_at=absent_at, proven=False, assumed=True
        )

    def record_absent(self, version: int, at: float) -> None:
        """
        Record that a peer with an answer of the store knew nothing above a version.

        ``at`` is a time that this answer covers. It only moves times forward.
        """
        newer = [each for each in self.history if each.version > version]
        for index, published in enumerate(self.history):
            if published.version > version and at > published.absent_at:
                self.history[index] = published.with_proof(at)
        if newer and at > newer[0].absent_at:
            self.keep_skipped_bound(version, newer[0])

    def keep_skipped_bound(self, version: int, following: PublishedVersion) -> None:
        """
        Add a version that may have been published, if this process skipped it.

        Its bound counts from the time that the version after it had: a later proof of
        the absence of that one says nothing about it.
        """
        if version > 0 and self.find(version) is None:
            self.insert(replace(following, version=version))

    def record_peer_absent_at(self, version: int, absent_at: float) -> None:
        """
        Record a time at which a version was not published, as a peer proved it.

        It replaces an estimated time, but not a proven one, as times that peers pass on
        to one another grow by the time that messages take. A version above the newest
        known one is ignored.

        A process that started late learns in this way of versions before the newest,
        whose bounds also apply.
        """
        if version > self.version:
            return
        index = self.find(version)
        if index is None:
            self.insert(PublishedVersion(version, absent_at, proven=True))
        elif not self.history[index].proven:
            known = self.history[index]
            self.history[index] = known.with_proof(absent_at)
            if index > 0 and absent_at > known.absent_at:
                self.keep_skipped_bound(version - 1, known)

    def record_peer_learned_at(self, version: int, learned_at: float) -> None:
        """
        Record when a peer of an earlier release learned of a version.

        Such a time proves no absence, so the bound never becomes later by it, and it is
        not passed on.
        """
        if version > self.version:
            return
        index = self.find(version)
        if index is None:
            self.insert(PublishedVersion(version, learned_at))
        elif learned_at < self.history[index].absent_at:
            self.history[index] = replace(self.history[index], absent_at=learned_at)

    def find(self, version: int) -> int | None:
        """Return the index of a version in the history, None if it is not there."""
        for index, published in enumerate(self.history):
            if published.version == version:
                return index
        return None

    def insert(self, published: PublishedVersion) -> None:
        """Add a version before the newest."""
        self.history.append(published)
        self.history.sort(key=lambda each: each.version)
        del self.history[:-MAX_VERSIONS_PER_MODEL]

    def bounds_left(self, within_s: float, now: float) -> tuple[tuple[int, float], ...]:
        """
        Return the versions whose bound has not passed, and the seconds until then.

        From the bound of a version on, ``within_s`` after its ``absent_at``, requests
        may not start on older ones.
        """
        return tuple(
            (published.version, published.absent_at + within_s - now)
            for published in self.history
            if published.absent_at + within_s > now
        )

    def newest_absent_by(self, absent_before: float) -> int:
        """Return the newest version last proven absent by a time, 0 for none."""
        versions = (
            published.version
            for published in self.history
            if published.absent_at <= absent_before
        )
        return max(versions, default=0)

    def outdated_since(self, version: int) -> float | None:
        """Return from when the bound on a version counts, None for the newest."""
        return min(
            (each.absent_at for each in self.history if each.version > version),
            default=None,
        )
