from __future__ import annotations

from typing import Any

import eventlet
import pytest

from primroselever_agent.transfer.serving import ChunkServing
from primroselever_core.identifiers import ChunkDigest
from primroselever_core.transfer.chunk_store import ChunkStore
from primroselever_core.transfer.section import TransfersSection

CHUNK = ChunkDigest("d" * 32)


@pytest.fixture
def serving() -> ChunkServing:
    nothing: Any = None
    section = TransfersSection(ChunkStore(limit_bytes=1))
    return ChunkServing(nothing, section, nothing, nothing)


def test_a_chunk_that_nobody_waits_for_any_more_is_forgotten(
    serving: ChunkServing,
) -> None:
    serving.wait(CHUNK, 0.0)

    assert serving.waiting == {}


def test_whoever_still_waits_is_woken_when_others_have_given_up(
    serving: ChunkServing,
) -> None:
    patient = eventlet.spawn(serving.wait, CHUNK, 5.0)
    eventlet.sleep(0)
    serving.wait(CHUNK, 0.0)

    serving.arrived(CHUNK)

    with eventlet.Timeout(1.0):
        patient.wait()
    assert serving.waiting == {}
