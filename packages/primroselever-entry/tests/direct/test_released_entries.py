"""Entries of tests that have ended."""

from __future__ import annotations

import gc
import weakref

import eventlet
import pytest

from .conftest import Entry, ok_response


# Guards against entries that stay in memory until the last test: with thousands of
# them, garbage collections took longer than the requests of tests may.
@pytest.mark.usefixtures("long_limits")
def test_a_closed_entry_is_released():
    entry = Entry()
    entry.add("a").responses = [ok_response()]
    assert entry.send().endswith(b"ok")
    flow = weakref.ref(entry.flow)
    entry.close()
    del entry
    eventlet.sleep(0.01)
    gc.collect()
    assert flow() is None
