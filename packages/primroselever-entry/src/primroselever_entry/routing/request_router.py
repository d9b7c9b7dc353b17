"""Routing of requests: asks the core for decisions, logs and counts them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry import metrics
from opentelemetry.metrics import CallbackOptions, Observation

from primroselever_core.identifiers import GroupName
from primroselever_core.outcomes import Ending, NotRun, Reason
from primroselever_core.routing.router import Router, RoutingRequest, prefix_of
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
    """Chooses servers for requests; one instance handles all requests."""

    def __init__(self, router: Router) -> None:
        self.router = router
        meter = metrics.get_meter("primroselever.routing")
        self.choice_counter = meter.create_counter(
            "primroselever.routing.choices",
            unit="{request}",
            description="Servers chosen, by reason",
        )
        self.refusal_counter = meter.create_counter(
            "primroselever.routing.refusals",
            unit="{request}",
            description="Requests that were sent nowhere, by reason",
        )
        self.retry_counter = meter.create_counter(
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
        return [Observation(self.router.count_ejected(clock.now()))]

    def register_request(
        self, request: CallerRequest, service: Service
    ) -> RoutingRequest | NotRun:
        """
        Credit the retry budget for a request and return its routing input.

        Return ``NotRun`` if the service belongs to no group.
        """
        accepted = self.router.board.profiles.accepted
        group = accepted.profiles.group_of(service) if accepted else None
        if group is None:
            return NotRun(Reason.NO_SERVER)
        self.router.retries.credit_request()
        return RoutingRequest(
            group=GroupName(group),
            workspace=request.workspace,
            fingerprint=request.fingerprint,
            priority=request.priority,
            prefix=prefix_of(request.workspace, request.body),
            size_bytes=len(request.body),
        )

    def spend_retry(self) -> bool:
        """Take one retry from the retry budget; return whether it had one."""
        allowed = self.router.retries.spend_retry()
        self.retry_counter.add(1, {"allowed": allowed})
        return allowed

    def choose_server(
        self, routing_request: RoutingRequest, run_id: RunId, excluded: Collection[VmId]
    ) -> Choice | NotRun:
        """
        Return the server chosen for a run, or why there is none.

        ``excluded`` holds the VMs that were tried before. A chosen server's runs in
        flight are counted from here on, so ``record_ending`` must follow.
        """
        choice = self.router.choose_for_request(routing_request, excluded, clock.now())
        if isinstance(choice, NotRun):
            self.refusal_counter.add(1, {"reason": choice.reason})
            log_decision(
                "route",
                run_id,
                "no server",
                choice.reason,
                workspace=routing_request.workspace,
            )
            return choice
        self.choice_counter.add(1, {"reason": choice.reason})
        log_decision(
            "route",
            run_id,
            choice.server.vm.vm_id,
            choice.reason,
            candidates=choice.candidates,
            workspace=routing_request.workspace,
        )
        self.router.record_start(routing_request, choice.server)
        return choice

    def record_ending(
        self, routing_request: RoutingRequest, server: Server, ending: Ending | None
    ) -> None:
        """
        Record how a run ended, and log if its server was ejected for it.

        ``ending`` is None if the caller left before the run ended.
        """
        now = clock.now()
        if self.router.record_end(routing_request, server, ending, now):
            log_decision(
                "eject",
                server.vm.vm_id,
                f"{server.ejected_until - now:.0f} s",
                "consecutive failures",
            )
