"""Requests that are sent after the configuration that admitted them was replaced."""

from __future__ import annotations

from dataclasses import replace

import pytest

from primroselever_core.catalogue.model import Workspace
from primroselever_node import clock

from .conftest import (
    EVENTS,
    STREAM_END,
    ask,
    assert_complete,
    chunk,
    ok_response,
    refusal,
    stream_head,
)

pytestmark = pytest.mark.usefixtures("long_limits")


def configure(entry, **changes) -> None:
    configuration = entry.board.catalogue.configuration
    entry.board.catalogue.configure(
        replace(configuration, revision=configuration.revision + 1, **changes),
        clock.now(),
    )


def refuse_after(change):
    """Yield a refusal of a request that certainly did not run, after a change."""
    change()
    yield from refusal()


# Guards against requests that start on old weights after their deadline, because the
# back ends of a service that was removed from the configuration looked like plain ones.
@pytest.mark.parametrize("is_old", [True, False])
def test_the_versions_of_weights_are_bounded_after_the_service_was_removed(
    entry, is_old
):
    first, second = entry.add("a", "engine"), entry.add("b", "engine")
    newer = replace(first.listed(), weights=(("m", 2),))
    other = second.listed() if is_old else replace(second.listed(), weights=(("m", 2),))
    entry.board.backends.apply_listing([newer, other])
    entry.board.catalogue.publish_weights("m", 1, clock.now() - 60.0)
    entry.board.catalogue.publish_weights("m", 2, clock.now() - 30.0)
    entry.board.backends.backends["b"].in_flight = 7
    first.responses = [refuse_after(lambda: configure(entry, services=()))]
    second.responses = [[stream_head(), *map(chunk, EVENTS), STREAM_END]]
    response = ask(entry)
    if is_old:
        assert response.startswith(b"HTTP/1.1 503")
        assert second.requests == []
    else:
        assert_complete(response)
        assert second.header(b"X-Weights") == b"2"
    assert len(first.requests) == 1


# A request keeps the route and the key that it was admitted with, until its deadline
# (docs/decisions/configuration.md). The next request follows the configuration.
@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"workspaces": (Workspace("inks", ("k2",)),)}, b"HTTP/1.1 401"),
        ({"routes": ()}, b"HTTP/1.1 404"),
    ],
)
def test_a_retry_keeps_its_admission_and_the_next_request_does_not(
    entry, changes, status
):
    first, second = entry.add("a"), entry.add("b")
    entry.board.backends.backends["b"].in_flight = 7
    first.responses = [refuse_after(lambda: configure(entry, **changes))]
    second.responses = [ok_response()]
    assert entry.send().startswith(b"HTTP/1.1 200")
    assert (len(first.requests), len(second.requests)) == (1, 1)
    assert entry.send().startswith(status)
    assert (len(first.requests), len(second.requests)) == (1, 1)
