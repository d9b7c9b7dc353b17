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
    unused: Any = None
    section = TransfersSection(ChunkStore(limit_bytes=1))
    return ChunkServing(unused, section, unused, unused)


def test_a_chunk_without_waiting_calls_is_forgotten(
    serving: ChunkServing,
) -> None:
    serving.wait_for_chunk(CHUNK, 0.0)

    assert serving.waiting == {}


def test_a_waiting_call_is_woken_after_another_one_timed_out(
    serving: ChunkServing,
) -> None:
    waiting_call = eventlet.spawn(serving.wait_for_chunk, CHUNK, 5.0)
    eventlet.sleep(0)
    serving.wait_for_chunk(CHUNK, 0.0)

    serving.wake_waiting_calls(CHUNK)

    with eventlet.Timeout(1.0):
        waiting_call.wait()
    assert serving.waiting == {}
