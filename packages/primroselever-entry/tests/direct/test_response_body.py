"""What the bodies of responses hold and account for."""

from __future__ import annotations

from types import SimpleNamespace

from primroselever_core.dispatch.buffers import Buffer, BufferAccount, BufferLimits
from primroselever_entry.direct.event_stream import EventIds
from primroselever_entry.direct.response_body import StreamBody, accept_part

from .conftest import EVENTS


# Guards against memory that no account counts while a slow caller takes the first of
# many parts that arrived after a silence.
def test_parts_ahead_are_accounted_for_until_they_are_added():
    state = SimpleNamespace(
        route=SimpleNamespace(resumable=True),
        released_bytes=0,
        event_forwarded=False,
        event_ids=EventIds(),
    )
    account = BufferAccount(1000)
    body = StreamBody(state, BufferLimits(), Buffer(account))
    accept_part(body, EVENTS[0][:5])
    parts = [EVENTS[0][5:], *EVENTS[1:]]
    for part in parts:
        body.add_ahead(part)
    held_bytes = sum(map(len, EVENTS))
    assert account.held_bytes == held_bytes
    for event in EVENTS:
        assert accept_part(body, body.ahead.popleft()) == event
        held_bytes -= len(event)
        assert account.held_bytes == held_bytes
    assert held_bytes == 0
