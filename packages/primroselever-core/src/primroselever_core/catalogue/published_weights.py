"""The published versions of a model's weights and when they were learned."""

from __future__ import annotations

from dataclasses import dataclass

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
    A published version of a model and when this process learned of it.

    ``assumed`` marks an estimated time: the process found the version when it started.
    """

    version: int
    learned_at: float
    assumed: bool = False


@dataclass(slots=True)
class PublishedWeights:
    """
    The published versions of a model and when each was learned, oldest first.

    Each version has its own bound, after which older weights may not begin a request:
    a newer version does not postpone the bound of the version before it.
    """

    history: list[PublishedVersion]

    @property
    def newest(self) -> PublishedVersion:
        """Return the newest version and the time at which it was learned."""
        return self.history[-1]

    @property
    def version(self) -> int:
        """Return the newest version."""
        return self.newest.version

    @property
    def learned_at(self) -> float:
        """Return the time at which the newest version was learned."""
        return self.newest.learned_at

    def append(self, version: int, now: float) -> None:
        """Add a newer version, learned now."""
        self.history.append(PublishedVersion(version, now))
        del self.history[:-MAX_VERSIONS_PER_MODEL]

    def assume_learned_at(self, learned_at: float) -> None:
        """Set an estimated time for the newest version until a peer reports one."""
        self.history[-1] = PublishedVersion(self.version, learned_at, assumed=True)

    def record_peer_learned_at(self, version: int, learned_at: float) -> None:
        """
        Record when a peer learned of a version.

        The earliest time counts, but a reported time always replaces an assumed one.
        A version above the newest known one is ignored.

        A process that started late learns in this way of versions before the newest,
        whose bounds also apply.
        """
        if version > self.version:
            return
        for index, published in enumerate(self.history):
            if published.version == version:
                if published.assumed or learned_at < published.learned_at:
                    self.history[index] = PublishedVersion(version, learned_at)
                return
        self.history.append(PublishedVersion(version, learned_at))
        self.history.sort(key=lambda published: published.version)
        del self.history[:-MAX_VERSIONS_PER_MODEL]

    def bounds_left(self, within_s: float, now: float) -> tuple[tuple[int, float], ...]:
        """
        Return the versions whose bound has not passed, and the seconds until then.

        From the bound of a version on, ``within_s`` after it was learned, requests may
        not start on older ones.
        """
        return tuple(
            (published.version, published.learned_at + within_s - now)
            for published in self.history
            if published.learned_at + within_s > now
        )

    def newest_learned_by(self, learned_before: float) -> int:
        """Return the newest version learned at or before a time, 0 for none."""
        versions = (
            published.version
            for published in self.history
            if published.learned_at <= learned_before
        )
        return max(versions, default=0)

    def outdated_since(self, version: int) -> float | None:
        """Return when a newer version than one was learned, None for the newest."""
        return min(
            (each.learned_at for each in self.history if each.version > version),
            default=None,
        )
