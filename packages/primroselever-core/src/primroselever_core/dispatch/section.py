"""The back ends of an entry, synchronised with the catalogue."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ..catalogue.model import ServerState
from .announcements import AnnouncementsSection, start_of
from .backend import Backend, close_new_start
from .cold_pace import ColdPace
from .ramps import StartPace, let_through

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from ..catalogue.model import Address, ListedServer
    from .backend import EngineReport

MAX_UNLISTED_REPORTS = 4096  # above the number of servers that start together


@dataclass(slots=True)
class BackendsSection:
    """
    Back ends by identifier; ``by_service`` holds those that are listed as ready.

    After a loss of power the list holds a server twice for some seconds: its start
    before, until the lease lapses, and its present one. The earlier start at an address
    is left out of ``by_service``. It would seem to be idle and refuse all requests.

    ``reports`` holds the latest report by address. A report of a server that is not
    listed yet is kept until the next list of back ends is applied. ``announcements``
    outlast a list that lacks their server. ``cold_pace`` holds the cold servers,
    and ``start_pace`` those that started or recovered. ``measured_pace`` is whether
    choices follow the pace that this entry measures, and ``server_memory`` whether
    requests are sent only to engines that can hold them.
    """

    backends: dict[str, Backend] = field(default_factory=dict)
    by_service: dict[str, list[Backend]] = field(default_factory=dict)
    by_address: dict[Address, Backend] = field(default_factory=dict)
    reports: dict[Address, EngineReport] = field(default_factory=dict)
    announcements: AnnouncementsSection = field(default_factory=AnnouncementsSection)
    cold_pace: ColdPace = field(default_factory=ColdPace)
    start_pace: StartPace = field(init=False)
    measured_pace: bool = False
    server_memory: bool = False

    def __post_init__(self) -> None:
        self.start_pace = StartPace(self.cold_pace.members)

    def apply_listing(self, servers: Iterable[ListedServer]) -> None:
        """Apply the list of back ends and keep the state of those that stay listed."""
        listed = {server.server_id: server for server in servers}
        for server_id in [known for known in self.backends if known not in listed]:
            del self.backends[server_id]
        for server_id, server in listed.items():
            backend = self.backends.get(server_id)
            if backend is None or is_different_start(backend.listed, server):
                backend = self.backends[server_id] = Backend(
                    server, measures_pace=self.measured_pace
                )
                backend.report = self.find_report(server)
                if backend.report is not None:
                    backend.record_memory(backend.report)
                    backend.was_empty = not backend.report.version
                else:
                    backend.report = self.close_unreported_start(server)
                backend.announced = self.announcements.of_start(start_of(server))
            backend.listed = server
        self.announcements.drop_unlisted({start_of(each) for each in listed.values()})
        self.by_service = {}
        self.by_address = {}
        for backend in self.backends.values():
            current = self.by_address.get(backend.listed.address)
            if current is None or current.listed.born_ms <= backend.listed.born_ms:
                self.by_address[backend.listed.address] = backend
        for backend in self.backends.values():
            server = backend.listed
            if server.state is ServerState.READY and not self.is_replaced(server):
                self.by_service.setdefault(server.service, []).append(backend)
        addresses = {server.address for server in listed.values()}
        for address in [a for a in self.reports if a not in addresses]:
            del self.reports[address]

    def set_measured_pace(self, enabled: bool) -> None:
        """Turn the measured pace on or off, for all back ends."""
        if enabled == self.measured_pace:
            return
        self.measured_pace = enabled
        for backend in self.backends.values():
            backend.measures_pace = enabled
            # Requests in flight keep their numbers, which must not be given again.
            backend.measured.samples.clear()
            backend.measured.others_until.clear()
            backend.own_sent_in_lag = 0
            if backend.report is not None:
                backend.report = replace(backend.report, lag_s=0.0, ended=0.0)

    def is_replaced(self, server: ListedServer) -> bool:
        """Return whether a later start than this one is known at its address."""
        if not server.born_ms:
            return False
        report = self.reports.get(server.address)
        if report is not None and report.born_ms > server.born_ms:
            return True
        return self.by_address[server.address].listed.born_ms > server.born_ms

    def find_report(self, server: ListedServer) -> EngineReport | None:
        """Return the latest report for a start of a server, None without one."""
        report = self.reports.get(server.address)
        return report if report is not None and is_same_start(server, report) else None

    def close_unreported_start(self, server: ListedServer) -> EngineReport | None:
        """Return a report that closes a start after the one that was reported last."""
        report = self.reports.get(server.address)
        if report is None or report.born_ms >= server.born_ms:
            return None
        return close_new_start(report, server.born_ms)

    def apply_report(self, address: Address, report: EngineReport) -> None:
        """
        Store a report of the agent on a back end's VM.

        A back end may be listed after the first report on it. Of the addresses that are
        not listed, the latest ``MAX_UNLISTED_REPORTS`` new ones are kept.
        """
        backend = self.by_address.get(address)
        if backend is None:
            self.store_unlisted_report(address, report)
            return
        self.reports[address] = report
        if not is_same_start(backend.listed, report):
            if self.is_replaced(backend.listed):
                members = self.serving(backend.listed.service)
                members[:] = [member for member in members if member is not backend]
            return
        backend.apply_report(replace(report, own_in_flight=backend.in_flight))
        # Only the first weights of a start: an engine may have none in a switch.
        if not report.version:
            backend.was_empty = backend.was_empty is not False
        elif backend.was_empty is not False:
            if backend.was_empty:
                self.start_pace.begin(backend, "filled with weights")
            backend.was_empty = False

    def store_unlisted_report(self, address: Address, report: EngineReport) -> None:
        """Store the report on an address that is not listed, and drop the oldest."""
        is_new = address not in self.reports
        self.reports[address] = report
        if is_new and len(self.reports) > len(self.by_address) + MAX_UNLISTED_REPORTS:
            oldest = next(each for each in self.reports if each not in self.by_address)
            del self.reports[oldest]

    def record_taken_back(self, failure_domain: str, now: float) -> None:
        """Treat the servers of a domain as started at the end of an evacuation."""
        backends = list(self.backends.values())
        self.cold_pace.record_taken_back(failure_domain, backends, now)
        for backend in backends:
            if backend.listed.failure_domain == failure_domain:
                self.start_pace.begin(backend, "its failure domain was taken back")

    def record_wanted(self, backends: Collection[Backend], now: float) -> None:
        """Record a request that any of a service's back ends might get."""
        if not self.start_pace.ramps:
            return
        for backend in backends:
            backend.record_wanted(now)
        let_through(backends, now)

    def serving(self, service: str) -> list[Backend]:
        """Return the back ends of a service that are listed as ready."""
        return self.by_service.get(service, [])


def is_different_start(previous: ListedServer, listed: ListedServer) -> bool:
    """Return whether an identifier now belongs to another start of a server."""
    return (previous.address, previous.born_ms) != (listed.address, listed.born_ms)


def is_same_start(server: ListedServer, report: EngineReport) -> bool:
    """Return whether a report may be of this start of a server; 0 matches any start."""
    return 0 in (server.born_ms, report.born_ms) or server.born_ms == report.born_ms
