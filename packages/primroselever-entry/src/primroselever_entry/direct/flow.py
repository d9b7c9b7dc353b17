"""
The way of one request: route, choice of back end, sendings, answer.

Whatever is said to the caller is true: 503 and 429 only when no back end can have
begun to work on a request that must not run twice; 502 and 504 promise nothing.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from primroselever_core.catalogue.model import RouteKind
from primroselever_core.catalogue.routes import pick_service
from primroselever_core.dispatch.choose import Refused, Wanted, choose_backend
from primroselever_core.dispatch.predict import reading_s
from primroselever_core.dispatch.retry_share import RetryLimits, RetryShare
from primroselever_node import clock
from primroselever_node.logs import log_decision

from .attempt import Attempt, AttemptEnd
from .caller_connection import CallerLeftError
from .crash_watch import CrashWatch
from .event_stream import EventCutter
from .sending import Sending

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from primroselever_core.catalogue.model import Address, EngineFigures, Route
    from primroselever_core.direct_board import DirectBoard
    from primroselever_core.dispatch.backend import Backend
    from primroselever_core.dispatch.choose import Chosen
    from primroselever_core.identifiers import Fingerprint
    from primroselever_node.direct.connection_pool import ConnectionPool

    from .caller_connection import CallerConnection
    from .caller_request import CallerRequest
    from .header_names import HeaderNames
    from .instruments import FlowInstruments

LEAVING_RETRY_S = 0.05
STARTING_RETRY_S = 0.5  # a configuration is read within a few answers of the store
ANY_TIME_S = 60.0  # longer than any route's timeout
# The usual objective and the p90 of its prediction's error near full load, 0.4 + 0.8 s.
OLD_WEIGHTS_MARGIN_S = 1.2
RESEND_MARGIN_S = 2.5  # what is sent again takes any place in a queue, also a late one
CRASHES_SERVERS = "earlier runs of this request crashed servers"
FIRST_ATTEMPT_SHARE = 0.8  # of the longest stated deadline; first attempts state more

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class FlowLimits:
    """``weights_within_s`` bounds how long old weights may begin requests."""

    weights_within_s: float
    retries: RetryLimits


@dataclass(slots=True)
class RequestState:
    """What is known of a request while it is under way."""

    request: CallerRequest
    route: Route
    service: str
    workspace: str | None
    deadline: float
    timeout_at: float
    objective_at: float
    late: bool
    cutter: EventCutter
    tried: list[str] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    head_forwarded: bool = False
    may_have_run: bool = False
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_gap_s: float = 0.0


class DirectFlow:
    """Answers callers' requests by sending them to back ends."""

    def __init__(
        self,
        board: DirectBoard,
        pool: ConnectionPool,
        names: HeaderNames,
        limits: FlowLimits,
        instruments: FlowInstruments,
        random: Random,
        tell_peers: Callable[[Address, int], None],
        tell_suspicion: Callable[[Fingerprint], None],
    ) -> None:
        self.board = board
        self.pool = pool
        self.names = names
        self.limits = limits
        self.instruments = instruments
        self.random = random
        self.tell_peers = tell_peers
        self.crashes = CrashWatch(board.suspects, tell_suspicion)
        self.retry_shares: dict[str, RetryShare] = {}
        self.full_deadlines: dict[str, float] = {}

    def handle(self, request: CallerRequest, caller: CallerConnection) -> None:
        """Answer one request."""
        try:
            state = self.admit(request, caller)
            if state is not None:
                self.run(state, caller)
        except CallerLeftError:
            self.log_end(request, "caller left", "nothing more is sent")
        finally:
            self.instruments.ended(clock.now() - request.received_at)

    def admit(
        self, request: CallerRequest, caller: CallerConnection
    ) -> RequestState | None:
        """Return the state of a request that may go on, else answer it."""
        if caller.server.closing:
            # Another entry takes it at once; here it would be cut by the end.
            self.tell(request, caller, 503, "leaving", LEAVING_RETRY_S)
            return None
        catalogue = self.board.catalogue
        configuration = catalogue.configuration
        if configuration is None:
            self.tell(request, caller, 503, "no configuration yet", STARTING_RETRY_S)
            return None
        route = catalogue.routes.match(request.host, request.path)
        if route is None:
            self.tell(request, caller, 404, "no route")
            return None
        workspace = None
        if catalogue.routes.workspaces is not None:
            known = catalogue.routes.workspaces.get(request.key or "")
            if known is None and not route.anonymous:
                self.tell(request, caller, 401, "unknown key")
                return None
            workspace = known.name if known else None
        service = pick_service(route, self.random)
        turned_away_s = self.crashes.quarantined_for_s(request, workspace)
        if turned_away_s is not None:
            self.tell(request, caller, 503, CRASHES_SERVERS, turned_away_s)
            return None
        timeout_at = request.received_at + route.timeout_s
        deadline = min(timeout_at, request.deadline or timeout_at)
        elapsed_s = self.elapsed_before(route, request)
        # One bound for all kinds of a service: with a bound for each, the queue would
        # grow to the longest and the kind with the shortest would be refused alone.
        objective_s = catalogue.routes.objectives.get(service, route.objective_s)
        objective_at = request.received_at + objective_s - elapsed_s
        self.retry_share(service).request(clock.now())
        return RequestState(
            request,
            route,
            service,
            workspace,
            deadline,
            timeout_at,
            objective_at,
            objective_at <= request.received_at,
            EventCutter(),
        )

    def elapsed_before(self, route: Route, request: CallerRequest) -> float:
        """
        Return the seconds that a caller had certainly waited before this attempt.

        Callers state what is left of their time. They differ in patience, so that only
        one who has much less left than others have had is known to come again.
        """
        if request.deadline is None:
            return 0.0
        left_s = request.deadline - request.received_at
        full_s = self.full_deadlines.get(route.name, 0.0)
        if left_s > full_s:
            self.full_deadlines[route.name] = left_s
            return 0.0
        return full_s - left_s if left_s < FIRST_ATTEMPT_SHARE * full_s else 0.0

    def run(self, state: RequestState, caller: CallerConnection) -> None:
        """Send a request until it is answered or given up."""
        while True:
            now = clock.now()
            if now >= state.deadline:
                self.give_up(state, caller, "out of time")
                return
            choice = self.choose(state, now)
            if isinstance(choice, Refused):
                self.log_choice(state, "none", choice.reason, choice.candidates)
                self.give_up(state, caller, choice.reason, choice.retry_after_s)
                return
            backend = choice.backend
            self.log_choice(
                state,
                backend.listed.server_id,
                "first event due first",
                choice.candidates,
            )
            state.tried.append(backend.listed.server_id)
            self.note_sent(state, backend, now)
            known = self.crashes.known_crashes(state.request, state.workspace)
            attempt = Sending(self, state, choice, caller).run()
            state.attempts.append(attempt)
            if attempt.crashed:
                self.crashes.broke_off(state.request, state.workspace, backend, known)
            self.instruments.attempted(attempt.end)
            if attempt.may_have_run:
                state.may_have_run = True
            if attempt.end is AttemptEnd.ANSWERED:
                self.crashes.answered(state.request, state.workspace, known)
                self.log_end(state.request, "answered", str(attempt.status), state)
                return
            if attempt.end is AttemptEnd.CALLER_LEFT:
                self.log_end(state.request, "caller left", "work is cancelled", state)
                return
            refusal = self.why_not_again(state, attempt)
            if refusal is not None:
                self.give_up(state, caller, refusal, attempt.retry_after_s)
                return

    def note_sent(self, state: RequestState, backend: Backend, now: float) -> None:
        """Count a prompt that is about to be sent, here and at the peers."""
        figures = self.engine(state.service)
        if figures is not None:
            tokens = state.request.prompt_tokens
            backend.sent(reading_s(figures, tokens), now)
            self.tell_peers(backend.listed.address, int(tokens))

    def note_events(self, state: RequestState) -> None:
        """Count that events of a stream came, the first one or later ones."""
        now = clock.now()
        if state.first_event_at is None:
            state.first_event_at = now
            self.instruments.first_event(now - state.request.received_at)
        else:
            gap_s = now - state.last_event_at
            state.longest_gap_s = max(state.longest_gap_s, gap_s)
        state.last_event_at = now

    def choose(self, state: RequestState, now: float) -> Chosen | Refused:
        """Return the back end for the next sending."""
        backends = self.board.backends.serving(state.service)
        request = state.request
        wanted = Wanted(
            model=request.model,
            min_version=self.min_version(
                request.model,
                now,
                RESEND_MARGIN_S if state.attempts else OLD_WEIGHTS_MARGIN_S,
            ),
            prompt_tokens=request.prompt_tokens,
            answer_tokens=request.answer_tokens,
            first_event_within_s=state.objective_at - now,
            give_up_within_s=state.deadline - now,
        )
        if state.attempts and state.route.kind is RouteKind.STREAMING:
            # A stream that broke goes on wherever it can: its work is half done.
            wanted = replace(
                wanted, first_event_within_s=ANY_TIME_S, give_up_within_s=ANY_TIME_S
            )
        return choose_backend(
            backends,
            wanted,
            self.engine(state.service),
            self.board.identity.failure_domain,
            state.tried,
            now,
            self.random,
        )

    def engine(self, service: str) -> EngineFigures | None:
        """Return the figures of a service's engines, None for a plain service."""
        found = self.board.catalogue.routes.services.get(service)
        return found.engine if found else None

    def min_version(
        self, model: str, now: float, margin_s: float = OLD_WEIGHTS_MARGIN_S
    ) -> int:
        """Return the oldest version that may begin a request, 0 for any."""
        named = self.board.catalogue.weights.get(model)
        if named is None:
            return 0
        within_s = self.limits.weights_within_s - margin_s
        return named.bound_since(now - within_s)

    def why_not_again(self, state: RequestState, attempt: Attempt) -> str | None:
        """Return why a request is not sent once more, None if it is."""
        if attempt.end is AttemptEnd.OUT_OF_TIME:
            return "out of time"
        if attempt.may_have_run and not state.route.repeatable:
            return attempt.reason
        if (
            attempt.crashed
            and self.crashes.quarantined_for_s(state.request, state.workspace)
            is not None
        ):
            return CRASHES_SERVERS
        sent = [a for a in state.attempts if a.end is not AttemptEnd.NOT_SENT]
        if len(sent) >= state.route.max_attempts:
            return attempt.reason
        if len(state.attempts) > state.route.max_attempts + 1:
            return attempt.reason
        if attempt.end is AttemptEnd.NOT_SENT:
            return None
        entries = len(self.board.peers.live(clock.now())) + 1
        if not self.retry_share(state.service).take(entries, clock.now()):
            return f"{attempt.reason}; no retry left in the budget"
        return None

    def retry_share(self, service: str) -> RetryShare:
        """Return this entry's share of the retries to a service."""
        share = self.retry_shares.get(service)
        if share is None:
            share = self.retry_shares[service] = RetryShare(self.limits.retries)
        return share

    def give_up(
        self,
        state: RequestState,
        caller: CallerConnection,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Tell a caller at once that there will be no (further) answer."""
        if state.head_forwarded:
            self.log_end(state.request, "cut off", reason, state)
            caller.cut()
            return
        retry_s = retry_after_s if retry_after_s is not None else STARTING_RETRY_S
        if not state.may_have_run:
            self.tell(state.request, caller, 503, reason, retry_s, state)
        elif clock.now() >= state.deadline:
            self.tell(state.request, caller, 504, reason, None, state)
        else:
            # 503 would promise that it has not run, also of what does no harm twice.
            again_s = retry_s if state.route.repeatable else None
            self.tell(state.request, caller, 502, reason, again_s, state)

    def tell(
        self,
        request: CallerRequest,
        caller: CallerConnection,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
        state: RequestState | None = None,
    ) -> None:
        """Answer with a failure of the entry's own."""
        self.instruments.told(status)
        self.log_end(request, "refused", f"{status} {reason}", state)
        caller.problem(status, reason, retry_after_s)

    def log_choice(
        self, state: RequestState, choice: str, reason: str, candidates: str
    ) -> None:
        """Log which back end was chosen, and from what."""
        request = state.request
        catalogue = self.board.catalogue
        log_decision(
            "back end chosen",
            request.shown_id,
            choice,
            reason,
            service=state.service,
            candidates=candidates,
            tried=state.tried[:],
            late=state.late,
            configuration=catalogue.configuration.revision
            if catalogue.configuration
            else None,
            store_age_s=round(clock.now() - catalogue.heard_at, 3)
            if catalogue.heard_at is not None
            else None,
        )

    def log_end(
        self,
        request: CallerRequest,
        outcome: str,
        reason: str,
        state: RequestState | None = None,
    ) -> None:
        """Log how a request ended for its caller."""
        more: dict[str, object] = {}
        if state is not None:
            more = {
                "route": state.route.name,
                "workspace": state.workspace,
                "attempts": [
                    f"{server}: {attempt.end} {attempt.status or ''} {attempt.reason}"
                    for server, attempt in zip(
                        state.tried, state.attempts, strict=False
                    )
                ],
            }
            if state.first_event_at is not None:
                took = state.first_event_at - request.received_at
                more["first_event_ms"] = round(took * 1000)
                more["longest_gap_ms"] = round(state.longest_gap_s * 1000)
        log_decision(
            "request ended",
            request.shown_id,
            outcome,
            reason,
            took_ms=round((clock.now() - request.received_at) * 1000),
            caller_waits_ms=None
            if request.deadline is None
            else round((request.deadline - request.received_at) * 1000),
            **more,
        )
