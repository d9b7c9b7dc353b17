"""Callers on persistent connections, and probes of the active configuration."""

from __future__ import annotations

import http.client
import itertools
import time
from typing import TYPE_CHECKING

import eventlet

from .backends import SLOTS
from .engines import ModelServer
from .fleet import HOST_NAME, ROUTE_TIMEOUT_S, WORKSPACE_BY_API_KEY
from .ledger import (
    CONFIGURATION_LIMIT_S,
    CONTACT_RECOVERY_S,
    STORE_RESTORE,
    Attempt,
)
from .load_checks import PRIORITIES

if TYPE_CHECKING:
    from random import Random

    from .fleet import Fleet, Vm

MEAN_PAUSE_S = 0.08
PROBE_INTERVAL_S = 0.3
DISCONNECT_DELAY_S = 2.0  # after the timeout of a route
MAX_REQUESTS_PER_CONNECTION = 20
# The other callers use a connection until the entry or its process ends it.
SHORT_CONNECTION_SHARE = 0.5
EVENT_COUNT_RANGE = (3, 30)
REQUEST_KINDS = ("read", "order", "stream", "batch", "home")
KINDS_WITHOUT_BODY = ("read", "home")


class Caller:
    """Sends requests in sequence until ``stopped`` is set."""

    request_numbers = itertools.count(1)

    def __init__(self, fleet: Fleet, random: Random) -> None:
        self.fleet = fleet
        self.random = random
        self.stopped = False
        self.connection: http.client.HTTPConnection | None = None
        self.entry: Vm | None = None
        self.remaining_requests = 0.0
        self.keeps_connections = random.random() >= SHORT_CONNECTION_SHARE

    def run(self) -> None:
        """Send random requests until ``stopped`` is set."""
        while not self.stopped:
            eventlet.sleep(MEAN_PAUSE_S * 2 * self.random.random())
            kind = self.random.choice(REQUEST_KINDS)
            connection, entry = self.get_connection()
            if connection is not None and entry is not None:
                self.send_request(connection, entry, kind)

    def get_connection(self) -> tuple[http.client.HTTPConnection | None, Vm | None]:
        """
        Return the open connection, or a new one to an entry in rotation, and its entry.

        Return None for both if there is no such entry or connecting fails.
        """
        if self.connection is not None and self.remaining_requests > 0:
            self.remaining_requests -= 1
            return self.connection, self.entry
        self.close()
        available_entries = [vm for vm in self.fleet.entries() if vm.in_rotation]
        if not available_entries:
            return None, None
        entry = self.random.choice(available_entries)
        connection = self.connect(entry)
        if connection is None:
            return None, None
        self.remaining_requests = self.random.randrange(MAX_REQUESTS_PER_CONNECTION)
        if self.keeps_connections:
            self.remaining_requests = float("inf")
        return connection, entry

    def connect(self, entry: Vm) -> http.client.HTTPConnection | None:
        """Return a new connection to an entry, None if connecting fails."""
        host, _, port = entry.settings["callers"].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
        try:
            connection.connect()
        except OSError:
            return None
        self.connection, self.entry = connection, entry
        return connection

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    def send_request(
        self, connection: http.client.HTTPConnection, entry: Vm, kind: str
    ) -> None:
        """Send a request, then record and check its result."""
        api_key = self.random.choice(list(WORKSPACE_BY_API_KEY))
        last_event = self.random.randint(*EVENT_COUNT_RANGE)
        timeout_s = ROUTE_TIMEOUT_S[kind]
        attempt = Attempt(
            request_id=f"r{next(self.request_numbers):07d}",
            kind=kind,
            entry=entry.name,
            sent_at=time.monotonic(),
            timeout_s=timeout_s,
            workspace=WORKSPACE_BY_API_KEY[api_key],
            last_event=last_event,
        )
        self.fleet.ledger.attempts.append(attempt)
        if entry.stopping:
            self.fleet.ledger.counts["requests to a stopping entry"] += 1
        headers = {
            "Host": HOST_NAME,
            "Request-Id": attempt.request_id,
            "Authorization": f"Bearer {api_key}",
            "Deadline-Ms": str(int(timeout_s * 1000)),
            # Entries must replace this by the workspace of the API key.
            "Tenant": "forged",
        }
        if kind in PRIORITIES:
            headers |= {"Model": "m", "Token-Usage": "600,100"}
        method = "GET" if kind in KINDS_WITHOUT_BODY else "POST"
        body = None if method == "GET" else b"x" * self.random.randint(1, 2000)
        connection.timeout = timeout_s + DISCONNECT_DELAY_S
        if connection.sock is not None:
            connection.sock.settimeout(connection.timeout)
        try:
            connection.request(method, f"/{kind}/x/{last_event}", body, headers)
            response = connection.getresponse()
            attempt.status = response.status
            attempt.seal = response.getheader("Response-Seal", "")
            attempt.echoed_id = response.getheader("Request-Id", "")
            attempt.body = response.read()
            attempt.whole = True
        except http.client.IncompleteRead as exc:
            attempt.body = exc.partial
            self.close()
        except (OSError, http.client.HTTPException):
            self.close()
        else:
            if response.will_close:
                self.close()
        attempt.ended_at = time.monotonic()
        self.fleet.ledger.check_attempt(attempt)
        if kind == "stream" and attempt.status == 503:
            self.check_refusal(attempt)

    def check_refusal(self, attempt: Attempt) -> None:
        """Record a violation if half of the engines could have run a refused stream."""
        ledger, window_start = self.fleet.ledger, attempt.sent_at - CONTACT_RECOVERY_S
        window_end = attempt.ended_at
        engines = [
            backend
            for backend in self.fleet.backends.values()
            if isinstance(backend, ModelServer)
        ]
        available_engines = [
            engine
            for engine in engines
            if engine.version == self.fleet.weights_version
            and engine.loaded_at < window_start
            and engine.running < SLOTS // 2
            and not ledger.was_evacuated(engine.domain, window_start, window_end)
            and ledger.is_fault_free(
                engine.server_id, window_start, window_end, STORE_RESTORE
            )
        ]
        # A restored store lacks back ends for a moment. Only an entry that started
        # meanwhile may lack them too.
        ignored_kind = (
            ""
            if ledger.had_fault((attempt.entry,), window_start, window_end)
            else STORE_RESTORE
        )
        if 2 * len(available_engines) >= len(engines) and ledger.is_fault_free(
            attempt.entry, window_start, window_end, ignored_kind
        ):
            ledger.record_violation(
                "room", f"{attempt.request_id} at {attempt.entry}: 503"
            )


