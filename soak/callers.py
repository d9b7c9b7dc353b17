"""Callers on connections that they keep, and probes of the configuration in force."""

from __future__ import annotations

import http.client
import itertools
import time
from typing import TYPE_CHECKING

import eventlet

from .backends import SLOTS, ModelServer
from .fleet import HOST_NAME, KEYS, ROUTE_TIMEOUT_S
from .ledger import CONFIGURATION_S, CONTACT_S, Attempt

if TYPE_CHECKING:
    from random import Random

    from .fleet import Fleet, Vm

PAUSE_S = 0.08
PROBE_S = 0.3
PATIENCE_S = 2.0  # beyond a route's timeout; then a caller leaves
REQUESTS_ON_A_CONNECTION = 20
EVENTS = (3, 30)
KINDS = ("read", "order", "stream")


class Caller:
    """Sends requests one after the other; ``run`` ends when ``stopped`` is set."""

    numbers = itertools.count(1)

    def __init__(self, fleet: Fleet, random: Random) -> None:
        self.fleet = fleet
        self.random = random
        self.stopped = False
        self.connection: http.client.HTTPConnection | None = None
        self.entry: Vm | None = None
        self.left = 0

    def run(self) -> None:
        """Send requests until told to stop."""
        while not self.stopped:
            eventlet.sleep(PAUSE_S * 2 * self.random.random())
            kind = self.random.choice(KINDS)
            connection, entry = self.connected()
            if connection is not None and entry is not None:
                self.request(connection, entry, kind)

    def connected(self) -> tuple[http.client.HTTPConnection | None, Vm | None]:
        """Return the kept connection, or a new one to an entry in rotation."""
        if self.connection is not None and self.left > 0:
            self.left -= 1
            return self.connection, self.entry
        self.close()
        ready = [vm for vm in self.fleet.entries() if vm.in_rotation]
        if not ready:
            return None, None
        entry = self.random.choice(ready)
        host, _, port = entry.settings["callers"].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
        try:
            connection.connect()
        except OSError:
            return None, None
        self.connection, self.entry = connection, entry
        self.left = self.random.randrange(REQUESTS_ON_A_CONNECTION)
        return connection, entry

    def close(self) -> None:
        """End the connection."""
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    def request(
        self, connection: http.client.HTTPConnection, entry: Vm, kind: str
    ) -> None:
        """Send one request and note how it ended."""
        key = self.random.choice(list(KEYS))
        last = self.random.randint(*EVENTS)
        timeout_s = ROUTE_TIMEOUT_S[kind]
        attempt = Attempt(
            request_id=f"r{next(self.numbers):07d}",
            kind=kind,
            entry=entry.name,
            sent_at=time.monotonic(),
            timeout_s=timeout_s,
            workspace=KEYS[key],
            last_event=last,
        )
        self.fleet.ledger.attempts.append(attempt)
        headers = {
            "Host": HOST_NAME,
            "Request-Id": attempt.request_id,
            "Authorization": f"Bearer {key}",
            "Deadline-Ms": str(int(timeout_s * 1000)),
            "Tenant": "forged",
        }
        if kind == "stream":
            headers |= {"Model": "m", "Token-Usage": "600,100"}
        method = "GET" if kind == "read" else "POST"
        body = None if kind == "read" else b"x" * self.random.randint(1, 2000)
        connection.timeout = timeout_s + PATIENCE_S
        if connection.sock is not None:
            connection.sock.settimeout(connection.timeout)
        try:
            connection.request(method, f"/{kind}/x/{last}", body, headers)
            answer = connection.getresponse()
            attempt.status = answer.status
            attempt.seal = answer.getheader("Response-Seal", "")
            attempt.echoed_id = answer.getheader("Request-Id", "")
            attempt.body = answer.read()
            attempt.whole = True
        except http.client.IncompleteRead as exc:
            attempt.body = exc.partial
            self.close()
        except (OSError, http.client.HTTPException):
            self.close()
        else:
            if answer.will_close:
                self.close()
        attempt.ended_at = time.monotonic()
        self.fleet.ledger.check_attempt(attempt)
        if kind == "stream" and attempt.status == 503:
            self.check_room(attempt)

    def check_room(self, attempt: Attempt) -> None:
        """Note a breach if a stream was refused though half of the engines had room."""
        ledger, since = self.fleet.ledger, attempt.sent_at - CONTACT_S
        now = attempt.ended_at
        engines = [
            b for b in self.fleet.backends.values() if isinstance(b, ModelServer)
        ]
        roomy = [
            engine
            for engine in engines
            if engine.version == self.fleet.version
            and engine.loaded_at < since
            and engine.running < SLOTS // 2
            and ledger.calm(engine.server_id, since, now)
        ]
        if 2 * len(roomy) >= len(engines) and ledger.calm(attempt.entry, since, now):
            ledger.breach("room", f"{attempt.request_id} at {attempt.entry}: 503")


class Prober:
    """Asks each entry for the route of the newest configuration, for good."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.published_at = time.monotonic()
        self.numbers = itertools.count(1)

    def run(self) -> None:
        """Probe all entries in turn."""
        while True:
            eventlet.sleep(PROBE_S)
            for entry in self.fleet.entries():
                eventlet.spawn_n(self.probe, entry)

    def probe(self, entry: Vm) -> None:
        """Ask one entry, and check what its answer says of its configuration."""
        fleet, incarnation = self.fleet, entry.incarnation
        wanted, published_at = fleet.configuration, self.published_at
        host, _, port = entry.settings["callers"].rpartition(":")
        sent_at = time.monotonic()
        request_id = f"p{entry.name}{next(self.numbers)}"
        fleet.ledger.probes.add(request_id)
        connection = http.client.HTTPConnection(host, int(port), timeout=2.0)
        headers = {
            "Host": HOST_NAME,
            "Request-Id": request_id,
            "Authorization": "Bearer key-1",
            "Deadline-Ms": "1000",
        }
        try:
            connection.request("GET", f"/probe/{wanted}/x", None, headers)
            status = connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return
        finally:
            connection.close()
        # The route may have gone with a newer configuration while it was asked for.
        if incarnation != entry.incarnation or wanted != fleet.configuration:
            return
        ledger = fleet.ledger
        # Only the route of the newest configuration is asked for, and the entries
        # know no other one.
        if status == 404:
            ledger.configuration_seen(entry.name, incarnation, wanted - 1, sent_at)
            due = published_at + CONFIGURATION_S
            if sent_at > due and ledger.calm(
                entry.name, published_at - CONTACT_S, sent_at
            ):
                ledger.breach("configuration late", f"{entry.name}: {wanted}")
        elif status == 200:
            ledger.configuration_seen(entry.name, incarnation, wanted, sent_at)
