"""The number of reports per agent does not grow with the other failure domains."""

from __future__ import annotations

from collections import Counter

from primroselever_core.filling.reporting import (
    MAX_REPORTED_PER_OTHER_DOMAIN,
    reported_hosts,
)
from primroselever_core.filling.section import FillingBoard
from primroselever_core.identity import Identity


def make_entries(per_domain: int, domains: str = "abcde") -> dict[str, str]:
    return {
        f"10.{ord(domain)}.0.{index}": domain
        for domain in domains
        for index in range(per_domain)
    }


def test_the_number_of_entries_elsewhere_is_bounded():
    for per_domain in (2, 20, 200):
        selected = reported_hosts("10.9.0.1", "a", make_entries(per_domain))
        others = len(selected) - per_domain
        assert others == 4 * min(per_domain, MAX_REPORTED_PER_OTHER_DOMAIN)


def test_engines_are_spread_over_the_entries_of_another_domain():
    entries = make_entries(20, "ab")
    counts = Counter(
        host
        for agent in range(70)
        for host in reported_hosts(f"10.9.0.{agent}", "a", entries)
        if entries[host] == "b"
    )
    assert len(counts) == 20
    assert max(counts.values()) < 3 * 70 * MAX_REPORTED_PER_OTHER_DOMAIN / 20


def test_an_agent_selects_the_entries_that_an_entry_expects():
    entries = make_entries(9)
    board = FillingBoard(Identity("v", "c", "r", 1), ("10.99.0.8", "10.200.0.1"))
    for host, domain in entries.items():
        board.record_entry(host, domain, 1.0)
    recipients = board.report_recipients("10.9.0.1")
    assert set(recipients) - {"10.200.0.1"} == set(
        reported_hosts("10.9.0.1", "c", entries)
    )
    assert {host for host, is_own in recipients.items() if is_own} == {
        host for host, domain in entries.items() if domain == "c"
    }
    # A seed that has not answered yet gets reports, too.
    assert recipients["10.200.0.1"] is False