class Prober:
    """Requests the route of the newest configuration from each entry at intervals."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.published_at = time.monotonic()
        self.probe_numbers = itertools.count(1)

    def run(self) -> None:
        """Probe all entries at intervals until the process exits."""
        while True:
            eventlet.sleep(PROBE_INTERVAL_S)
            for entry in self.fleet.entries():
                eventlet.spawn_n(self.probe_entry, entry)

    def probe_entry(self, entry: Vm) -> None:
        """Probe an entry and check which configuration its answer indicates."""
        fleet, incarnation = self.fleet, entry.incarnation
        published_revision, published_at = (
            fleet.configuration_revision,
            self.published_at,
        )
        host, _, port = entry.settings["callers"].rpartition(":")
        sent_at = time.monotonic()
        request_id = f"p{entry.name}{next(self.probe_numbers)}"
        fleet.ledger.probe_ids.add(request_id)
        connection = http.client.HTTPConnection(host, int(port), timeout=2.0)
        headers = {
            "Host": HOST_NAME,
            "Request-Id": request_id,
            "Authorization": "Bearer key-1",
            "Deadline-Ms": "1000",
        }
        try:
            connection.request("GET", f"/probe/{published_revision}/x", None, headers)
            status = connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return
        finally:
            connection.close()
        # A newer configuration may have removed the route during the probe.
        if (
            incarnation != entry.incarnation
            or published_revision != fleet.configuration_revision
        ):
            return
        ledger = fleet.ledger
        # Each configuration contains only its own probe route, so that status 404 shows
        # that the entry uses an older configuration.
        if status == 404:
            ledger.record_configuration(
                entry.name, incarnation, published_revision - 1, sent_at
            )
            deadline = published_at + CONFIGURATION_LIMIT_S
            # A configuration that was published during a fault is in force this long
            # after its end.
            in_touch_since = sent_at - CONTACT_RECOVERY_S - CONFIGURATION_LIMIT_S
            if sent_at > deadline and (
                ledger.is_fault_free(
                    entry.name, published_at - CONTACT_RECOVERY_S, sent_at
                )
                or (
                    in_touch_since > published_at
                    and ledger.is_fault_free(entry.name, in_touch_since, sent_at)
                )
            ):
                ledger.record_violation(
                    "configuration late", f"{entry.name}: {published_revision}"
                )
        elif status == 200:
            ledger.record_configuration(
                entry.name, incarnation, published_revision, sent_at
            )
