"""Where each request goes: asks the core, logs and counts what it decided."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry import metrics
from opentelemetry.metrics import CallbackOptions, Observation

from primroselever_core.identifiers import GroupName
from primroselever_core.outcomes import Ending, NotRun, Reason
from primroselever_core.routing.router import Router, Wanted, prefix_of
from primroselever_node import clock
from primroselever_node.logs import log_decision

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from primroselever_core.identifiers import RunId, VmId
    from primroselever_core.profiles.model import Service
    from primroselever_core.routing.choose import Choice
    from primroselever_core.routing.section import Server

    from ..requests.caller_request import CallerRequest


class RequestRouter:
    """Chooses servers for the request flow; one serves all its requests."""

    def __init__(self, router: Router) -> None:
        self.router = router
        meter = metrics.get_meter("primroselever.routing")
        self.choices = meter.create_counter(
            "primroselever.routing.choices",
            unit="{request}",
            description="Servers chosen, by reason",
        )
        self.refusals = meter.create_counter(
            "primroselever.routing.refusals",
            unit="{request}",
            description="Requests that were sent nowhere, by reason",
        )
        self.retries = meter.create_counter(
            "primroselever.routing.retries",
            unit="{request}",
            description="Retries asked for, by whether the budget allowed them",
        )
        meter.create_observable_gauge(
            "primroselever.routing.ejected",
            [self.observe_ejected],
            unit="{server}",
            description="Servers ejected because their answers failed",
        )

    def observe_ejected(self, _options: CallbackOptions) -> Iterable[Observation]:
        """Return how many servers are ejected now."""
        return [Observation(self.router.ejected(clock.now()))]

    def wanted(self, request: CallerRequest, service: Service) -> Wanted | NotRun:
        """Return a request as routing sees it, and count it as traffic."""
        accepted = self.router.board.profiles.accepted
        group = accepted.profiles.group_of(service) if accepted else None
        if group is None:
            return NotRun(Reason.NO_SERVER)
        self.router.retries.request()
        return Wanted(
            group=GroupName(group),
            workspace=request.workspace,
            fingerprint=request.fingerprint,
            priority=request.priority,
            prefix=prefix_of(request.workspace, request.body),
            size_bytes=len(request.body),
        )

    def may_retry(self) -> bool:
        """Return whether the budget allows one more retry, and pay for it."""
        allowed = self.router.retries.retry()
        self.retries.add(1, {"allowed": allowed})
        return allowed

    def choose(
        self, wanted: Wanted, run_id: RunId, passed_over: Collection[VmId]
    ) -> Choice | NotRun:
        """Return where a run goes, or why it goes nowhere."""
        choice = self.router.choose(wanted, passed_over, clock.now())
        if isinstance(choice, NotRun):
            self.refusals.add(1, {"reason": choice.reason})
            log_decision(
                "route", run_id, "nowhere", choice.reason, workspace=wanted.workspace
            )
            return choice
        self.choices.add(1, {"reason": choice.reason})
        log_decision(
            "route",
            run_id,
            choice.server.vm.vm_id,
            choice.reason,
            candidates=choice.candidates,
            workspace=wanted.workspace,
        )
        self.router.started(wanted, choice.server)
        return choice

    def ended(self, wanted: Wanted, server: Server, ending: Ending | None) -> None:
        """Take in how a run ended."""
        now = clock.now()
        if self.router.ended(wanted, server, ending, now):
            log_decision(
                "eject",
                server.vm.vm_id,
                f"{server.ejected_until - now:.0f} s",
                "failures in a row",
            )
