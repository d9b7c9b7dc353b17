"""The thrift calls that an agent answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.identifiers import (
    ChunkDigest,
    Fingerprint,
    Incarnation,
    RunId,
    ServiceName,
    VmId,
    WeightsDigest,
    WorkspaceName,
)
from primroselever_core.membership.contact import refuses_starts
from primroselever_core.outcomes import NotRun, Reason, Unknown
from primroselever_core.runs.answer_buffer import AnswerBuffer
from primroselever_core.runs.registry import Run, RunRegistry, RunState
from primroselever_core.runs.starting import StartState, resolve_run, start_run
from primroselever_node import clock
from primroselever_node.rpc.schema import schema
from primroselever_node.rpc.suspicions import merge_suspicions, most_severe_to_thrift

from ..transfer.serving import ChunkRequest
from .answers import new_slice

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard
    from primroselever_node.rpc.handler import NodeHandler

    from ..admission.controller import AdmissionController
    from ..settings import AgentSettings
    from ..transfer.serving import ChunkServing
    from .runner import Runner
    from .ticket_issuer import TicketIssuer

PAUSED_RETRY_S = 1.0
NO_WEIGHTS_RETRY_S = 1.0
LEAVING_RETRY_S = 0.1


class AgentHandler:
    """Answers the thrift calls of entries and other agents."""

    def __init__(
        self,
        board: Blackboard,
        registry: RunRegistry,
        runner: Runner,
        tickets: TicketIssuer,
        chunk_serving: ChunkServing,
        settings: AgentSettings,
        node_handler: NodeHandler,
        admission: AdmissionController,
    ) -> None:
        self.board = board
        self.node_handler = node_handler
        node_handler.load = self.load
        self.registry = registry
        self.runner = runner
        self.answers = runner.answers
        self.ticket_issuer = tickets
        self.chunk_serving = chunk_serving
        self.settings = settings
        self.admission_controller = admission
        self.needs_weights = settings.backend.kind == "engine"

    def load(self) -> Any:
        """Return this agent's load for a reply."""
        return schema.Load(
            in_flight=self.registry.in_flight(),
            queued=len(self.admission_controller.admission.waiting),
            limit=self.admission_controller.admission.limit.current(),
            engine_load=0.0,
            engine_age_ms=0,
        )

    def heartbeat(self, sender: Any) -> Any:
        """Process a peer's heartbeat and return this agent's own."""
        own_heartbeat = self.node_handler.heartbeat(sender)
        own_heartbeat.epoch = self.registry.book.newest_epoch
        return own_heartbeat

    def start(self, request: Any) -> Any:
        """Admit a run to start or wait; return that it is accepted, or why not."""

        def admit_run(run_id: RunId, epoch: int) -> Run | NotRun:
            refusal = self.check_start(request)
            if refusal is not None:
                return refusal
            run = self.new_run_record(request, run_id, epoch)
            refusal = self.admission_controller.offer(run, request.priority)
            if refusal is None:
                admitted_runs.append(run)
            return refusal or run

        merge_suspicions(self.board.suspects, request.suspicions)
        admitted_runs: list[Run] = []  # at most one
        start = self.ticket_issuer.read_start(request)
        run = start_run(
            start, self.ticket_issuer.book, self.registry, admit_run, clock.now()
        )
        if admitted_runs and run is not admitted_runs[0]:
            self.admission_controller.withdraw(admitted_runs[0])
        if not isinstance(run, Run):
            return self.refusal_reply(run)
        is_new = bool(admitted_runs) and run is admitted_runs[0]
        if request.reader:
            self.answers.follow_run(request.reader, run.run_id, 0, is_new=is_new)
        if is_new:
            self.admission_controller.begin(run, request.body, request.priority)
        return self.start_reply(StartState.ACCEPTED, run_id=run.run_id)

    def new_run_record(self, request: Any, run_id: RunId, epoch: int) -> Run:
        """Return the record of a new run."""
        transfers = self.board.transfers
        return Run(
            run_id=run_id,
            service=ServiceName(request.service_name),
            workspace=WorkspaceName(request.workspace),
            fingerprint=Fingerprint(request.fingerprint),
            idempotent=request.idempotent,
            deadline=clock.deadline_in(request.remaining_ms),
            answer=AnswerBuffer(self.settings.answer_limit_bytes),
            weights_digest=(transfers and transfers.serving) or "",
            epoch=epoch,
        )

    def check_start(self, request: Any) -> NotRun | None:
        """Return why the agent refuses a start now, or None."""
        if refuses_starts(self.board, clock.now()):
            return NotRun(Reason.PAUSED, PAUSED_RETRY_S)
        if self.board.leaving:
            return NotRun(Reason.LEAVING, LEAVING_RETRY_S)
        transfers = self.board.transfers
        if self.needs_weights and not (transfers and transfers.serving):
            return NotRun(Reason.NO_WEIGHTS, NO_WEIGHTS_RETRY_S)
        return None

    def refusal_reply(self, refusal: NotRun | Unknown) -> Any:
        """Return the reply to a start that was refused or whose end is unknown."""
        refused = isinstance(refusal, NotRun)
        state = StartState.REFUSED if refused else StartState.UNKNOWN
        return self.start_reply(state, refusal.reason, retry_delay_ms(refusal))

    def start_reply(
        self, state: str, reason: str = "", retry_after_ms: int = 0, run_id: str = ""
    ) -> Any:
        """Return a reply to a start, with this agent's load, epoch and suspicions."""
        return schema.StartReply(
            state=state,
            reason=reason,
            retry_after_ms=retry_after_ms,
            run_id=run_id,
            incarnation=self.board.identity.incarnation,
            load=self.load(),
            leaving=self.board.leaving,
            epoch=self.registry.book.newest_epoch,
            suspicions=most_severe_to_thrift(self.board.suspects),
        )

    def read(self, cursors: list[Any], wait_ms: int, reader: str, first: bool) -> Any:
        """Store a reader's cursors, then return its new slices or wait for them."""
        slices = self.answers.read_new_slices(cursors, wait_ms, reader, first)
        return schema.ReadReply(
            incarnation=self.board.identity.incarnation,
            slices=slices or [],
            load=self.load(),
            leaving=self.board.leaving,
            suspicions=most_severe_to_thrift(self.board.suspects),
            reader_lost=slices is None,
        )

    def resolve(self, run_id: str, incarnation: int, epoch: int) -> Any:
        """Return a run's state; a run that has not started yet never will."""
        resolved = resolve_run(
            RunId(run_id),
            Incarnation(incarnation),
            epoch,
            self.ticket_issuer.book,
            self.registry,
        )
        if isinstance(resolved, NotRun):
            return new_slice(run_id, RunState.NOT_RUN, resolved.reason)
        if isinstance(resolved, Unknown):
            return new_slice(run_id, RunState.MISSING, resolved.reason)
        return new_slice(run_id, resolved.state, resolved.reason)

    def cancel(self, run_id: str) -> None:
        """Cancel a run that waits or is in progress."""
        run = self.registry.runs.get(RunId(run_id))
        if run is not None and not self.admission_controller.cancel_waiting(run):
            self.runner.cancel(run)

    def issue_ticket(self, request: Any) -> Any:
        """Return a ticket for a non-idempotent request, or why none is issued."""
        if self.board.leaving:
            issued: str | NotRun = NotRun(Reason.LEAVING, LEAVING_RETRY_S)
        else:
            issued = self.ticket_issuer.issue(request)
        if isinstance(issued, str):
            return schema.TicketReply(ticket=issued, reason="", retry_after_ms=0)
        return schema.TicketReply(
            ticket="", reason=issued.reason, retry_after_ms=retry_delay_ms(issued)
        )

    def fetch_publication(
        self, name: str, known_revision: int, wait_ms: int, known_digest: str
    ) -> Any:
        """Return the profiles in force or the VM list if the caller's are older."""
        return self.node_handler.fetch_publication(
            name, known_revision, wait_ms, known_digest
        )

    def find_manifest(self, model: str, adapter: str, version: str) -> bytes:
        """Return the manifest that this agent wants for a version, or empty bytes."""
        return self.chunk_serving.find_manifest(model, adapter, version)

    def fetch_chunk(
        self,
        weights_digest: str,
        index: int,
        wait_ms: int,
        asker: str,
        hops: int,
        chunk_digest: str,
    ) -> Any:
        """Return a chunk, another holder to ask, or when to ask again."""
        chunk_request = ChunkRequest(
            weights_digest=WeightsDigest(weights_digest),
            index=index,
            wait_s=wait_ms / 1000,
            asker=VmId(asker or ""),
            hops=hops or 0,
            chunk_digest=ChunkDigest(chunk_digest or ""),
        )
        return self.chunk_serving.answer_request(chunk_request)


def retry_delay_ms(refusal: NotRun | Unknown) -> int:
    """Return after how many milliseconds a retry makes sense; 0 means never."""
    return int((refusal.retry_after_s or 0) * 1000)
