"""Drawn sequences of closures of a server, lists of back ends and engine reports."""

from __future__ import annotations

from random import Random

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from primroselever_core.catalogue.model import ListedServer, ServerState
from primroselever_core.dispatch.announcements import ServerStart, start_of
from primroselever_core.dispatch.backend import Backend, EngineReport
from primroselever_core.dispatch.section import BackendsSection

ADDRESSES = [("10.0.0.1", 1), ("10.0.0.2", 1)]
SERVER_IDS = ["i-1", "i-2"]
# A server that has just announced its pause is used again within this time after it.
RETURN_S = 1.0

servers = st.builds(
    ListedServer,
    st.sampled_from(SERVER_IDS),
    st.just("s"),
    st.sampled_from(ADDRESSES),
    st.just("a"),
    st.sampled_from([ServerState.READY, ServerState.READY, ServerState.LEAVING]),
    st.just(8),
    st.sampled_from([1, 2]),
)


class ClosedServers(RuleBasedStateMachine):
    """One entry's view of servers that ask for pauses while their list changes."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.section = BackendsSection()
        self.random = Random(1)
        self.closed_until: dict[ServerStart, float] = {}
        self.under_way: list[Backend] = []

    @rule(listed=st.lists(servers, max_size=3))
    def list_servers(self, listed):
        self.section.apply_listing(listed)

    @rule(address=st.sampled_from(ADDRESSES), born_ms=st.sampled_from([0, 1, 2]))
    def report(self, address, born_ms):
        report = EngineReport(self.now, born_ms, "m", 1, False, 0, 0, 1.0)
        self.section.apply_report(address, report)

    @rule(data=st.data())
    def send(self, data):
        available = [b for b in self.section.serving("s") if b.available(self.now)]
        if available:
            self.under_way.append(data.draw(st.sampled_from(available)))

    @rule(data=st.data(), closed_s=st.sampled_from([0.2, 1.0, 3.0]))
    def turn_away(self, data, closed_s):
        if not self.under_way:
            return
        index = data.draw(st.integers(0, len(self.under_way) - 1))
        start = start_of(self.under_way.pop(index).listed)
        announced = self.section.announcements.of_start(start)
        announced.record_closure(self.now + closed_s, self.now, self.random)
        until = self.closed_until.get(start, 0.0)
        self.closed_until[start] = max(until, self.now + closed_s)

    @rule(data=st.data())
    def fail(self, data):
        if self.under_way:
            backend = self.under_way.pop()
            backend.record_failure(self.now, self.now - data.draw(st.floats(0, 1)))

    @rule(passed_s=st.sampled_from([0.05, 0.5, 2.0]))
    def wait(self, passed_s):
        self.now += passed_s

    @invariant()
    def no_request_reaches_a_closed_start(self):
        for backend in self.section.serving("s"):
            until = self.closed_until.get(start_of(backend.listed), 0.0)
            assert not (backend.available(self.now) and self.now < until)

    @invariant()
    def a_start_is_used_again_soon_after_its_pause(self):
        for backend in self.section.serving("s"):
            until = self.closed_until.get(start_of(backend.listed), 0.0)
            if self.now >= until + RETURN_S:
                assert backend.announced.admits_requests(self.now)


# Guards against requests to a server in the pause that it asked for: the pause was
# kept for one start of the server, or lost when the list of back ends changed.
TestClosedServers = ClosedServers.TestCase
TestClosedServers.settings = settings(
    max_examples=200, stateful_step_count=40, derandomize=True, deadline=None
)
