"""In a retry storm the retries of all entries stay within the published budget."""

from __future__ import annotations

from primroselever_core.dispatch.retry_share import RetryLimits, RetryShare

LIMITS = RetryLimits(ratio=0.2, slack=100.0, window_s=10.0)


def test_all_entries_together_stay_within_the_budget_when_every_request_fails():
    entries = 7
    shares = [RetryShare(LIMITS) for _ in range(entries)]
    retried_at = []
    for step in range(2000):
        now = step * 0.01
        share = shares[step % entries]
        share.record_request(now)
        if share.take_retry(entries, now):
            retried_at.append(now)
    for start in range(0, 11):
        retries = sum(start <= at < start + 10 for at in retried_at)
        assert retries <= LIMITS.ratio * 1000 + LIMITS.slack
    assert len(retried_at) > 100


def test_retries_older_than_the_window_no_longer_count():
    share = RetryShare(LIMITS)
    while share.take_retry(1, 0.0):
        pass
    assert not share.take_retry(1, 9.9)
    assert share.take_retry(1, 10.1)
