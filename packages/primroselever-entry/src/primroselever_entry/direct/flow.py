"""
The processing of one request: routing, choice of a back end, attempts, response.

The status states whether a request that must not run twice may be retried:
503 and 429 mean that no back end can have started to process it; 502 and 504 guarantee
nothing.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from primroselever_core.catalogue.model import RouteKind
from primroselever_core.catalogue.routes import effective_priority, pick_service
from primroselever_core.dispatch.announcements import caller_return_s, earliest_return
from primroselever_core.dispatch.buffers import BufferAccount, BufferLimits
from primroselever_core.dispatch.choose import (
    Chosen,
    Refused,
    RequestNeeds,
    choose_backend,
)
from primroselever_core.dispatch.predict import predict_read_s, predict_request_s
from primroselever_core.dispatch.retry_share import RetryLimits, RetryShare
from primroselever_node import clock

from .admission import AdmissionPolicy
from .announcements import AnnouncementReader
from .attempt import Attempt, AttemptEnd
from .caller_connection import CallerLeftError
from .crash_watch import CrashWatch
from .grace_period import LEAVING_REASON, LEAVING_RETRY_AFTER_S, GracePeriod
from .memory import keep_holding
from .part_watch import CRASHING_PART_REASON, PartWatch
from .placing import current_placement, refuse_placement
from .request_log import log_choice, log_request_end
from .request_state import RequestState
from .sending import AttemptSender
from .sent_requests import SentRequests
from .weight_bounds import min_version, newer_bounds

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping, Sequence
    from random import Random

    from primroselever_core.catalogue.model import Address, EngineFigures, Route
    from primroselever_core.direct_board import DirectBoard
    from primroselever_core.dispatch.announcements import ServerStart
    from primroselever_core.dispatch.backend import Backend
    from primroselever_core.identifiers import Fingerprint
    from primroselever_node.direct.connection_pool import ConnectionPool

    from .caller_connection import CallerConnection
    from .caller_request import CallerRequest
    from .header_names import HeaderNames
    from .instruments import FlowInstruments

# For failures without a better estimate. A starting entry receives its configuration
# within a few responses from the store.
DEFAULT_RETRY_AFTER_S = 0.5
NO_TIME_LIMIT_S = 60.0  # longer than any route's timeout
CRASHED_SERVERS_REASON = "earlier runs of this request crashed servers"
SILENCE_RECHECK_S = 0.2  # how often another back end is sought for a silent request
# Of the longest time left on the route; a request with less time left is a retry.
MIN_FIRST_ATTEMPT_SHARE = 0.8

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class FlowLimits:
    """
    Limits of the request flow.

    ``weights_within_s`` is for how many seconds after a new version was published
    requests may still start on older weights. ``regions`` maps failure domains to
    regions.
    """

    weights_within_s: float
    retries: RetryLimits
    buffers: BufferLimits = field(default_factory=BufferLimits)
    regions: Mapping[str, str] = field(default_factory=dict)


class DirectFlow:
    """Answers callers' requests by forwarding them to back ends."""

    def __init__(
        self,
        board: DirectBoard,
        pool: ConnectionPool,
        names: HeaderNames,
        limits: FlowLimits,
        instruments: FlowInstruments,
        random: Random,
        publish_sent: Callable[[Address, int, int], None],
        publish_suspicion: Callable[[Fingerprint], None],
        publish_leaving: Callable[[ServerStart], None],
        publish_limit: Callable[[ServerStart, int], None],
        publish_pace: Callable[[ServerStart, int], None] = lambda _start, _started: (
            None
        ),
    ) -> None:
        self.board = board
        self.pool = pool
        self.names = names
        self.limits = limits
        self.instruments = instruments
        self.random = random
        self.publish_sent = publish_sent
        self.admission = AdmissionPolicy(board, instruments)
        self.part_watch = PartWatch(board, publish_suspicion)
        self.crash_watch = CrashWatch(
            board.suspects,
            publish_suspicion,
            board.whole_requests,
            self.part_watch.live_entries,
        )
        self.announcements = AnnouncementReader(
            board.backends,
            names,
            instruments,
            random,
            publish_leaving,
            publish_limit,
            publish_pace,
        )
        self.sent_requests = SentRequests()
        self.buffers = BufferAccount(limits.buffers.total_bytes)
        self.retry_shares: dict[str, RetryShare] = {}
        self.longest_remaining_s: dict[str, float] = {}
        self.grace_period = GracePeriod()

    def handle(self, request: CallerRequest, caller: CallerConnection) -> None:
        """Process one request and send its response."""
        state: RequestState | None = None
        try:
            state = self.admit_request(request, caller)
            if state is not None:
                self.send_until_ended(state, caller)
        except CallerLeftError:
            log_request_end(request, "caller left", "no further bytes are sent")
        except Exception:
            logger.exception(
                "unexpected error while a request was processed",
                extra={"request": request.log_id},
            )
            self.answer_unexpected_error(request, state, caller)
        finally:
            self.instruments.record_duration(clock.now() - request.received_at)

    def answer_unexpected_error(
        self,
        request: CallerRequest,
        state: RequestState | None,
        caller: CallerConnection,
    ) -> None:
        """Answer a request that met an unexpected error, if no response has started."""
        reason = "unexpected error"
        if caller.response_started():
            log_request_end(request, "cut off", reason, state)
            caller.abandon_response()
            return
        may_have_run = state is not None and (
            state.may_have_run or len(state.tried_server_ids) > len(state.attempts)
        )
        status = 502 if may_have_run else 503
        retry_after_s = None if may_have_run else DEFAULT_RETRY_AFTER_S
        try:
            self.send_error(request, caller, status, reason, retry_after_s, state)
        except CallerLeftError:
            log_request_end(request, "caller left", reason, state)

    def admit_request(
        self, request: CallerRequest, caller: CallerConnection
    ) -> RequestState | None:
        """Return the state of an admitted request; otherwise send an error."""
        catalogue = self.board.catalogue
        configuration = catalogue.configuration
        if configuration is None:
            self.send_error(
                request, caller, 503, "no configuration yet", DEFAULT_RETRY_AFTER_S
            )
            return None
        route = catalogue.routes.match(request.host, request.path)
        if route is None:
            self.send_error(request, caller, 404, "no route")
            return None
        workspace = known_workspace = None
        workspace_regions: tuple[str, ...] = ()
        if catalogue.routes.workspaces is not None:
            known_workspace = catalogue.routes.workspaces.get(request.api_key or "")
            if known_workspace is None and not route.anonymous:
                self.send_error(request, caller, 401, "unknown key")
                return None
            if known_workspace is not None:
                workspace = known_workspace.name
                workspace_regions = known_workspace.regions
        timeout_at = request.received_at + route.timeout_s
        deadline = min(timeout_at, request.deadline or timeout_at)
        if not self.grace_period.admits(deadline, clock.now(), caller.comes_late):
            # Another entry can take it at once; here shutdown could cut it off.
            self.send_error(request, caller, 503, LEAVING_REASON, LEAVING_RETRY_AFTER_S)
            return None
        service = pick_service(route, self.random)
        quarantine_s = self.crash_watch.quarantine_remaining_s(request, workspace)
        if quarantine_s is not None:
            self.send_error(request, caller, 503, CRASHED_SERVERS_REASON, quarantine_s)
            return None
        waited_s = self.waited_before_s(route, request)
        priority = effective_priority(route, known_workspace)
        objective_s = self.admission.objective_s(service, route, priority)
        objective_at = request.received_at + objective_s - waited_s
        now = clock.now()
        self.retry_share(service).record_request(now)
        state = RequestState(
            request,
            route,
            service,
            workspace,
            deadline,
            objective_at,
            objective_at <= request.received_at,
            workspace_regions=workspace_regions,
            admitted_by=catalogue.routes,
        )
        state.admitted_figures = self.engine_figures(state)
        self.admission.record_arrival(state, known_workspace, now)
        return state

    def waited_before_s(self, route: Route, request: CallerRequest) -> float:
        """
        Return the seconds that a caller is known to have waited before this request.

        Callers send the time left until their deadline. Deadlines differ between
        callers, so a request counts as a retry only if its time left is much shorter
        than the longest one seen on the route.
        """
        if request.deadline is None:
            return 0.0
        remaining_s = request.deadline - request.received_at
        longest_s = self.longest_remaining_s.get(route.name, 0.0)
        if remaining_s > longest_s:
            self.longest_remaining_s[route.name] = remaining_s
            return 0.0
        return (
            longest_s - remaining_s
            if remaining_s < MIN_FIRST_ATTEMPT_SHARE * longest_s
            else 0.0
        )

    def send_until_ended(self, state: RequestState, caller: CallerConnection) -> None:
        """Make attempts until a request is answered, fails or is abandoned."""
        no_retry_reason: str | None = None
        try:
            while clock.now() < state.deadline:
                attempt_count = len(state.attempts)
                attempt = self.make_attempt(state, caller, no_retry_reason)
                if isinstance(attempt, Refused):
                    self.fail_request(
                        state, caller, attempt.reason, attempt.retry_after_s
                    )
                    return
                if attempt.end is AttemptEnd.ANSWERED:
                    log_request_end(
                        state.request, "answered", str(attempt.status), state
                    )
                    return
                if attempt.end is AttemptEnd.CALLER_LEFT:
                    log_request_end(
                        state.request,
                        "caller left",
                        "the work for it is cancelled",
                        state,
                    )
                    return
                if len(state.attempts) > attempt_count:
                    no_retry_reason = self.retry_refusal_reason(state, attempt)
                elif self.has_crashed_too_many(state, attempt):
                    # The retry was taken from the budget when the back end fell silent.
                    no_retry_reason = CRASHED_SERVERS_REASON
            self.fail_request(state, caller, "out of time")
        finally:
            if state.silent_sender is not None:
                state.silent_sender.close()

    def make_attempt(
        self,
        state: RequestState,
        caller: CallerConnection,
        no_retry_reason: str | None,
    ) -> Attempt | Refused:
        """
        Send a request to the next back end, or wait longer for a silent one.

        Return a refusal if neither is possible. ``no_retry_reason`` is why the request
        may not be sent again, None if it may.
        """
        now = clock.now()
        silent = state.silent_sender
        if silent is not None and not silent.may_resume():
            silent.close()
            silent = state.silent_sender = None
        if no_retry_reason is None and not self.may_pass_on(state):
            if silent is None:
                return Refused(LEAVING_REASON, LEAVING_RETRY_AFTER_S)
            no_retry_reason = LEAVING_REASON
        if no_retry_reason is not None:
            if silent is None:
                return Refused(no_retry_reason, self.retry_delay_s(state))
            return self.record_attempt(
                state, silent, silent.keep_waiting(state.deadline)
            )
        if silent is not None and silent.has_resumed():
            until = min(state.deadline, now + SILENCE_RECHECK_S)
            return self.record_attempt(state, silent, silent.keep_waiting(until))
        choice = self.choose_next_backend(state, now)
        if isinstance(choice, Refused):
            if silent is None:
                log_choice(
                    self.board.catalogue,
                    state,
                    "none",
                    choice.reason,
                    choice.candidates,
                )
                return choice
            until = min(state.deadline, now + SILENCE_RECHECK_S)
            return self.record_attempt(state, silent, silent.keep_waiting(until))
        backend = choice.backend
        log_choice(
            self.board.catalogue,
            state,
            backend.listed.server_id,
            "first event due first",
            choice.candidates,
        )
        state.tried_server_ids.append(backend.listed.server_id)
        self.record_sent_prompt(state, backend, now)
        self.announcements.record_start(backend.listed)
        known_crashes = self.crash_watch.known_crashes(state.request, state.workspace)
        part_run = self.part_watch.begin_run(state.request, state.deadline)
        trial = self.crash_watch.begin_run(
            state.request, state.workspace, state.deadline
        )
        sender = AttemptSender(self, state, choice, caller)
        sender.known_crashes, sender.part_run = known_crashes, part_run
        sender.trial = trial
        sender.index = len(state.attempts)
        return self.record_attempt(state, sender, sender.run())

    def record_attempt(
        self, state: RequestState, sender: AttemptSender, attempt: Attempt
    ) -> Attempt:
        """Record the result of an attempt, or of a longer wait for its response."""
        if attempt.end is AttemptEnd.SILENT:
            # First, so that the attempt is closed whatever happens here.
            if state.silent_sender not in (None, sender):
                state.silent_sender.close()
            state.silent_sender = sender
        newly_sent = sender.index == len(state.attempts)
        state.attempts[sender.index : sender.index + 1] = [attempt]
        if newly_sent or attempt.end is not AttemptEnd.SILENT:
            self.instruments.count_attempt(attempt.end)
        if attempt.end is not AttemptEnd.SILENT:
            self.part_watch.end_run(sender.part_run)
            self.crash_watch.end_run(sender.trial)
        if attempt.suggests_crash:
            self.crash_watch.record_broken_run(
                state.request, state.workspace, sender.backend, sender.known_crashes
            )
            self.part_watch.record_broken_run(
                state.request, sender.backend, sender.part_run
            )
        if attempt.may_have_run:
            state.may_have_run = True
        if attempt.end is AttemptEnd.ANSWERED:
            self.crash_watch.record_answer(
                state.request, state.workspace, sender.known_crashes
            )
            if attempt.status < 400:
                self.part_watch.record_answer(state.request)
        return attempt

    def record_sent_prompt(
        self, state: RequestState, backend: Backend, now: float
    ) -> None:
        """Count a request that is about to be sent, and publish it to peers."""
        figures = self.engine_figures(state)
        if figures is None:
            if backend.measures_pace:
                self.publish_sent(backend.listed.address, 0, state.urgency)
        else:
            tokens = state.request.prompt_tokens
            backend.record_sent(predict_read_s(figures, tokens), now)
            request_s = predict_request_s(figures)
            backend.urgent_work.record_sent(state.urgency, request_s, now)
            self.publish_sent(backend.listed.address, int(tokens), state.urgency)

    def record_events(self, state: RequestState) -> None:
        """Record when events of a stream arrived, and the gap before them."""
        now = clock.now()
        if state.first_event_at is None:
            state.first_event_at = now
            self.instruments.record_first_event(now - state.request.received_at)
        else:
            gap_s = now - state.last_event_at
            state.longest_gap_s = max(state.longest_gap_s, gap_s)
        state.last_event_at = now

    def choose_next_backend(self, state: RequestState, now: float) -> Chosen | Refused:
        """Return the back end for the next attempt, or a refusal."""
        delay_s = self.crash_watch.trial_delay_s(state.request, state.workspace)
        if delay_s is not None:
            return Refused(CRASHED_SERVERS_REASON, delay_s)
        held = self.part_watch.held_part(state.request)
        if held is not None:
            return Refused(CRASHING_PART_REASON, held.retry_after_s)
        placement = current_placement(self, state)
        listed = self.board.backends.serving(state.service)
        backends = placement.usable(listed)
        if listed and not backends:
            return refuse_placement(self, state, placement, listed)
        self.board.backends.record_wanted(backends, now)
        request = state.request
        needs = RequestNeeds(
            model=request.model,
            min_version=min_version(self, request.model, now),
            prompt_tokens=request.prompt_tokens,
            answer_tokens=request.answer_tokens,
            first_event_within_s=state.objective_at - now,
            deadline_within_s=state.deadline - now,
            pause_s=state.route.pause_s,
            newer_bounds=newer_bounds(self, request.model, now),
        )
        needs = self.admission.add_terms(state, needs, now)
        if state.attempts and state.route.kind is RouteKind.STREAMING:
            # A retry of a stream is not refused for being late, since a part of its
            # work may already be done.
            needs = replace(
                needs,
                first_event_within_s=NO_TIME_LIMIT_S,
                deadline_within_s=NO_TIME_LIMIT_S,
                terms=None,
            )
        figures = self.engine_figures(state)
        if figures is not None and self.board.backends.server_memory:
            holding = keep_holding(self, state, backends, needs, figures, now)
            if isinstance(holding, Refused):
                return holding
            backends = holding
        choice = self.choose_unsent(state, backends, needs, figures, now)
        refused = choice if isinstance(choice, Refused) else None
        self.admission.record_choice(state, refused, now)
        return choice

    def choose_unsent(
        self,
        state: RequestState,
        backends: Sequence[Backend],
        needs: RequestNeeds,
        figures: EngineFigures | None,
        now: float,
    ) -> Chosen | Refused:
        """
        Return the choice of a back end, if possible one that never got the request.

        A server that got the identifier before is not believed to refuse it now. The
        caller of a request that must not run twice would then learn nothing certain.
        """
        own_domain = self.board.identity.failure_domain

        def choose(excluded: Collection[str]) -> Chosen | Refused:
            return choose_backend(
                backends, needs, figures, own_domain, excluded, now, self.random
            )

        tried = state.tried_server_ids
        if not state.route.repeatable:
            server_ids = [each.listed.server_id for each in backends]
            request_id = state.request.request_id
            sent_to = self.sent_requests.servers_of(request_id, server_ids)
            if sent_to and isinstance(choice := choose(sent_to.union(tried)), Chosen):
                return choice
        return choose(tried)

    def engine_figures(self, state: RequestState) -> EngineFigures | None:
        """
        Return the engine figures of a request's service, or None for a plain service.

        They are those now in force. If the service is no longer configured, those of
        the admission still bound the versions of weights on which the request starts.
        """
        service = self.board.catalogue.routes.services.get(state.service)
        return state.admitted_figures if service is None else service.engine

    def may_send(self, state: RequestState, choice: Chosen, now: float) -> bool:
        """Return whether a request may still be sent to the weights of an engine."""
        loaded_version = choice.backend.loaded_version(state.request.model, now)
        return (
            now < choice.send_by
            and loaded_version > 0
            and loaded_version >= min_version(self, state.request.model, now)
        )

    def may_pass_on(self, state: RequestState) -> bool:
        """
        Return whether a stop of this process permits another attempt now.

        A stream of which a part was forwarded cannot be refused any more. It is resumed
        at any time, since it would be cut off at once otherwise.
        """
        return state.head_forwarded or self.grace_period.admits(
            state.deadline, clock.now()
        )

    def retry_refusal_reason(self, state: RequestState, attempt: Attempt) -> str | None:
        """Return why a request is not retried, or None if it is."""
        if attempt.end is AttemptEnd.OUT_OF_TIME:
            return "out of time"
        if state.plain_part_forwarded:
            return attempt.reason
        if state.event_forwarded and not state.last_event_id:
            return f"{attempt.reason}; the last event has no identifier to resume after"
        if attempt.may_have_run and not state.route.repeatable:
            return attempt.reason
        if self.has_crashed_too_many(state, attempt):
            return CRASHED_SERVERS_REASON
        sent_attempts = [
            each for each in state.attempts if each.end is not AttemptEnd.NOT_SENT
        ]
        if len(sent_attempts) >= state.route.max_attempts:
            return attempt.reason
        if len(state.attempts) > state.route.max_attempts + 1:
            return attempt.reason
        if attempt.end is AttemptEnd.NOT_SENT:
            return None
        now = clock.now()
        # An entry that was live in the window may have used its share, also if it is
        # silent now, or if only this process did not run for a while.
        window_start = now - self.limits.retries.window_s
        entry_count = self.board.peers.count_heard_since(window_start) + 1
        if not self.retry_share(state.service).take_retry(entry_count, now):
            return f"{attempt.reason}; no retry left in the budget"
        return None

    def has_crashed_too_many(self, state: RequestState, attempt: Attempt) -> bool:
        """Return whether an attempt ended in a crash and quarantines its request."""
        return (
            attempt.suggests_crash
            and self.crash_watch.quarantine_remaining_s(state.request, state.workspace)
            is not None
        )

    def retry_share(self, service: str) -> RetryShare:
        """Return this entry's share of the retries to a service."""
        share = self.retry_shares.get(service)
        if share is None:
            share = self.retry_shares[service] = RetryShare(self.limits.retries)
        return share

    def fail_request(
        self,
        state: RequestState,
        caller: CallerConnection,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        """End a request without a complete answer: send an error or cut it off."""
        if state.head_forwarded:
            log_request_end(state.request, "cut off", reason, state)
            caller.abandon_response()
            return
        retry_delay_s = (
            retry_after_s if retry_after_s is not None else self.retry_delay_s(state)
        )
        if not state.may_have_run:
            self.send_error(state.request, caller, 503, reason, retry_delay_s, state)
        elif clock.now() >= state.deadline:
            self.send_error(state.request, caller, 504, reason, None, state)
        else:
            # 503 would claim that the request did not run. Repeatable requests may
            # have run too, so they also get 502.
            repeat_delay_s = retry_delay_s if state.route.repeatable else None
            self.send_error(state.request, caller, 502, reason, repeat_delay_s, state)

    def retry_delay_s(self, state: RequestState) -> float:
        """Return the delay before a retry of a request whose attempts failed."""
        now = clock.now()
        backends = current_placement(self, state).usable(
            self.board.backends.serving(state.service)
        )
        returns_at = earliest_return((each.announced for each in backends), now)
        if returns_at is None:
            return DEFAULT_RETRY_AFTER_S
        return caller_return_s(returns_at, state.deadline - now, now, self.random)

    def send_error(
        self,
        request: CallerRequest,
        caller: CallerConnection,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
        state: RequestState | None = None,
    ) -> None:
        """Send an error response that the entry generates itself."""
        self.instruments.count_own_answer(status)
        log_request_end(
            request,
            "refused",
            f"{status} {reason}",
            state,
            self.board.catalogue.configuration_revision,
        )
        caller.send_problem(status, reason, retry_after_s)
