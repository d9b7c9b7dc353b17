"""Reading of what servers announce about themselves in the heads of their answers."""

from __future__ import annotations

import logging
import re
from datetime import UTC, datetime
from typing import TYPE_CHECKING

from primroselever_core.dispatch.announcements import MAX_CLOSED_S, MAX_RATE, start_of
from primroselever_node import clock
from primroselever_node.direct.responses import header
from primroselever_node.logs import log_decision

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from primroselever_core.catalogue.model import ListedServer
    from primroselever_core.dispatch.announcements import ServerStart
    from primroselever_core.dispatch.backend import Backend
    from primroselever_core.dispatch.section import BackendsSection
    from primroselever_node.direct.responses import ResponseHead

    from .header_names import HeaderNames
    from .instruments import FlowInstruments

RETRY_AFTER = b"retry-after"
CLOSED_STATUS = 503
MISMATCH_STATUS = 421
LEAVING_VALUE = b"1"
STAYING_VALUES = (b"", b"0")
# More digits add nothing to values that are bounded by MAX_CLOSED_S and MAX_RATE.
NUMBER_PATTERN = re.compile(rb"[0-9]{1,20}(\.[0-9]{0,20})?")
# The formats of HTTP-date: the current one, and two obsolete ones that are accepted.
DATE_FORMATS = (
    "%a, %d %b %Y %H:%M:%S GMT",
    "%A, %d-%b-%y %H:%M:%S GMT",
    "%a %b %d %H:%M:%S %Y",
)
MAX_LOGGED_BYTES = 60

logger = logging.getLogger(__name__)


def parse_retry_after(value: bytes, unix_now: float) -> float | None:
    """
    Return the seconds from now that a ``Retry-After`` header names, None if invalid.

    The value is a number of seconds, which may have a fraction, or a date, which is
    compared with the wall clock. The result is at most ``MAX_CLOSED_S``, and 0 for a
    date in the past: ``b"2.5"`` gives 2.5.
    """
    value = value.strip()
    if NUMBER_PATTERN.fullmatch(value):
        return min(float(value), MAX_CLOSED_S)
    text = value.decode("latin-1")
    for date_format in DATE_FORMATS:
        try:
            date = datetime.strptime(text, date_format).replace(tzinfo=UTC)
        except ValueError:
            continue
        return min(max(0.0, date.timestamp() - unix_now), MAX_CLOSED_S)
    return None


def parse_rate(value: bytes) -> float | None:
    """
    Return the requests a second that a limit names, None if invalid.

    The value is a number that may have a fraction; 0 means that none are taken. The
    result is at most ``MAX_RATE``.
    """
    value = value.strip()
    return min(float(value), MAX_RATE) if NUMBER_PATTERN.fullmatch(value) else None


