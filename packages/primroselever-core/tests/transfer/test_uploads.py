from __future__ import annotations

from random import Random

from primroselever_core.identifiers import ChunkDigest, VmId
from primroselever_core.transfer.uploads import MAX_CHUNKS_GIVEN, Send, UploadPlanner

ASKER = VmId("lag-a-1")


def test_what_is_remembered_of_given_chunks_is_bounded() -> None:
    uploads = UploadPlanner(None, Random(1))
    for number in range(MAX_CHUNKS_GIVEN + 10):
        answer = uploads.decide(ChunkDigest(f"{number}"), 1, ASKER, True, 0, 0.0)
        assert answer == Send(0.0)
    assert len(uploads.given) == MAX_CHUNKS_GIVEN
    assert list(uploads.given[ChunkDigest(f"{MAX_CHUNKS_GIVEN}")]) == [ASKER]
