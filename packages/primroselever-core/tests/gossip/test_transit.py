"""How late heartbeats are, by clocks that have no common start and may stand still."""

from __future__ import annotations

import pytest

from primroselever_core.gossip.transit import WINDOW_S, TransitDelay

HEARTBEAT_S = 0.5
OFFSET_S = 700.0  # of the sender's clock
FAST_S = 0.004


def receive(delay: TransitDelay, sent_at: float, took_s: float, incarnation: int = 1):
    """Receive a heartbeat that is sent at a time of the receiver's clock."""
    return delay.record(incarnation, sent_at + OFFSET_S, sent_at + took_s)


# Guards against a proof by a heartbeat whose delay cannot be told.
def test_the_first_heartbeat_of_an_incarnation_has_no_known_delay():
    delay = TransitDelay()
    assert receive(delay, 0.0, FAST_S) is None
    assert receive(delay, 0.5, FAST_S) == pytest.approx(0.0)
    assert receive(delay, 1.0, FAST_S, incarnation=2) is None
    assert receive(delay, 1.5, FAST_S + 0.4, incarnation=2) == pytest.approx(0.4)


# Guards against a busy link that is taken for the usual delay: the fastest heartbeat
# counts for at least 10 s.
def test_a_delay_is_measured_for_a_window_after_the_last_fast_heartbeat():
    delay = TransitDelay()
    receive(delay, 0.0, FAST_S)
    sent_at = 0.0
    while sent_at < 2 * WINDOW_S - 1.0:
        sent_at += HEARTBEAT_S
        late_s = 0.0 if sent_at == WINDOW_S - 1.0 else 0.4
        assert receive(delay, sent_at, FAST_S + late_s) == pytest.approx(late_s)


# Guards against a delay by a difference from long ago, such as that before a slow drift
# of the clocks or before the sender's clock stood still for good.
def test_a_difference_counts_for_two_windows_at_most():
    delay = TransitDelay()
    receive(delay, 0.0, FAST_S)
    sent_at = 0.0
    while sent_at < 2 * WINDOW_S + 1.0:
        sent_at += HEARTBEAT_S
        late_s = receive(delay, sent_at, FAST_S + 0.4)
    assert late_s == pytest.approx(0.0)


# Guards against a delay by a difference from before a long silence.
def test_after_a_silence_of_two_windows_the_delay_is_unknown():
    delay = TransitDelay()
    receive(delay, 0.0, FAST_S)
    assert receive(delay, 2 * WINDOW_S, FAST_S) is None


# Guards against ages that are too small after the sender was suspended: its clock stood
# still, and so did the age of its proof.
@pytest.mark.parametrize("suspended_s", [0.3, 2.0, 12.0])
def test_a_suspension_of_the_sender_counts_as_delay(suspended_s):
    delay = TransitDelay()
    for number in range(18):
        receive(delay, number * HEARTBEAT_S, FAST_S)
    resumed_at = 17 * HEARTBEAT_S + suspended_s
    for number in range(19):
        received_at = resumed_at + number * HEARTBEAT_S + FAST_S
        sent_at = received_at - FAST_S - suspended_s + OFFSET_S
        late_s = delay.record(1, sent_at, received_at)
        if received_at < 2 * WINDOW_S:
            assert late_s == pytest.approx(suspended_s)


# Guards against heartbeats that arrived while the receiver was suspended and are read
# after it with the clock of its start, so that they seem to be without any delay.
def test_heartbeats_from_a_suspension_of_the_receiver_have_no_known_delay():
    delay = TransitDelay()
    for number in range(4):
        receive(delay, number * HEARTBEAT_S, FAST_S)
    stopped_at = 1.6
    for number in range(4, 14):
        read_at = stopped_at + 0.001 * number
        assert delay.record(1, number * HEARTBEAT_S + OFFSET_S, read_at) is None
    suspended_s = 6.9 - stopped_at
    late = [
        delay.record(
            1,
            number * HEARTBEAT_S + OFFSET_S,
            number * HEARTBEAT_S + FAST_S - suspended_s,
        )
        for number in range(14, 18)
    ]
    assert late == [None, *[pytest.approx(0.0)] * 3]
