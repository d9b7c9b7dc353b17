"""One saved search crashes the servers that look it up; its pages ask again together."""

from __future__ import annotations

import asyncio
import os
import random
import secrets
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins.fleet import (
    BOUNDS,
    LIMITS,
    CannotRunError,
    Fleet,
    Program,
    Record,
    request,
    run_case,
)
from standins.http import HttpError, Request
from standins.plain_server import PlainServer

FOLDER = Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES = {"lag-a": 3, "abj-a": 2, "phc-a": 2}  # as on the sheet
HOST, PREFIX, HOT_PATH = "hulo84.example", "/boye614/", "/boye614/hot/2f"
TENANT, KEY = "bozi300", "jnbanfqasnmgkcuyj8pj"
DEADLINE_MS = 620  # of watch-lookup
USUAL_INTERVAL_S = 1 / 3.74  # of watch-lookup
PAGES = 2  # in each zone, of one caller, that show the same saved search
REFRESH_S = 5.0
JITTER_S = 0.005
REFRESHES = 4
ALLOWED_RETRIES = 3  # of the rule
CONTACT_S = BOUNDS["contact_ms"] / 1000


def build_configuration() -> dict:
    """Return a configuration with the route of the lookups."""
    return {
        "version": 3,
        "routes": [
            {
                "name": "watch-lookup",
                "host": HOST,
                "path_prefix": PREFIX,
                "kind": "idempotent",
                "timeout_ms": 600,
                "target_latency_ms": 150,
                "priority": 2,
                "service": "alert-core",
                "max_attempts": 2,
                "allow_anonymous": False,
            }
        ],
        "services": [
            {
                "name": "alert-core",
                "health_path": "/health",
                "max_connections": 100,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": LIMITS,
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


class Case:
    """The run of the case."""

    def __init__(self) -> None:
        self.record = Record(FOLDER / "record.txt")
        self.fleet = Fleet(self.record, 31)
        self.arrivals: list[float] = []
        self.crashes: list[float] = []
        self.statuses: dict[str, int] = {}

    def crashes_on(self, lookup: Request) -> bool:
        """Return whether a lookup crashes its server."""
        return HAS_TROUBLE and lookup.path == HOT_PATH

    def note_crash(self) -> None:
        """Note when a server crashes."""
        self.crashes.append(self.record.now())

    def note_arrival(self, lookup: Request) -> None:
        """Note when a lookup of the hot path reaches a server."""
        if lookup.path == HOT_PATH:
            self.arrivals.append(self.record.now())

    async def look_up(self, entry, path: str) -> None:
        """Send one lookup as a client does."""
        request_id = secrets.token_hex(8)
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Bearer {KEY}",
        }
        self.record.line(f"client sends {request_id} GET {path} to {entry.name}")
        try:
            response = await request(
                entry.callers, "GET", path, headers, b"", DEADLINE_MS / 1000
            )
            outcome = str(response.status)
        except (HttpError, OSError, TimeoutError) as exc:
            outcome = f"no answer ({type(exc).__name__})"
        kind = "hot" if path == HOT_PATH else "usual"
        self.record.line(f"client gets {request_id} {outcome}")
        key = f"{kind} {outcome}"
        self.statuses[key] = self.statuses.get(key, 0) + 1

    async def send_usual(self, until: float) -> None:
        """Send the usual lookups, each of another saved search."""
        tasks = []
        while self.record.now() < until:
            entry = random.choice(self.fleet.programs)
            path = f"{PREFIX}{secrets.token_hex(4)}/2f"
            tasks.append(asyncio.ensure_future(self.look_up(entry, path)))
            await asyncio.sleep(USUAL_INTERVAL_S)
        await asyncio.gather(*tasks)

    async def refresh(self, entry) -> None:
        """Refresh one page."""
        await asyncio.sleep(random.uniform(0.0, JITTER_S))
        await self.look_up(entry, HOT_PATH)

    def pick_entries(self) -> list[Program]:
        """Return the entries to which the balancer gives the pages of each zone."""
        return [
            entry
            for zone in ENTRIES
            for entry in random.sample(
                [each for each in self.fleet.programs if each.zone == zone], PAGES
            )
        ]

    async def run(self) -> int:
        """Run the case; return the exit code."""
        await self.fleet.start_store()
        store = self.fleet.store
        await store.write("op/config", build_configuration())
        for number, zone in enumerate(ENTRIES, 1):
            server = PlainServer(
                f"core-{zone}",
                "alert-core",
                zone,
                f"127.31.{number}.100",
                store,
                self.record,
                crashes_on=self.crashes_on,
                on_arrival=self.note_arrival,
                on_crash=self.note_crash,
            )
            await server.start()
        for zone, count in ENTRIES.items():
            for number in range(1, count + 1):
                self.fleet.start(self.fleet.add_entry(zone, number))
        await self.fleet.wait_until_ready()
        await asyncio.sleep(CONTACT_S + 2.0)  # all machines are in touch
        begun_at = self.record.now()
        usual = asyncio.ensure_future(
            self.send_usual(begun_at + (REFRESHES + 1) * REFRESH_S)
        )
        await asyncio.sleep(REFRESH_S)
        for _ in range(REFRESHES):
            # Each page is a client, which the balancer has given to one machine.
            entries = self.pick_entries()
            await asyncio.gather(
                asyncio.sleep(REFRESH_S), *(self.refresh(entry) for entry in entries)
            )
        await usual
        return self.judge()

    def judge(self) -> int:
        """Return 1 if the rule was broken, else 0."""
        late = []
        if len(self.crashes) >= 3:
            counts_from = self.crashes[2] + CONTACT_S
            late = [at for at in self.arrivals if at > counts_from]
            self.record.line(
                f"the third crash was at {self.crashes[2]:.3f}; arrivals of the "
                f"crashing request after {counts_from:.3f}: "
                f"{', '.join(f'{at:.3f}' for at in late) or 'none'}"
            )
        is_broken = len(late) > ALLOWED_RETRIES
        answers = ", ".join(f"{k}: {v}" for k, v in sorted(self.statuses.items()))
        self.record.line(f"clients' outcomes: {answers}")
        verdict = (
            f"{len(self.crashes)} crashes; {len(late)} retries later than contact_ms "
            f"after the third, {ALLOWED_RETRIES} are allowed: "
            + ("BUDGET is broken" if is_broken else "BUDGET is kept")
        )
        if not HAS_TROUBLE and not any(key == "hot 200" for key in self.statuses):
            raise CannotRunError("no lookup was answered without the disruption")
        self.record.line(verdict)
        print(verdict)
        return int(is_broken)


def main() -> int:
    """Run the case; return 0, 1, or 2 if it could not run."""
    case = Case()
    return run_case(case.run, case.fleet)


if __name__ == "__main__":
    sys.exit(main())
