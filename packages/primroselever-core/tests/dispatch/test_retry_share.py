"""A retry storm: the sum over entries keeps to the published budget."""

from __future__ import annotations

from primroselever_core.dispatch.retry_share import RetryLimits, RetryShare

LIMITS = RetryLimits(ratio=0.2, slack=100.0, window_s=10.0)


def test_all_entries_together_keep_the_budget_when_every_request_fails():
    entries = 7
    shares = [RetryShare(LIMITS) for _ in range(entries)]
    taken = []
    for step in range(2000):
        now = step * 0.01
        share = shares[step % entries]
        share.request(now)
        if share.take(entries, now):
            taken.append(now)
    for start in range(0, 11):
        inside = sum(start <= at < start + 10 for at in taken)
        assert inside <= LIMITS.ratio * 1000 + LIMITS.slack
    assert len(taken) > 100


def test_what_left_the_window_is_forgotten():
    share = RetryShare(LIMITS)
    while share.take(1, 0.0):
        pass
    assert not share.take(1, 9.9)
    assert share.take(1, 10.1)
