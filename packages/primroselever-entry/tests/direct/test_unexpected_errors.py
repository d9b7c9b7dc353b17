"""Requests that meet an unexpected error of the program."""

from __future__ import annotations

import pytest

from primroselever_entry.direct import caller_server, sending

from .conftest import ok_response, read_all

pytestmark = pytest.mark.usefixtures("long_limits")


def raise_error(*_arguments):
    raise RuntimeError("a fault of the program")


# Guards against requests that end without an answer because of an unexpected error.
def test_request_that_meets_an_unexpected_error_is_answered(entry, monkeypatch):
    entry.add("a").responses = [ok_response()]
    monkeypatch.setattr(entry.flow, "choose_next_backend", raise_error)
    response = entry.send()
    assert response.startswith(b"HTTP/1.1 503")
    assert b"Retry-After" in response


# Guards against the claim that a request did not run although it may have.
def test_unexpected_error_after_sending_promises_nothing(entry, monkeypatch):
    entry.add("a").responses = [ok_response()]
    monkeypatch.setattr(sending.AttemptSender, "forward_response", raise_error)
    response = entry.send("/order/x", method="POST", body=b"ink")
    assert response.startswith(b"HTTP/1.1 502")
    assert entry.board.backends.backends["a"].in_flight == 0


# Guards against an entry that accepts no connection any more after a caller has reset
# one before it was accepted.
def test_entry_accepts_connections_after_one_that_failed(entry, monkeypatch):
    entry.add("a").responses = [ok_response()]
    with monkeypatch.context() as context:
        context.setattr(caller_server, "TCP_USER_TIMEOUT_MS", -1)  # is refused
        assert read_all(entry.connect()) == b""
    assert entry.send().startswith(b"HTTP/1.1 200")
