"""The state that an entry keeps for a back end."""

from __future__ import annotations

from primroselever_core.dispatch.backend import (
    FIRST_EJECTION_S,
    REPORT_VALID_S,
    UNREPORTED_REQUEST_S,
    find_failing_backends,
)


def test_a_fresh_report_takes_precedence_over_the_list(make_backend, make_report):
    backend = make_backend("a", weights=(("m", 1),))
    backend.apply_report(make_report(10.0, version=2))
    assert backend.loaded_version("m", 10.5) == 2
    assert backend.loaded_version("m", 10.1 + REPORT_VALID_S) == 1


def test_a_report_without_weights_takes_precedence_over_the_list(
    make_backend, make_report
):
    backend = make_backend("a", weights=(("m", 1),))
    backend.apply_report(make_report(10.0, version=0))
    assert backend.loaded_version("m", 10.5) == 0


def test_load_includes_requests_sent_since_the_report(make_backend, make_report):
    backend = make_backend("a")
    backend.in_flight = 2
    backend.apply_report(make_report(10.0, running=5, waiting=1, own_in_flight=2))
    assert backend.load(10.1) == 6
    backend.in_flight = 3
    backend.record_sent_by_other(0.1, 10.1)
    assert backend.load(10.1) == 8
    backend.apply_report(make_report(10.3, running=8, own_in_flight=3))
    assert backend.load(10.3) == 8


def test_ejections_grow_with_successive_failures(make_backend):
    backend = make_backend("a")
    backend.record_failure(1.0, 0.9)
    first = backend.ejected_until - 1.0
    backend.record_failure(2.0, 1.9)
    assert backend.ejected_until - 2.0 > first
    assert not backend.available(2.1)
    backend.record_success()
    backend.record_failure(9.0, 8.9)
    assert backend.ejected_until - 9.0 == first


# Guards against a sound server that is left out for seconds, since all requests that it
# ran when it paused for a moment counted as failures in a row.
def test_requests_that_fail_together_eject_a_server_once(make_backend):
    backend = make_backend("a")
    for _ in range(8):
        backend.record_failure(1.0, 0.9)
    assert backend.available(1.0 + FIRST_EJECTION_S)


# Guards against a sound server that is left out for seconds after a pause: requests
# that it had before its ejection fail after it, and each counted as a failure in a row.
def test_requests_sent_before_an_ejection_do_not_prolong_the_next_one(make_backend):
    backend = make_backend("a")
    backend.record_failure(1.0, 0.2)
    now = 1.0 + FIRST_EJECTION_S
    for sent_at in (0.3, 0.4, 0.5):
        backend.record_failure(now, sent_at)
        assert backend.ejected_until == now + FIRST_EJECTION_S
        now += FIRST_EJECTION_S
    backend.record_failure(now, now - 0.1)
    assert backend.ejected_until == now + 2 * FIRST_EJECTION_S


def test_a_server_that_fails_more_than_the_others_is_found(make_backend):
    backends = [make_backend(name) for name in "abcd"]
    for backend in backends:
        for index in range(12):
            backend.record_outcome(index % 6 != 0)
    assert find_failing_backends(backends) == set()
    for _ in range(8):
        backends[2].record_outcome(False)
    assert find_failing_backends(backends) == {"c"}


def test_none_is_found_when_all_servers_fail(make_backend):
    backends = [make_backend(name) for name in "abcd"]
    for backend in backends:
        for _ in range(10):
            backend.record_outcome(False)
    assert find_failing_backends(backends) == set()


def test_requests_of_other_entries_end_without_a_report(make_backend):
    backend = make_backend("a")
    for second in range(100):
        backend.record_sent_by_other(0.01, float(second))
    assert backend.load(99.0) <= UNREPORTED_REQUEST_S + 1