class AnnouncementReader:
    """Records on the blackboard what servers announce in their answers."""

    def __init__(
        self,
        backends: BackendsSection,
        names: HeaderNames,
        instruments: FlowInstruments,
        random: Random,
        publish_leaving: Callable[[ServerStart], None],
        publish_limit: Callable[[ServerStart, int], None],
        publish_pace: Callable[[ServerStart, int], None] = lambda _start, _started: (
            None
        ),
    ) -> None:
        self.backends = backends
        self.names = names
        self.instruments = instruments
        self.random = random
        self.publish_leaving = publish_leaving
        self.publish_limit = publish_limit
        self.publish_pace = publish_pace

    def admits_requests(self, server: ListedServer) -> bool:
        """Return whether a server may still be sent a request that was routed to it."""
        announced = self.backends.announcements.of_start(start_of(server))
        return announced.admits_requests(clock.now())

    def read_head(
        self,
        head: ResponseHead,
        server: ListedServer,
        request_id: str,
        sent_at: float,
    ) -> None:
        """Record the announcements in the head of an answer to a request."""
        leaving = header(head.headers, self.names.server_leaving).strip()
        if leaving == LEAVING_VALUE:
            self.record_leaving(head.status_code, server, request_id)
        elif leaving not in STAYING_VALUES:
            self.report_invalid(self.names.server_leaving, leaving, server, request_id)
        if head.status_code != MISMATCH_STATUS:
            value = header(head.headers, self.names.server_limit)
            self.record_limit(value, server, request_id, sent_at)
            value = header(head.headers, self.names.cold_ms)
            self.record_cold(value, head.status_code, server, request_id, sent_at)
        if head.status_code == CLOSED_STATUS:
            self.record_closure(header(head.headers, RETRY_AFTER), server, request_id)

    def record_leaving(
        self, status: int, server: ListedServer, request_id: str
    ) -> None:
        """
        Record that a server leaves, and publish it to the domain if that is news.

        An answer with status 421 may come from another server than the one addressed.
        The server that is listed at the address now is then taken to leave as well.
        """
        servers = [server]
        current = self.backends.by_address.get(server.address)
        if status == MISMATCH_STATUS and current is not None:
            servers.append(current.listed)
        for leaving in servers:
            start = start_of(leaving)
            if not self.backends.announcements.record_leaving(start):
                continue
            self.instruments.count_announcement("leaving")
            log_decision(
                "server leaving",
                start.server_id,
                "no new requests",
                "announced in an answer to this entry",
                address=f"{start.address[0]}:{start.address[1]}",
                born_ms=start.born_ms,
                request=request_id,
                status=status,
            )
            self.publish_leaving(start)

    def record_closure(
        self, value: bytes, server: ListedServer, request_id: str
    ) -> None:
        """Record for how long a server that turned a request away wants no others."""
        if not value:
            return
        closed_s = parse_retry_after(value, clock.unix_now())
        if closed_s is None:
            self.report_invalid(RETRY_AFTER, value, server, request_id)
            return
        now = clock.now()
        start = start_of(server)
        announced = self.backends.announcements.of_start(start)
        if not announced.record_closure(now + closed_s, now, self.random):
            return
        self.instruments.count_announcement("closed")
        log_decision(
            "server closed",
            start.server_id,
            "no requests for a time",
            "answered 503 with Retry-After",
            address=f"{start.address[0]}:{start.address[1]}",
            born_ms=start.born_ms,
            request=request_id,
            retry_after=loggable(value),
            closed_s=round(announced.closed_until - now, 3),
            returns_in_s=round(announced.returns_at - now, 3),
        )

    def record_limit(
        self, value: bytes, server: ListedServer, request_id: str, sent_at: float
    ) -> None:
        """
        Record the rate limit that a server names, or that it names none any more.

        Answers overtake each other, so that one without a limit lifts it only if its
        request was sent after the limit was last named.
        """
        rate = parse_rate(value) if value else None
        if value and rate is None:
            self.report_invalid(self.names.server_limit, value, server, request_id)
            return
        now = clock.now()
        start = start_of(server)
        limit = self.backends.announcements.of_start(start).limit
        if rate is None and limit.rate is None:
            return
        learned_at = sent_at if rate is None else now
        if not limit.apply(rate, learned_at, now, self.random):
            return
        self.instruments.count_announcement("limit")
        log_decision(
            "server limited",
            start.server_id,
            "unlimited" if rate is None else f"{rate:g} requests a second",
            "named in an answer to this entry",
            address=f"{start.address[0]}:{start.address[1]}",
            born_ms=start.born_ms,
            request=request_id,
        )
        self.publish_limit(start, 0)

    def record_cold(
        self,
        value: bytes,
        status: int,
        server: ListedServer,
        request_id: str,
        sent_at: float,
    ) -> None:
        """Record for how long a server is still cold, or that it answered at all."""
        start = start_of(server)
        state = self.backends.cold_pace.states.get(start)
        if state is None:
            return
        cold_ms = parse_rate(value) if value else None
        if value and cold_ms is None:
            self.report_invalid(self.names.cold_ms, value, server, request_id)
        now = clock.now()
        if cold_ms is not None:
            changed = state.learn(
                now + cold_ms / 1000, sent_at, "named in an answer", now
            )
        else:
            changed = status < 500 and state.record_answer(sent_at, now)
        if not changed:
            return
        self.instruments.count_announcement("cold")
        log_decision(
            "server cold",
            start.server_id,
            "cold" if state.is_cold(now) else "not cold",
            state.cause,
            address=f"{start.address[0]}:{start.address[1]}",
            born_ms=start.born_ms,
            request=request_id,
            cold_ms=cold_ms,
            status=status,
            own_share=state.own_share(now),
        )
        self.publish_pace(start, 0)

    def record_pace(
        self, backend: Backend, taken_s: float, usual_s: float | None, sent_at: float
    ) -> None:
        """Record for the ramp of a server how long it took to answer, if it has one."""
        ramp, now = backend.ramp, clock.now()
        if ramp is not None and ramp.record_answer(taken_s, usual_s, sent_at, now):
            self.publish_pace(start_of(backend.listed), 0)

    def record_refused(self, backend: Backend) -> None:
        """Record for the ramp of a server that it refused a request."""
        ramp = backend.ramp
        if ramp is not None and ramp.record_slow(clock.now()):
            self.publish_pace(start_of(backend.listed), 0)

    def record_failure(self, backend: Backend, sent_at: float) -> None:
        """Record that a server failed; it gets a ramp when it is back."""
        ramp = backend.ramp
        if ramp is not None and ramp.record_failure(sent_at, clock.now()):
            self.publish_pace(start_of(backend.listed), 0)
        self.backends.start_pace.begin(backend, "back from an ejection")

    def record_start(self, server: ListedServer) -> None:
        """Count a request that is about to be sent to a server with a limit."""
        start = start_of(server)
        cold = self.backends.cold_pace.states.get(start)
        if cold is not None:
            cold.record_start(clock.now())
        ramp = self.backends.start_pace.ramps.get(start)
        if ramp is not None and ramp.record_start(clock.now()):
            self.publish_pace(start, 1)
        limit = self.backends.announcements.of_start(start).limit
        if limit.rate is not None:
            limit.record_starts(1, clock.now(), self.random)
            self.publish_limit(start, 1)

    def report_invalid(
        self, name: bytes, value: bytes, server: ListedServer, request_id: str
    ) -> None:
        """Log an announcement that is ignored because its value is invalid."""
        self.instruments.count_announcement("invalid")
        logger.warning(
            "ignored an invalid announcement of a server",
            extra={
                "server_id": server.server_id,
                "request": request_id,
                "header": name.decode("latin-1"),
                "value": loggable(value),
            },
        )


def loggable(value: bytes) -> str:
    """Return the beginning of a header value as text."""
    return value[:MAX_LOGGED_BYTES].decode("latin-1")
