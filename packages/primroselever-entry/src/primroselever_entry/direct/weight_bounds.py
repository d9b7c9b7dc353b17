"""
Until when requests may start on versions of weights, and engines may work on them.

A version lapses ``weights_within_s`` after the latest proof that no newer one was
published. The functions compute bounds of all requests from what this entry knows now;
``AttemptBounds`` has those of one attempt.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from primroselever_core.catalogue.model import RouteKind
from primroselever_core.catalogue.published_weights import LEAST_MARGIN_S
from primroselever_core.dispatch.predict import predict_answer_s
from primroselever_node import clock
from primroselever_node.logs import log_decision

if TYPE_CHECKING:
    from primroselever_core.dispatch.choose import Chosen

    from .flow import DirectFlow
    from .request_state import RequestState

# A request without its first event is cancelled this long before weights_within_s ends.
# This entry may have learned of the version late, and the cancellation takes its time.
CANCEL_MARGIN_S = 0.3
# Of the margin of a cancellation, which is 0.3 s, for the refusal of the engine.
REFUSAL_WAIT_S = 0.1
# Of the predicted time of an answer, which may double while the engine is busy.
LONGEST_RUN_FACTOR = 2.0
# Engines are told their time in whole milliseconds, rounded down.
TIME_STEP_S = 0.001


def min_version(flow: DirectFlow, model: str, now: float) -> int:
    """Return the oldest version to which a request may be sent now, 0 for any."""
    published_weights = flow.board.catalogue.weights.get(model)
    if published_weights is None:
        return 0
    max_age_s = flow.limits.weights_within_s - LEAST_MARGIN_S
    return published_weights.newest_absent_by(now - max_age_s)


def newer_bounds(
    flow: DirectFlow, model: str, now: float
) -> tuple[tuple[int, float], ...]:
    """Return versions, and the seconds until requests may not start on older."""
    published_weights = flow.board.catalogue.weights.get(model)
    if published_weights is None:
        return ()
    return published_weights.bounds_left(flow.limits.weights_within_s, now)


def weights_lapse_at(flow: DirectFlow, model: str, version: int, now: float) -> float:
    """
    Return until when a request may wait for its first event on weights.

    Its prediction may be wrong, for example if other entries sent requests to the
    same engine at the same moment. The newest version lapses as if the next one had
    been published right after the latest proof that there is none.
    """
    if not version:
        return inf
    published_weights = flow.board.catalogue.weights.get(model)
    outdated_since = (
        None if published_weights is None else published_weights.outdated_since(version)
    )
    if outdated_since is None:
        outdated_since = absence_proven_at(flow, now)
    return outdated_since + flow.limits.weights_within_s - CANCEL_MARGIN_S


def absence_proven_at(flow: DirectFlow, now: float) -> float:
    """
    Return when it was last proven that nothing newer was published.

    Without a proof for ``unproven_s`` it is that long ago: an entry that is cut off
    from the store serves what it can, but gives engines little time.
    """
    catalogue = flow.board.catalogue
    earliest_at = now - catalogue.unproven_s
    proof_at = catalogue.freshness.proof_at
    return earliest_at if proof_at is None else max(proof_at, earliest_at)


def is_outdated(flow: DirectFlow, model: str, version: int) -> bool:
    """Return whether a newer version is known than the one an engine runs."""
    published_weights = flow.board.catalogue.weights.get(model)
    return (
        version > 0
        and published_weights is not None
        and published_weights.outdated_since(version) is not None
    )


class AttemptBounds:
    """
    Until when one attempt may start, and its engine may work, by the engine's weights.

    ``version`` is the version of the weights on which the request starts, 0 if that is
    not bounded. An attempt without a first event is cancelled when they lapse.
    ``engine_ends_at`` is when the engine was told to end its work, and
    ``longest_run_s`` the longest time in seconds that it may need for the answer.
    ``written`` is set once the whole request was written, and ``answer_begun`` once the
    first event of a stream arrived.
    """

    def __init__(
        self, flow: DirectFlow, state: RequestState, choice: Chosen, started_at: float
    ) -> None:
        self.flow = flow
        self.state = state
        self.choice = choice
        self.started_at = started_at
        self.version = 0
        self.engine_ends_at = inf
        self.longest_run_s = self.predict_longest_run_s()
        self.written = False
        self.answer_begun = False

    def predict_longest_run_s(self) -> float:
        """Return the longest time in seconds that an engine may need for the answer."""
        figures = self.flow.engine_figures(self.state)
        if figures is None:
            return 0.0
        tokens = self.state.request.answer_tokens or figures.usual_answer_tokens
        pace = self.choice.backend.pace(self.started_at)
        answer_s = pace * predict_answer_s(figures, figures.slots, tokens)
        return LONGEST_RUN_FACTOR * (self.choice.predicted_s + answer_s)

    def start_limit(self) -> float:
        """
        Return until when to wait for the engine to start the attempt.

        It is asked for again by then, since a newer version may have been published.
        The entry cannot tell when a plain answer was started, only that it was not
        before the request was written. The engine counts its time from the arrival.
        """
        is_stream = self.state.route.kind is RouteKind.STREAMING
        if self.answer_begun or (self.written and not is_stream):
            return inf
        lapses_at = weights_lapse_at(
            self.flow, self.state.request.model, self.version, clock.now()
        )
        # The engine refuses the request at the lapse, which proves that it has not run.
        return lapses_at + (REFUSAL_WAIT_S if self.written else 0.0)

    def engine_deadline(self) -> float:
        """
        Return until when the back end may work on the attempt.

        A request that still waits there by the time that it is given is refused, so it
        never starts on lapsed weights, however late this process, its knowledge of
        versions or the engine is. One that has started is ended by the engine as well.
        An answer on the newest version that may take longer than the bound itself is
        not limited: it would be ended although no newer version is published.
        """
        deadline, now = self.state.deadline, clock.now()
        model = self.state.request.model
        lapses_at = weights_lapse_at(self.flow, model, self.version, now)
        outdated = is_outdated(self.flow, model, self.version)
        if not outdated and self.longest_run_s > self.flow.limits.weights_within_s:
            return deadline
        return min(deadline, lapses_at)

    def has_ended_at_lapse(self) -> bool:
        """Return whether the engine had to end its work since its weights lapsed."""
        return self.engine_ends_at < self.state.deadline and (
            clock.now() >= self.engine_ends_at - TIME_STEP_S
        )

    def log_old_weights(self, now: float) -> None:
        """Log how long before its limit the first event on old weights arrived."""
        limit = self.start_limit()
        if is_outdated(self.flow, self.state.request.model, self.version):
            log_decision(
                "first event on old weights",
                self.state.request.log_id,
                self.choice.backend.listed.server_id,
                f"version {self.version}",
                left_ms=round((limit - now) * 1000),
                took_ms=round((now - self.started_at) * 1000),
                predicted_ms=round(self.choice.predicted_s * 1000),
            )

    def log_lapse(self, now: float) -> None:
        """Log that an attempt ended with its weights, and how late this was noticed."""
        limit = self.start_limit()
        log_decision(
            "weights lapsed",
            self.state.request.log_id,
            self.choice.backend.listed.server_id,
            f"version {self.version} may no longer be used",
            noticed_late_ms=round((now - min(self.engine_ends_at, limit)) * 1000),
            answer_begun=self.answer_begun,
            waited_ms=round((now - self.started_at) * 1000),
        )
