from __future__ import annotations

from random import Random

from primroselever_core.identifiers import ChunkDigest, VmId
from primroselever_core.transfer.uploads import MAX_TRACKED_CHUNKS, Send, UploadPlanner

ASKER = VmId("lag-a-1")


def test_the_number_of_tracked_chunks_is_bounded() -> None:
    uploads = UploadPlanner(None, Random(1))
    for number in range(MAX_TRACKED_CHUNKS + 10):
        answer = uploads.decide(ChunkDigest(f"{number}"), 1, ASKER, True, 0, 0.0)
        assert answer == Send(0.0)
    assert len(uploads.holders) == MAX_TRACKED_CHUNKS
    assert list(uploads.holders[ChunkDigest(f"{MAX_TRACKED_CHUNKS}")]) == [ASKER]
