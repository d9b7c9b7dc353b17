"""Back ends are synchronised with the list by identifier and start."""

from __future__ import annotations

from dataclasses import replace

from primroselever_core.catalogue.model import ServerState
from primroselever_core.dispatch.section import BackendsSection


def test_the_state_of_a_server_that_stays_listed_is_kept(make_backend):
    section = BackendsSection()
    listed = make_backend("a").listed
    section.apply_listing([listed])
    section.backends["a"].in_flight = 3
    section.apply_listing([replace(listed, slots=9)])
    assert section.backends["a"].in_flight == 3


def test_a_new_start_under_the_same_identifier_resets_the_state(make_backend):
    section = BackendsSection()
    listed = make_backend("a").listed
    section.apply_listing([listed])
    section.backends["a"].record_failure(1.0, 1.0)
    section.apply_listing([replace(listed, born_ms=2)])
    assert section.backends["a"].ejections == 0


def test_a_leaving_server_gets_no_new_requests(make_backend):
    section = BackendsSection()
    listed = make_backend("a").listed
    section.apply_listing([replace(listed, state=ServerState.LEAVING)])
    assert section.serving("s") == []
    assert "a" in section.backends


def test_a_report_of_an_earlier_start_is_ignored(make_backend, make_report):
    section = BackendsSection()
    listed = replace(make_backend("a").listed, born_ms=5)
    section.apply_listing([listed])
    section.apply_report(listed.address, make_report(1.0, born_ms=4, version=7))
    assert section.backends["a"].report is None
    section.apply_report(listed.address, make_report(1.0, born_ms=5, version=7))
    assert section.backends["a"].loaded_version("m", 1.1) == 7


def test_a_report_that_arrived_before_the_listing_is_used(make_backend, make_report):
    section = BackendsSection()
    listed = make_backend("a").listed
    section.apply_report(listed.address, make_report(1.0, version=7))
    section.apply_listing([listed])
    assert section.backends["a"].loaded_version("m", 1.1) == 7


def test_a_report_without_a_start_matches_a_server_whenever_it_is_listed(
    make_backend, make_report
):
    section = BackendsSection()
    listed = replace(make_backend("a").listed, born_ms=5)
    section.apply_report(listed.address, make_report(1.0, born_ms=0, version=7))
    section.apply_listing([listed])
    assert section.backends["a"].loaded_version("m", 1.1) == 7


# Pattern: a loss of power. Every server starts again under a new identifier, and the
# list holds both starts until the leases of the earlier ones lapse.


def test_the_earlier_of_two_starts_at_an_address_gets_no_requests(make_backend):
    section = BackendsSection()
    earlier = make_backend("a").listed
    later = replace(earlier, server_id="b", born_ms=2, weights=())
    for listing in ([earlier, later], [later, earlier]):
        section.apply_listing(listing)
        assert [each.listed.server_id for each in section.serving("s")] == ["b"]
        assert section.by_address[earlier.address].listed.server_id == "b"


def test_a_server_whose_agent_reports_a_later_start_gets_no_requests(
    make_backend, make_report
):
    section = BackendsSection()
    earlier, other = make_backend("a").listed, make_backend("b").listed
    section.apply_listing([earlier, other])
    section.apply_report(earlier.address, make_report(1.0, born_ms=2, version=0))
    assert [each.listed.server_id for each in section.serving("s")] == ["b"]
    section.apply_listing([earlier, other])
    assert [each.listed.server_id for each in section.serving("s")] == ["b"]
    later = replace(earlier, server_id="c", born_ms=2)
    section.apply_listing([earlier, other, later])
    assert [each.listed.server_id for each in section.serving("s")] == ["b", "c"]
