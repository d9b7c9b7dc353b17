"""The order of a server's writes across eras of the store."""

from __future__ import annotations

from dataclasses import replace

import pytest

from primroselever_core.catalogue.known_servers import (
    is_earlier_write,
    is_final,
    is_same_write,
)
from primroselever_core.catalogue.model import ServerState


@pytest.fixture
def known(make_server):
    return replace(make_server("a", born_ms=100, revision=180), era=1, sequence=50)


# Failure: revisions or eras order the writes of different eras, or the counter orders
# those of different starts.
@pytest.mark.parametrize(
    ("born_ms", "sequence", "is_earlier"),
    [
        (100, 49, True),
        (100, 50, False),
        (100, 51, False),
        (101, 1, False),
        (99, 900, True),
        # Without both fields the later era decides.
        (0, 1, False),
        (100, None, False),
    ],
)
def test_writes_are_ordered_by_start_and_counter(known, born_ms, sequence, is_earlier):
    other = replace(known, era=2, revision=40, born_ms=born_ms, sequence=sequence)
    assert is_earlier_write(other, known) is is_earlier
    assert is_same_write(other, known) is ((born_ms, sequence) == (100, 50))


def test_without_a_known_entry_nothing_is_earlier(known):
    assert not is_earlier_write(known, None)
    assert not is_same_write(known, None)
    assert not is_final(None, known)


# Failure: a server that leaves becomes ready by an older entry, or a later start of it
# stays unused.
@pytest.mark.parametrize(
    ("state", "born_ms", "sequence", "final"),
    [
        (ServerState.READY, 100, 30, True),
        (ServerState.READY, 100, 60, False),
        (ServerState.READY, 101, 1, False),
        (ServerState.LEAVING, 100, 30, False),
    ],
)
def test_leaving_is_final_for_a_start(known, state, born_ms, sequence, final):
    leaving = replace(known, state=ServerState.LEAVING)
    entry = replace(known, state=state, era=2, born_ms=born_ms, sequence=sequence)
    assert is_final(leaving, entry) is final
    assert not is_final(known, entry)
