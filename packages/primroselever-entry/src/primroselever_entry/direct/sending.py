"""One sending of a request to one back end, and its answer passed on."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

from primroselever_core.catalogue.model import RouteKind
from primroselever_node import clock
from primroselever_node.direct.connection_pool import idle_seconds
from primroselever_node.direct.exchange import (
    BrokenExchangeError,
    ConnectError,
    SilentError,
    header,
)

from .attempt import Attempt, AttemptEnd
from .caller_connection import CallerLeftError
from .caller_request import passed_on

if TYPE_CHECKING:
    from primroselever_core.dispatch.choose import Chosen
    from primroselever_node.direct.exchange import HttpConnection

    from .caller_connection import CallerConnection
    from .flow import DirectFlow, RequestState

    Headers = list[tuple[bytes, bytes]]

NON_REPEATABLE_IDLE_S = 0.5  # a connection used so lately was not dropped for idling
ANY_IDLE_S = 60.0
SILENCE_OBJECTIVES = 3.0  # a back end that is silent for so many objectives is stuck
SHORTEST_SILENCE_S = 0.15
GAP_SILENCE_S = 1.2  # several passes of a full batch, below callers' patience of 2 s
NOT_RUN_STATUSES = (421, 429, 503)
URGENCY_ON_TIME = b"5"  # what a request without this header has
URGENCY_LATE = b"8"  # runs when nothing is waiting whose objective can still be met
BODY_METHODS = (b"POST", b"PUT", b"PATCH")


class Sending:
    """Sends a request to the chosen back end; ``run`` says how that ended."""

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
        self.begun_at = clock.now()

    def run(self) -> Attempt:
        """Send, and pass the answer on."""
        listed = self.backend.listed
        route = self.state.route
        used_within = ANY_IDLE_S if route.repeatable else NON_REPEATABLE_IDLE_S
        self.backend.in_flight += 1
        self.state.cutter.restart()
        try:
            try:
                self.connection = self.flow.pool.take(
                    listed.server_id, listed.address, self.state.deadline, used_within
                )
            except ConnectError as exc:
                self.backend.failed(clock.now())
                return Attempt(AttemptEnd.NOT_SENT, reason=str(exc))
            if self.caller.left:
                return Attempt(AttemptEnd.CALLER_LEFT)
            self.caller.on_leave = self.connection.interrupt
            return self.exchange(self.connection)
        except CallerLeftError:
            return Attempt(AttemptEnd.CALLER_LEFT)
        except SilentError as exc:
            return self.silent(exc)
        except BrokenExchangeError as exc:
            if self.caller.left:
                return Attempt(AttemptEnd.CALLER_LEFT)
            self.backend.failed(clock.now())
            return Attempt(AttemptEnd.BROKEN, reason=str(exc))
        finally:
            self.caller.on_leave = None
            self.backend.in_flight -= 1
            if self.connection is not None:
                self.connection.abort()

    def silent(self, exc: SilentError) -> Attempt:
        """Take in that nothing came for too long."""
        now = clock.now()
        if now >= self.state.deadline:
            return Attempt(AttemptEnd.OUT_OF_TIME, reason="the deadline passed")
        self.backend.failed(now)
        return Attempt(AttemptEnd.SILENT, reason=str(exc))

    def exchange(self, connection: HttpConnection) -> Attempt:
        """Write the request and read the answer's head."""
        request = self.state.request
        connection.send(
            request.method,
            request.target,
            self.headers(),
            request.body,
            self.state.deadline,
        )
        names = self.flow.names
        head = connection.read_head(
            self.head_deadline(), request.request_id, names.request_id
        )
        status = head.status_code
        not_run = status == 421 or bool(header(head.headers, names.not_run))
        if not_run and status in (*NOT_RUN_STATUSES, 400):
            return self.refused(connection, head)
        if status >= 500:
            self.backend.answered_with_failure()
            if self.may_try_elsewhere():
                return Attempt(
                    AttemptEnd.BROKEN, status, f"the back end answered {status}"
                )
        return self.pass_on(connection, head)

    def may_try_elsewhere(self) -> bool:
        """Return whether a failure may be made good by another back end."""
        state = self.state
        sent = sum(1 for a in state.attempts if a.end is not AttemptEnd.NOT_SENT) + 1
        return state.route.repeatable and sent < state.route.max_attempts

    def refused(self, connection: HttpConnection, head: h11.Response) -> Attempt:
        """Take in that the back end did not run the request."""
        now = clock.now()
        status = head.status_code
        if status == 421:
            self.backend.mismatched(now)
        else:
            self.backend.refused(now)
        try:
            connection.read_body(min(self.state.deadline, now + 0.1))
            self.keep(connection, head)
        except BrokenExchangeError as exc:
            del exc  # the connection is closed; the refusal itself was read
        return Attempt(AttemptEnd.NOT_RUN, status, f"refused with {status}")

    def headers(self) -> Headers:
        """Return the headers for the back end."""
        state = self.state
        names = self.flow.names
        dropped = names.set_by_entry()
        if state.cutter.last_id:
            dropped |= {names.resume_after}
        headers = passed_on(state.request.headers, dropped)
        left_ms = max(1, int((state.deadline - clock.now()) * 1000))
        headers.append((names.remaining_ms, str(left_ms).encode()))
        headers.append((names.expected_server, self.backend.listed.server_id.encode()))
        if state.workspace is not None:
            headers.append((names.workspace, state.workspace.encode()))
        if state.cutter.last_id:
            headers.append((names.resume_after, state.cutter.last_id))
        if self.flow.engine(state.service) is not None:
            urgency = URGENCY_LATE if state.late else URGENCY_ON_TIME
            headers.append((names.urgency, urgency))
            now = clock.now()
            if self.flow.min_version(state.request.model, now):
                # Any other version is refused, also one newer than it must be.
                held = self.backend.holds(state.request.model, now)
                headers.append((names.expected_weights, str(held).encode()))
        body = state.request.body
        if body or state.request.method in BODY_METHODS:
            headers.append((b"Content-Length", str(len(body)).encode()))
        return headers

    def head_deadline(self) -> float:
        """Return when a back end that has said nothing is given up for another."""
        state = self.state
        if not self.may_try_elsewhere():
            return state.deadline
        patience = max(
            SHORTEST_SILENCE_S,
            SILENCE_OBJECTIVES * state.route.objective_s
            if state.route.kind is RouteKind.STREAMING
            else state.route.objective_s,
            2 * self.choice.predicted_s,
        )
        return min(state.deadline, clock.now() + patience)

    def pass_on(self, connection: HttpConnection, head: h11.Response) -> Attempt:
        """Pass an answer on as it comes."""
        state = self.state
        streaming = state.route.kind is RouteKind.STREAMING and head.status_code == 200
        resumable = streaming and state.route.resumable
        pending = b""
        while True:
            event = connection.next_event(self.body_deadline(streaming))
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                raise BrokenExchangeError("the connection ended within an answer")
            data = bytes(event.data)
            if resumable:
                data = state.cutter.feed(data)
            if streaming and data:
                self.flow.note_events(state)
            if not streaming:
                pending += data
                continue
            if data:
                self.forward_head(head)
                self.caller.send_data(data)
        self.forward_head(head)
        rest = pending if not streaming else state.cutter.partial
        if rest:
            self.caller.send_data(rest)
        self.caller.finish()
        now = clock.now()
        if head.status_code < 500:
            self.backend.succeeded()
            self.backend.finished(now - self.begun_at)
        self.keep(connection, head)
        return Attempt(AttemptEnd.ANSWERED, head.status_code)

    def body_deadline(self, streaming: bool) -> float:
        """Return until when the next part of an answer has to come."""
        if streaming and self.may_try_elsewhere():
            if self.state.first_event_at is None:
                return self.head_deadline()
            return min(self.state.deadline, clock.now() + GAP_SILENCE_S)
        return self.state.deadline

    def forward_head(self, head: h11.Response) -> None:
        """Pass the head on, that of the first back end only."""
        state = self.state
        if state.head_forwarded:
            return
        headers = passed_on(list(head.headers), frozenset())
        length = header(head.headers, b"content-length")
        if length:
            headers.append((b"Content-Length", length))
        self.caller.send_head(head.status_code, headers)
        state.head_forwarded = True

    def keep(self, connection: HttpConnection, head: h11.Response) -> None:
        """Give the connection back to the pool."""
        idle_s = idle_seconds(header(head.headers, b"keep-alive"))
        self.flow.pool.give_back(self.backend.listed.server_id, connection, idle_s)
        self.connection = None
