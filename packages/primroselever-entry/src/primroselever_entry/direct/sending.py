"""One attempt: sending a request to one back end and forwarding its response."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

import eventlet

from primroselever_core.catalogue.model import RouteKind
from primroselever_node import clock
from primroselever_node.direct.connection_pool import allowed_idle_s
from primroselever_node.direct.exchange import ConnectError, ExchangeTimeoutError
from primroselever_node.direct.responses import (
    AnswerTooLargeError,
    BrokenExchangeError,
    ConnectionEnd,
    Framing,
    MalformedAnswerError,
    ResponseEnd,
    header,
)
from primroselever_node.logs import log_decision

from .attempt import Attempt, AttemptEnd
from .caller_connection import CallerLeftError
from .caller_request import forwardable_headers
from .event_stream import WrongEventsError
from .grace_period import LEAVING_REASON
from .measuring import AttemptMeasurement
from .part_watch import PartRun
from .placing import current_placement
from .response_body import (
    BuffersFullError,
    PlainBody,
    StreamBody,
    accept_part,
    caller_length,
    check_end,
    content_format,
    open_body,
    unsent_bytes,
)
from .weight_bounds import AttemptBounds

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroselever_core.dispatch.choose import Chosen
    from primroselever_core.identifiers import Fingerprint
    from primroselever_core.suspects.section import CrashId
    from primroselever_node.direct.exchange import HttpConnection
    from primroselever_node.direct.responses import ResponseHead

    from .caller_connection import CallerConnection
    from .flow import DirectFlow
    from .request_state import RequestState

    Headers = list[tuple[bytes, bytes]]

# Requests that must not run twice are sent only on connections that were idle for less
# than this: the back end's idle timeout has not closed them, so the request arrives.
MAX_IDLE_NON_REPEATABLE_S = 0.5
MAX_IDLE_S = 60.0  # for requests that may be repeated
# Before the time by which a request must be sent to old weights. On a link of
# 0.95 Mbit/s, requests sent 2.3 s before the bound arrived 0.3 s after it.
NEW_CONNECTION_BEFORE_S = 2.0
# A streaming back end that sends nothing before its first event for this many times the
# objective of the route is considered silent.
MAX_SILENCE_FACTOR = 3.0
MIN_SILENCE_LIMIT_S = 0.15
# A stream that is silent for this long is resumed elsewhere if possible. A sound back
# end may pause for a second or so, and callers stop waiting after 2 s.
MAX_STREAM_SILENCE_S = 1.6
LOOK_AHEAD_S = 0.001  # to receive what a silent back end has sent already
# These statuses and 400 mean, together with the not_run header, that the request did
# not run; 421 also means it without the header.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Callers read these as "not run". Without the header the back end does not state it.
UNSTATED_STATUSES = (408, 429, 503)
# The body of a refusal, or of an unstated status, is only read to keep the connection.
REFUSAL_BODY_S = 0.1
MAX_REFUSAL_BYTES = 65536
OVERTAKEN_REASON = "the silent back end resumed"
LAPSED_REASON = "the engine did not start on its weights while they were usable"
ENDED_REASON = "the engine ended the request when its weights lapsed"
OUTDATED_REASON = "it would start too late on the engine's weights"
MISPLACED_REASON = "its failure domain may no longer be used"
BODY_METHODS = (b"POST", b"PUT", b"PATCH")


class AttemptSender:
    """
    Sends a request to the chosen back end and forwards the response.

    ``known_crashes`` are the crashes of the request's earlier runs that were known when
    it was sent, ``part_run`` those of the parts of its prompt, ``trial`` the
    fingerprint of a suspect request that the attempt tries, and ``index`` is the
    position of the attempt among those of the request. ``wait_until`` is how long a
    silent back end is waited for at least. ``released_bytes`` counts what had been
    forwarded of the body when the back end became silent. ``head_ahead`` is a head that
    was received meanwhile, and ``broken_ahead`` is set if the exchange broke.
    ``bounds`` are until when it may start, and the engine may work on it.
    """

    def __init__(
        self,
        flow: DirectFlow,
        state: RequestState,
        choice: Chosen,
        caller: CallerConnection,
    ) -> None:
        self.flow = flow
        self.state = state
        self.choice = choice
        self.backend = choice.backend
        self.caller = caller
        self.connection: HttpConnection | None = None
        self.head: ResponseHead | None = None
        self.head_ahead: ResponseHead | None = None
        self.broken_ahead = False
        self.body: StreamBody | PlainBody | None = None
        self.released_bytes = 0
        self.started_at = clock.now()
        self.last_received_at = self.started_at
        self.wait_until = 0.0
        self.bounds = AttemptBounds(flow, state, choice, self.started_at)
        self.known_crashes: frozenset[CrashId] = frozenset()
        self.part_run = PartRun()
        self.trial: Fingerprint | None = None
        self.index = 0
        self.attempt: Attempt | None = None
        self.closed = False
        self.overtaken = False
        self.backend.in_flight += 1
        self.measurement = AttemptMeasurement(flow, state, choice, self.started_at)

    def run(self) -> Attempt:
        """
        Make the attempt and return its result.

        After a result of ``SILENT`` the connection stays open, for ``keep_waiting`` or
        until ``close`` is called.
        """
        silent = self.state.silent_sender
        if silent is None or silent.connection is None:
            return self.receive_result(self.start_exchange)
        watcher = eventlet.spawn(self.watch_silent, silent, silent.connection)
        try:
            return self.receive_result(self.start_exchange)
        finally:
            watcher.kill()

    def watch_silent(self, silent: AttemptSender, connection: HttpConnection) -> None:
        """
        End this attempt if a silent one resumes before this one has sent events.

        The silent one is cancelled when the weights lapse on which it has not started.
        """
        while not silent.has_resumed():
            if silent.broken_ahead or not silent.may_resume():
                return
            left_s = silent.bounds.start_limit() - clock.now()
            if left_s <= 0:
                silent.bounds.log_lapse(clock.now())
                silent.close()
                return
            with eventlet.Timeout(None if left_s == inf else left_s, False):
                if not connection.wait_for_data():
                    return
        if not silent.may_resume():
            return
        self.overtaken = True
        if self.connection is not None:
            self.connection.interrupt()

    def has_resumed(self) -> bool:
        """Return whether the response resumes where it became silent."""
        connection = self.connection
        if connection is None or self.broken_ahead or not self.may_resume():
            return False
        if self.is_progress_ahead():
            return True
        try:
            return connection.has_data() and self.look_ahead(connection)
        except ExchangeTimeoutError:
            return False
        except BrokenExchangeError:
            self.broken_ahead = True  # keep_waiting meets it as well
            return False

    def look_ahead(self, connection: HttpConnection) -> bool:
        """
        Receive what has arrived; return whether it is progress.

        That is the head, a complete event or the end. If bytes of a head or comments
        were progress, a stalled back end would end the attempts that replace it. What
        is received is kept for ``keep_waiting``.
        """
        until = clock.now() + LOOK_AHEAD_S
        while not self.is_progress_ahead():
            if self.head is None:
                self.head_ahead = self.read_head(connection, until)
            elif isinstance(self.body, StreamBody):
                self.body.add_ahead(connection.read_part(until))
        return True

    def is_progress_ahead(self) -> bool:
        """Return whether progress was received that is not handled yet."""
        if self.head is None:
            return self.head_ahead is not None
        # Plain bodies are waited for until the deadline, so that none is ever silent.
        return not isinstance(self.body, StreamBody) or self.body.is_progress_ahead()

    def read_head(self, connection: HttpConnection, until: float) -> ResponseHead:
        """Return the head of the response, or raise ``BrokenExchangeError``."""
        return connection.read_head(
            until, self.state.request.request_id, self.flow.names.request_id
        )

    def keep_waiting(self, until: float) -> Attempt:
        """Wait until a time for a back end that was silent; return the result."""
        self.wait_until = until
        return self.receive_result(self.receive_response)

    def may_resume(self) -> bool:
        """Return whether the response may still resume where it became silent."""
        return not self.closed and self.released_bytes == self.state.released_bytes

    def close(self) -> None:
        """End the attempt, and the work of the back end if it still runs."""
        if self.closed:
            return
        self.closed = True
        self.backend.in_flight -= 1
        now = clock.now()
        self.measurement.record_end(now)
        if self.body is not None:
            self.body.buffer.resize(0)
        if self.connection is None:
            return
        if now >= self.bounds.start_limit():
            # What still waits on this VM must not start on the lapsed weights.
            self.connection.discard_request()
        else:
            self.connection.abort()

    def receive_result(self, exchange: Callable[[], Attempt]) -> Attempt:
        """Do a part of the exchange; return the result of the attempt."""
        attempt: Attempt | None = None
        try:
            attempt = self.exchange_or_fail(exchange)
        finally:
            self.caller.on_caller_left = None
            if attempt is None or attempt.end is not AttemptEnd.SILENT:
                self.close()
        self.attempt = attempt
        return attempt

    def exchange_or_fail(self, exchange: Callable[[], Attempt]) -> Attempt:
        """Return the result of a part of the exchange, also if it fails."""
        try:
            return exchange()
        except ConnectError as exc:
            self.backend.record_failure(clock.now(), self.started_at)
            self.flow.announcements.record_failure(self.backend, self.started_at)
            return Attempt(AttemptEnd.NOT_SENT, reason=str(exc))
        except CallerLeftError:
            return Attempt(AttemptEnd.CALLER_LEFT)
        except ExchangeTimeoutError as exc:
            return self.handle_silence(exc)
        except BrokenExchangeError as exc:
            if self.caller.caller_left:
                return Attempt(AttemptEnd.CALLER_LEFT)
            if self.overtaken:
                return Attempt(AttemptEnd.OVERTAKEN, reason=OVERTAKEN_REASON)
            return self.handle_break(exc)

    def handle_break(self, exc: BrokenExchangeError) -> Attempt:
        """Record that the exchange broke; return the result."""
        is_wrong = isinstance(
            exc, AnswerTooLargeError | BuffersFullError | WrongEventsError
        )
        if self.bounds.has_ended_at_lapse() and not is_wrong:
            self.bounds.log_lapse(clock.now())
            return Attempt(AttemptEnd.LAPSED, reason=ENDED_REASON)
        if not isinstance(exc, BuffersFullError):
            self.backend.record_failure(clock.now(), self.started_at)
            self.flow.announcements.record_failure(self.backend, self.started_at)
        if self.head is None:
            return Attempt(AttemptEnd.BROKEN, reason=str(exc))
        self.log_response_end(self.head, str(exc))
        if isinstance(exc, AnswerTooLargeError | BuffersFullError):
            self.flow.instruments.count_too_large()
        if is_wrong:
            # With the status, this does not look like a crash.
            return Attempt(AttemptEnd.BROKEN, self.head.status_code, str(exc))
        return Attempt(AttemptEnd.BROKEN, reason=str(exc))

    def log_response_end(self, head: ResponseHead, reason: str) -> None:
        """Log what ended a response, and how much of its last event was missing."""
        connection = self.connection
        log_decision(
            "response ended",
            self.state.request.log_id,
            self.backend.listed.server_id,
            reason,
            status=head.status_code,
            framing=head.framing,
            connection=connection.reader.connection_end
            if connection is not None
            else None,
            partial_event_bytes=len(self.body.events.partial_event)
            if isinstance(self.body, StreamBody)
            else 0,
        )

    def handle_silence(self, exc: ExchangeTimeoutError) -> Attempt:
        """Record that no data arrived in time; return the result."""
        now = clock.now()
        limit = min(
            self.state.deadline, self.silence_limit(), self.bounds.start_limit()
        )
        if self.wait_until == 0.0 and now >= limit:
            self.log_silence(exc, now)
        if now >= self.state.deadline:
            return Attempt(AttemptEnd.OUT_OF_TIME, reason="the deadline passed")
        if now >= self.bounds.start_limit():
            # The engine is not at fault: it may be about to answer.
            self.bounds.log_lapse(now)
            return Attempt(AttemptEnd.LAPSED, reason=LAPSED_REASON)
        if now < self.silence_limit():
            # Only the weights might have lapsed.
            return self.exchange_or_fail(self.receive_response)
        if self.wait_until == 0.0:
            self.backend.record_failure(now, self.started_at)
            self.flow.announcements.record_failure(self.backend, self.started_at)
        self.released_bytes = self.state.released_bytes
        return Attempt(AttemptEnd.SILENT, reason=str(exc))

    def log_silence(self, exc: ExchangeTimeoutError, now: float) -> None:
        """Log how long the back end was silent, and how late this was noticed."""
        log_decision(
            "back end silent",
            self.state.request.log_id,
            self.backend.listed.server_id,
            str(exc),
            silent_ms=round((now - self.last_received_at) * 1000),
            noticed_late_ms=round(exc.noticed_late_s * 1000),
            answer_begun=self.state.head_forwarded,
        )

    def start_exchange(self) -> Attempt:
        """Send the request on a connection, and handle the response."""
        listed = self.backend.listed
        request = self.state.request
        self.connection = self.flow.pool.acquire_connection(
            listed.server_id,
            listed.address,
            self.state.deadline,
            self.max_idle_s(),
            request.request_id,
        )
        if self.caller.caller_left:
            return Attempt(AttemptEnd.CALLER_LEFT)
        if self.overtaken:
            return Attempt(AttemptEnd.NOT_SENT, reason=OVERTAKEN_REASON)
        if not self.flow.announcements.admits_requests(listed):
            # Announced while the connection was opened.
            return Attempt(AttemptEnd.NOT_SENT, reason="it closed meanwhile")
        if not current_placement(self.flow, self.state).admits(listed.failure_domain):
            # A configuration or an evacuation came while the connection was opened.
            return Attempt(AttemptEnd.NOT_SENT, reason=MISPLACED_REASON)
        if self.measurement.samples_first_event and not self.flow.may_send(
            self.state, self.choice, clock.now()
        ):
            # The connection was opened slowly, or the process was paused.
            return Attempt(AttemptEnd.NOT_SENT, reason=OUTDATED_REASON)
        if not self.flow.may_pass_on(self.state):
            # A stop signal came, or its time passed, while the connection was opened.
            return Attempt(AttemptEnd.NOT_SENT, reason=LEAVING_REASON)
        if self.measurement.samples_first_event:
            self.bounds.version = self.backend.loaded_version(
                request.model, clock.now()
            )
        self.caller.on_caller_left = self.connection.interrupt
        self.flow.sent_requests.record_sent(listed.server_id, request.request_id)
        self.connection.send(
            request.method,
            request.target,
            self.backend_headers(),
            request.body,
            min(self.state.deadline, self.bounds.start_limit()),
        )
        self.bounds.written = True
        self.last_received_at = clock.now()
        return self.receive_response()

    def max_idle_s(self) -> float:
        """
        Return for how long the connection may have been idle, -1 for a new one.

        A new connection is opened within 0.25 s only if the link to the engine is not
        congested, as it has to be shortly before the weights lapse.
        """
        if self.choice.send_by < self.started_at + NEW_CONNECTION_BEFORE_S:
            return -1.0
        if self.state.route.repeatable:
            return MAX_IDLE_S
        return MAX_IDLE_NON_REPEATABLE_S

    def receive_response(self) -> Attempt:
        """Receive the response, or the rest of it, and handle it."""
        if self.caller.caller_left:
            return Attempt(AttemptEnd.CALLER_LEFT)
        connection = self.connection
        assert connection is not None
        self.caller.on_caller_left = connection.interrupt
        if self.head is not None and self.body is not None:
            return self.forward_response(connection, self.head, self.body)
        names = self.flow.names
        head = self.head_ahead or self.read_head(connection, self.head_deadline())
        self.last_received_at = clock.now()
        self.flow.announcements.read_head(
            head, self.backend.listed, self.state.request.log_id, self.started_at
        )
        if self.names_request(head):
            self.backend.names_requests = True
        status = head.status_code
        not_run = status == 421 or bool(header(head.headers, names.not_run))
        if not_run and status in (*NOT_RUN_STATUSES, 400):
            return self.handle_refusal(connection, head)
        self.flow.sent_requests.record_answered(
            self.backend.listed.server_id, self.state.request.request_id
        )
        if status >= 500 and not self.bounds.has_ended_at_lapse():
            self.backend.record_answered_failure()
        unstated = status in UNSTATED_STATUSES and not not_run
        fails = status >= 500 and self.may_try_another_backend()
        if unstated:
            self.read_rest(connection, head)
        if unstated or fails or not self.may_follow(head):
            reason = f"the back end answered {status}"
            if status == 200:
                reason += " with another content type"
            return Attempt(AttemptEnd.BROKEN, status, reason)
        self.head = head
        self.body = open_body(
            self.state, head, self.flow.limits.buffers, self.flow.buffers
        )
        if not isinstance(self.body, StreamBody):
            self.measurement.record_plain_head(clock.now())
        return self.forward_response(connection, head, self.body)

    def may_follow(self, head: ResponseHead) -> bool:
        """
        Return whether a response may follow what another run sent, if anything was.

        An error that follows events of another run would look like the end of it. Some
        servers answer errors with 200, which differ from the stream by their type.
        """
        if not self.state.head_forwarded:
            return True
        is_same_format = content_format(head) == self.state.forwarded_format
        return head.status_code == 200 and is_same_format

    def may_try_another_backend(self) -> bool:
        """Return whether the request may be retried on another back end."""
        state = self.state
        if not self.flow.may_pass_on(state):
            return False
        others = sum(
            1
            for attempt in state.attempts
            if attempt is not self.attempt and attempt.end is not AttemptEnd.NOT_SENT
        )
        return state.route.repeatable and others + 1 < state.route.max_attempts

    def handle_refusal(self, connection: HttpConnection, head: ResponseHead) -> Attempt:
        """Record that the back end did not run the request; return the result."""
        now = clock.now()
        status = head.status_code
        if status == 421:
            self.backend.record_mismatch(now)
            if self.backend.cold is not None:
                self.backend.cold.record_not_taken(self.started_at, now)
        elif self.bounds.has_ended_at_lapse():
            self.bounds.log_lapse(now)
        else:
            self.backend.record_refusal(now)
            self.flow.announcements.record_refused(self.backend)
        reason = f"refused with {status}"
        doubt = self.refusal_doubt(head, self.read_rest(connection, head))
        if doubt:
            return Attempt(AttemptEnd.BROKEN, status, f"{reason}, but {doubt}")
        return Attempt(AttemptEnd.NOT_RUN, status, reason)

    def refusal_doubt(self, head: ResponseHead, extra_bytes: bool) -> str:
        """
        Return why a refusal may be a copy of an earlier one, empty if nothing says so.

        ``extra_bytes`` states whether it is followed by other bytes.
        """
        if extra_bytes:
            return "other bytes follow"
        if self.flow.sent_requests.was_sent_twice(
            self.backend.listed.server_id, self.state.request.request_id
        ):
            return "this request was sent there before"
        if self.backend.names_requests and not self.names_request(head):
            return "it names no request"
        return ""

    def read_rest(self, connection: HttpConnection, head: ResponseHead) -> bool:
        """
        Read a body that is not forwarded, to make the connection reusable.

        Return whether bytes have arrived that do not belong to the response.
        """
        until = min(self.state.deadline, clock.now() + REFUSAL_BODY_S)
        try:
            connection.read_body(until, MAX_REFUSAL_BYTES)
        except BrokenExchangeError as exc:
            # The connection is closed, but the status was read.
            self.log_response_end(head, str(exc))
            ended = connection.reader.connection_end is not ConnectionEnd.OPEN
            return isinstance(exc, MalformedAnswerError) and not ended
        has_extra_bytes = connection.has_extra_bytes()
        if self.names_request(head):
            self.release_connection(connection, head)
        # Otherwise a copy could be taken for the answer to the next request.
        return has_extra_bytes

    def names_request(self, head: ResponseHead) -> bool:
        """Return whether a response repeats the identifier of its request."""
        return bool(header(head.headers, self.flow.names.request_id))

    def backend_headers(self) -> Headers:
        """Return the request headers for the back end."""
        state = self.state
        names = self.flow.names
        excluded = names.not_forwarded()
        if state.last_event_id:
            excluded |= {names.resume_after}
        headers = forwardable_headers(state.request.headers, excluded)
        self.bounds.engine_ends_at = self.bounds.engine_deadline()
        remaining_ms = max(1, int((self.bounds.engine_ends_at - clock.now()) * 1000))
        headers.append((names.remaining_ms, str(remaining_ms).encode()))
        headers.append((names.expected_server, self.backend.listed.server_id.encode()))
        if state.workspace is not None:
            headers.append((names.workspace, state.workspace.encode()))
        if state.last_event_id:
            headers.append((names.resume_after, state.last_event_id))
        if self.flow.engine_figures(state) is not None:
            headers.append((names.urgency, str(state.urgency).encode()))
        if self.bounds.version:
            # The back end refuses any other version, even a newer one. The limit of the
            # request is that of this version.
            headers.append((names.expected_weights, str(self.bounds.version).encode()))
        body = state.request.body
        if body or state.request.method in BODY_METHODS:
            headers.append((b"Content-Length", str(len(body)).encode()))
        return headers

    def head_deadline(self) -> float:
        """Return until when the head of a response must arrive."""
        return min(self.silence_limit(), self.bounds.start_limit())

    def body_deadline(self, streaming: bool) -> float:
        """Return until when the next part of a response must arrive."""
        if not streaming:
            return self.state.deadline
        return min(self.silence_limit(), self.bounds.start_limit())

    def silence_limit(self) -> float:
        """
        Return until when to wait for a response before another back end is tried.

        Until the first event this is at least twice the predicted wait, unless the
        deadline is earlier.
        """
        route = self.state.route
        if self.head is not None:
            if not isinstance(self.body, StreamBody):
                return self.state.deadline
            if self.state.first_event_at is not None:
                return self.silence_deadline(MAX_STREAM_SILENCE_S)
        if route.kind is RouteKind.STREAMING:
            limit_s = max(MAX_STREAM_SILENCE_S, MAX_SILENCE_FACTOR * route.objective_s)
        else:
            limit_s = max(MIN_SILENCE_LIMIT_S, route.objective_s)
        return self.silence_deadline(max(limit_s, 2 * self.choice.predicted_s))

    def silence_deadline(self, limit_s: float) -> float:
        """Return until when a back end may be silent before another one is tried."""
        deadline = self.state.deadline
        if not self.may_try_another_backend():
            return deadline
        return min(deadline, max(self.last_received_at + limit_s, self.wait_until))

    def forward_response(
        self,
        connection: HttpConnection,
        head: ResponseHead,
        body: StreamBody | PlainBody,
    ) -> Attempt:
        """Forward a response, event by event if it is a stream."""
        streaming = isinstance(body, StreamBody)
        while True:
            if isinstance(body, StreamBody) and body.ahead:
                part = body.ahead.popleft()
            else:
                part = connection.read_part(self.body_deadline(streaming))
            if isinstance(part, ResponseEnd):
                break
            if self.overtaken:
                # What follows will not come: the connection was shut down.
                raise BrokenExchangeError(OVERTAKEN_REASON)
            data, is_progress = self.accept_part(body, part)
            if streaming and is_progress:
                self.record_first_event()
                self.flow.record_events(self.state)
            if data and (is_progress or not self.may_be_overtaken()):
                self.end_replaced_attempt()
                self.forward_head(head, body)
                self.caller.send_data(data)
        check_end(body, head)
        if head.framing is Framing.CONNECTION:
            self.log_response_end(head, "complete")
        self.forward_head(head, body)
        if rest := unsent_bytes(body):
            self.caller.send_data(rest)
        self.caller.finish_response()
        now = clock.now()
        if head.status_code < 500:
            self.measurement.record_answer(head.status_code, streaming, now)
        self.release_connection(connection, head)
        return Attempt(AttemptEnd.ANSWERED, head.status_code)

    def accept_part(
        self, body: StreamBody | PlainBody, part: bytes
    ) -> tuple[bytes, bool]:
        """
        Add a part; return the bytes to be forwarded now, and whether it is progress.

        Only complete events are progress of a stream: a stalled back end that sends a
        byte or a comment at times would hold its caller until the deadline.
        """
        if not isinstance(body, StreamBody):
            self.last_received_at = clock.now()
            return accept_part(body, part), True
        completed = body.events.release_count
        data = accept_part(body, part)
        is_progress = body.events.release_count > completed
        if is_progress:
            self.last_received_at = clock.now()
        return data, is_progress

    def may_be_overtaken(self) -> bool:
        """
        Return whether a silent attempt may resume instead of this one.

        Comments of this one are dropped until then: with its head they would be joined
        to the events of the other back end.
        """
        silent = self.state.silent_sender
        return silent is not None and silent is not self and silent.may_resume()

    def end_replaced_attempt(self) -> None:
        """End the silent attempt if it can no longer resume after this one's events."""
        silent = self.state.silent_sender
        if silent is not None and silent is not self and not silent.may_resume():
            silent.close()

    def record_first_event(self) -> None:
        """Record the first event of this attempt; later ones are ignored."""
        if not self.bounds.answer_begun:
            now = clock.now()
            self.bounds.log_old_weights(now)
            self.bounds.answer_begun = True
            self.measurement.record_first_event(now)

    def forward_head(self, head: ResponseHead, body: StreamBody | PlainBody) -> None:
        """Forward the response head, unless one has already been forwarded."""
        state = self.state
        if state.head_forwarded:
            return
        headers = forwardable_headers(head.headers, frozenset())
        length = caller_length(body, head)
        if length:
            headers.append((b"Content-Length", length))
        self.caller.send_head(head.status_code, headers)
        state.head_forwarded = True
        state.forwarded_format = content_format(head)

    def release_connection(
        self, connection: HttpConnection, head: ResponseHead
    ) -> None:
        """Return the connection to the pool."""
        idle_s = allowed_idle_s(header(head.headers, b"keep-alive"))
        self.flow.pool.release_connection(
            self.backend.listed.server_id, connection, idle_s
        )
        self.connection = None
