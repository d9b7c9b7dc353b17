from __future__ import annotations

from models.store_restore import HistoryBuilder, Position, Version


def test_restored_store_repeats_revisions_in_next_era() -> None:
    """
    A restore that kept the era or lost the old entry would leave the model trivial.

    The revisions after a restore must be those that were given out before it.
    """
    history = HistoryBuilder().write_listing(1, 1).write_listing(1, 2, ready=False)
    history.restore(1).write_listing(1, 3)
    positions = [snapshot.position for snapshot in history.snapshots]
    assert positions[1:] == [
        Position(1, 1),
        Position(1, 2),
        Position(2, 1),
        Position(2, 2),
    ]
    restored, rewritten = history.snapshots[-2:]
    assert restored.listing.version == Version(1, 1)
    assert restored.alive
    assert not restored.complete
    assert rewritten.complete
