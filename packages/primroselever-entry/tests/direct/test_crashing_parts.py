"""
Parts of prompts that crash every server that begins to answer a request with them.

No two of these requests are alike; sound requests share their workspace and their other
parts.
"""

from __future__ import annotations

from itertools import count

import pytest

from primroselever_core.suspects.prompt_parts import FIRST_QUARANTINE_S
from primroselever_core.suspects.section import CrashId

from .conftest import CLOSE, EVENTS, RESET, STREAM_END, chunk, stream_head

pytestmark = pytest.mark.usefixtures("long_limits")

MAX_SENT_AFTER_CERTAINTY = 3
CRASHES_TO_CERTAINTY = 5
BAD, OTHER = "bad0", "07e4"
numbers = count()


def send_with_parts(entry, *parts: str) -> bytes:
    """Send a stream request whose body and last part no other request has."""
    number = next(numbers)
    prompt = ",".join(f"{part}:40" for part in (*parts, f"{number:x}ff"))
    return entry.send(
        "/ask/x",
        method="POST",
        body=b"prompt %d" % number,
        headers=["x-model: m", f"x-parts: {prompt}"],
    )


def add_engines(entry, how_many: int, responses: list[list[bytes]]) -> list:
    engines = [entry.add(f"i-{index}", "engine") for index in range(how_many)]
    for engine in engines:
        engine.responses = [list(response) for response in responses]
    return engines


def readmit_all(entry) -> None:
    """End all ejections, as time does."""
    for backend in entry.board.backends.backends.values():
        backend.ejected_until = 0.0


def restart_all(entry, engines) -> None:
    """Let each server start again, as after a crash."""
    for engine in engines:
        engine.born_ms += 1
    entry.apply_listing()
    readmit_all(entry)


def count_received(engines) -> int:
    return sum(len(engine.requests) for engine in engines)


# Guards against blame by whole requests: each of these has another fingerprint, so that
# all of them were sent and crashed one server after the other.
@pytest.mark.parametrize("parts", [(BAD,), (BAD, OTHER), (OTHER, BAD)])
@pytest.mark.parametrize(
    "crash",
    [[RESET], [CLOSE], [stream_head(), RESET], [stream_head(), chunk(b"id"), CLOSE]],
    ids=["reset", "end", "reset after the head", "end inside an event"],
)
def test_a_part_that_crashed_five_servers_is_sent_at_most_three_times_more(
    entry, parts, crash
):
    engines = add_engines(entry, 6, [crash] * 100)
    for _request in range(CRASHES_TO_CERTAINTY):
        send_with_parts(entry, *parts)
        restart_all(entry, engines)
    received = count_received(engines)
    for _request in range(20):
        send_with_parts(entry, *parts)
        restart_all(entry, engines)
    assert count_received(engines) - received <= MAX_SENT_AFTER_CERTAINTY


def answer_all(engines) -> None:
    answer = [stream_head(), *map(chunk, EVENTS), STREAM_END]
    for engine in engines:
        engine.responses = [list(answer) for _request in range(50)]


def test_sound_requests_with_the_same_first_part_are_served_at_the_first_attempt(entry):
    engines = add_engines(entry, 6, [])
    answer_all(engines)
    assert send_with_parts(entry, OTHER).startswith(b"HTTP/1.1 200")
    for engine in engines:
        engine.responses = [[RESET]] * 100
    for _request in range(CRASHES_TO_CERTAINTY):
        send_with_parts(entry, OTHER, BAD)
        restart_all(entry, engines)
    answer_all(engines)
    received = count_received(engines)
    for _request in range(10):
        assert send_with_parts(entry, OTHER).startswith(b"HTTP/1.1 200")
    assert count_received(engines) - received == 10
    assert send_with_parts(entry, OTHER, BAD).startswith(b"HTTP/1.1 503")


def test_a_request_with_a_crashing_part_is_refused_at_once_with_a_reason(entry):
    engines = add_engines(entry, 6, [[RESET]] * 100)
    for _request in range(CRASHES_TO_CERTAINTY):
        send_with_parts(entry, BAD)
        restart_all(entry, engines)
    response = send_with_parts(entry, BAD)
    assert response.startswith(b"HTTP/1.1 503")
    assert b"requests with a part of its prompt crash servers" in response
    retry_after_s = float(response.partition(b"Retry-After: ")[2].split(b"\r")[0])
    assert retry_after_s > FIRST_QUARANTINE_S - 5.0


def test_eight_servers_that_break_at_once_under_sound_requests_get_all_of_these(entry):
    engines = add_engines(entry, 8, [])
    answer_all(engines)
    parts = [f"{index:x}" for index in range(4)]
    for part in parts:
        assert send_with_parts(entry, part).startswith(b"HTTP/1.1 200")
    for engine in engines:
        engine.responses = [[RESET]]
    for part in parts:
        send_with_parts(entry, part)
    restart_all(entry, engines)
    answer_all(engines)
    for part in parts * 3:
        assert send_with_parts(entry, part).startswith(b"HTTP/1.1 200")


def test_an_answer_to_a_trial_releases_a_part(entry):
    engines = add_engines(entry, 6, [[RESET]] * 100)
    for _request in range(2):
        send_with_parts(entry, BAD)  # each reaches two servers
    answer_all(engines)
    restart_all(entry, engines)
    entry.board.suspects.records["prompt part bad0"].crashes = {
        CrashId(f"1/s-{index}/1") for index in range(8)
    }
    assert send_with_parts(entry, BAD).startswith(b"HTTP/1.1 200")
    assert entry.board.suspects.records["prompt part bad0"].uncleared() == 0
