"""Many back ends that send long answers at once, to one process."""

from __future__ import annotations

from hypothesis import given, strategies

from primroselever_core.dispatch.buffers import Buffer, BufferAccount

LIMIT_BYTES = 1000


# Guards against a process that runs out of memory because each response keeps to its
# own limit, and all of them together do not.
@given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 5), strategies.integers(0, 700)),
        max_size=60,
    )
)
def test_buffers_together_hold_at_most_the_limit(sizes):
    account = BufferAccount(LIMIT_BYTES)
    buffers = [Buffer(account) for _ in range(6)]
    for index, size in sizes:
        before = buffers[index].held_bytes
        held = buffers[index].resize(size)
        assert buffers[index].held_bytes == (size if held else before)
        assert held or account.held_bytes + size - before > LIMIT_BYTES
        assert account.held_bytes == sum(buffer.held_bytes for buffer in buffers)
        assert account.held_bytes <= LIMIT_BYTES
    for buffer in buffers:
        assert buffer.resize(0)
    assert account.held_bytes == 0
