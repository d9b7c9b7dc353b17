"""The back ends of an entry, kept in step with the catalogue."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ..catalogue.model import ServerState
from .backend import Backend

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..catalogue.model import Address, ListedServer
    from .backend import EngineReport


@dataclass(slots=True)
class BackendsSection:
    """
    Back ends by identifier; ``by_service`` holds those that may get new work.

    ``reports`` keeps the latest report by address, also of servers that are not
    listed yet.
    """

    backends: dict[str, Backend] = field(default_factory=dict)
    by_service: dict[str, list[Backend]] = field(default_factory=dict)
    by_address: dict[Address, Backend] = field(default_factory=dict)
    reports: dict[Address, EngineReport] = field(default_factory=dict)

    def follow(self, servers: Iterable[ListedServer]) -> None:
        """Take in the list of back ends; what is known of those that stay is kept."""
        listed = {server.server_id: server for server in servers}
        for server_id in [name for name in self.backends if name not in listed]:
            del self.backends[server_id]
        for server_id, server in listed.items():
            backend = self.backends.get(server_id)
            if backend is None or is_another(backend.listed, server):
                backend = self.backends[server_id] = Backend(server)
                backend.report = self.report_for(server)
            backend.listed = server
        self.by_service = {}
        self.by_address = {}
        for backend in self.backends.values():
            server = backend.listed
            if server.state is ServerState.READY:
                self.by_service.setdefault(server.service, []).append(backend)
            self.by_address[server.address] = backend
        known = {server.address for server in listed.values()}
        for address in [a for a in self.reports if a not in known]:
            del self.reports[address]

    def report_for(self, server: ListedServer) -> EngineReport | None:
        """Return the latest report of the server that is at an address, if it is it."""
        report = self.reports.get(server.address)
        if report is None or (server.born_ms and report.born_ms != server.born_ms):
            return None
        return report

    def hear(self, address: Address, report: EngineReport) -> None:
        """Take in a report of the agent beside a back end."""
        self.reports[address] = report
        backend = self.by_address.get(address)
        if backend is None:
            return
        born_ms = backend.listed.born_ms
        if born_ms and report.born_ms and report.born_ms < born_ms:
            return
        backend.reported(replace(report, own_in_flight=backend.in_flight))

    def serving(self, service: str) -> list[Backend]:
        """Return the back ends of a service that are listed as ready."""
        return self.by_service.get(service, [])


def is_another(known: ListedServer, listed: ListedServer) -> bool:
    """Return whether an identifier now names another start of a server."""
    return (known.address, known.born_ms) != (listed.address, listed.born_ms)
