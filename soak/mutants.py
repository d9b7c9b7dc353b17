"""
Faulty variants that the soak must detect: python -m soak.mutants NAME ROLE ...

Each mutant replaces one decision with a wrong one, only in the process that runs it. An
empty name stands for the sound program. Entries get the hooks for faults.
"""

from __future__ import annotations

import os
import runpy
import signal
import sys
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from .entry_hooks import install_hooks

if TYPE_CHECKING:
    from primroselever_agent.direct.filling import FillingController
    from primroselever_core.filling.loads import LoadOrder
    from primroselever_core.filling.pieces import Staging
    from primroselever_node.direct.responses import ResponseHead

ROOT = Path(__file__).resolve().parent.parent
MAX_PAUSE_S = 0.4  # of a stream, in the mutant that ends it


def retry_after_send() -> None:
    """Resend a request after its connection failed, even if it must not run twice."""
    from primroselever_entry.direct.flow import DirectFlow

    def retry_refusal_reason(self: Any, state: Any, attempt: Any) -> str | None:
        return None if len(state.attempts) < 2 else attempt.reason

    DirectFlow.retry_refusal_reason = retry_refusal_reason  # type: ignore[method-assign]


def configuration_back() -> None:
    """Apply every received configuration, including older ones."""
    from primroselever_core.catalogue.catalogue import Catalogue

    configure = Catalogue.configure

    def configure_any(self: Any, configuration: Any, now: float) -> bool:
        self.configuration = None
        return configure(self, configuration, now)

    Catalogue.configure = configure_any  # type: ignore[method-assign]


def rotten_piece() -> None:
    """Accept any bytes as a piece of weights."""
    from primroselever_core.filling.pieces import PieceDigests

    PieceDigests.matches = lambda self, index, data: True  # type: ignore[method-assign]


def cut_at_stop() -> None:
    """Exit immediately on shutdown instead of finishing open requests."""
    from primroselever_entry.direct.process import DirectEntryProcess

    def shut_down(self: Any) -> bool:
        os._exit(0)

    DirectEntryProcess.shut_down = shut_down  # type: ignore[method-assign]


def drop_header(name: bytes) -> None:
    """Remove a header from all answers that the program receives."""
    from primroselever_node.direct.exchange import HttpConnection

    read_head = HttpConnection.read_head

    def read_head_without(self: Any, *args: Any) -> ResponseHead:
        head = read_head(self, *args)
        headers = [(key, value) for key, value in head.headers if key != name]
        return replace(head, headers=headers)

    HttpConnection.read_head = read_head_without  # type: ignore[assignment,method-assign]


def era_ignored() -> None:
    """Order all revisions of the store as if it had never been restored."""
    drop_header(b"store-era")


def leaving_ignored() -> None:
    """Ignore the announcements of back ends that leave."""
    drop_header(b"server-leaving")


def retry_after_ignored() -> None:
    """Ignore until when a back end refuses requests."""
    drop_header(b"retry-after")


def silence_ends_stream() -> None:
    """End a stream when its back end is silent for a moment."""
    from primroselever_entry.direct.attempt import Attempt, AttemptEnd
    from primroselever_entry.direct.sending import AttemptSender
    from primroselever_node import clock

    def body_deadline(self: Any, streaming: bool) -> float:
        deadline: float = self.state.deadline
        return min(deadline, clock.now() + MAX_PAUSE_S) if streaming else deadline

    handle_silence_as_usual = AttemptSender.handle_silence

    def handle_silence(self: Any, exc: Any) -> Attempt:
        if self.state.first_event_at is None:
            return handle_silence_as_usual(self, exc)
        return Attempt(AttemptEnd.OUT_OF_TIME, reason=str(exc))

    AttemptSender.body_deadline = body_deadline  # type: ignore[method-assign]
    AttemptSender.handle_silence = handle_silence  # type: ignore[method-assign]


def orderly_end_completes() -> None:
    """Take the end of a connection for that of its stream, wherever it is."""
    from primroselever_entry.direct import response_body

    @response_body.check_end.register(response_body.StreamBody)
    def _(body: response_body.StreamBody, head: Any) -> None:
        return


def limit_ignored() -> None:
    """Ignore the rate limits that back ends name."""
    drop_header(b"server-limit")


def limit_per_entry() -> None:
    """Use the whole limit of a back end in each entry."""
    from primroselever_node.direct.limit_news import LimitNews

    LimitNews.receive = lambda self, news, host: None  # type: ignore[method-assign]


def buffers_unbounded() -> None:
    """Keep any number of bytes of an event."""
    from primroselever_core.dispatch.buffers import BufferLimits
    from primroselever_entry.direct import process

    flow_limits = process.flow_limits

    def unbounded_flow_limits(settings: Any) -> Any:
        return replace(
            flow_limits(settings), buffers=BufferLimits(1 << 40, 1 << 40, 1 << 40)
        )

    process.flow_limits = unbounded_flow_limits


def ignores_evacuations() -> None:
    """Send requests to evacuated failure domains."""
    from primroselever_core.dispatch.placement import Placement

    Placement.admits = Placement.is_home  # type: ignore[method-assign]


def ignores_homes() -> None:
    """Send requests to failure domains in all regions."""
    from primroselever_core.dispatch.placement import Placement

    Placement.is_home = lambda self, failure_domain: True  # type: ignore[method-assign]


def ignores_cold_servers() -> None:
    """Send a cold server as many requests as others."""
    from primroselever_core.dispatch.cold_pace import ColdState

    ColdState.admits = lambda self, now: True  # type: ignore[method-assign]


def ignores_priorities() -> None:
    """Treat all requests as equally urgent."""
    from primroselever_entry.direct.admission import AdmissionPolicy

    AdmissionPolicy.differs = lambda self, service: False  # type: ignore[method-assign]


def replace_method(owner: type, name: str, method: Any) -> None:
    """Replace a method that must exist; a mutant without an effect finds nothing."""
    getattr(owner, name)
    setattr(owner, name, method)


def trust_unread(controller: FillingController, order: LoadOrder, _: Staging) -> None:
    """Trust a load as soon as its order was accepted."""
    controller.loads.trusted = order.load


def load_unproven() -> None:
    """Trust a load without reading the staged pieces after its order was accepted."""
    from primroselever_agent.direct.filling import FillingController

    replace_method(FillingController, "prove_load", trust_unread)


def load_unchecked() -> None:
    """Order a load and trust it without reading the staged pieces at all."""
    from primroselever_agent.direct.filling import FillingController

    replace_method(
        FillingController, "verify_before_order", lambda self, wanted, staging: None
    )
    load_unproven()


def stage_over_order() -> None:
    """Stage the next version although an order may still be accepted."""
    from primroselever_agent.direct.filling import FillingController

    replace_method(FillingController, "waits_for_order", lambda self, wanted: False)


def lapse_not_sent() -> None:
    """Send engines the caller's time limit, which may be after the weights lapse."""
    from primroselever_entry.direct.weight_bounds import AttemptBounds

    replace_method(AttemptBounds, "engine_deadline", lambda self: self.state.deadline)


def engine_not_closed() -> None:
    """Leave an engine open when its weights lapse."""
    from primroselever_agent.direct.lapsing import LapseController

    replace_method(LapseController, "check", lambda self: None)


MUTANTS = {
    "retry-after-send": retry_after_send,
    "configuration-back": configuration_back,
    "rotten-piece": rotten_piece,
    "cut-at-stop": cut_at_stop,
    "era-ignored": era_ignored,
    "leaving-ignored": leaving_ignored,
    "retry-after-ignored": retry_after_ignored,
    "silence-ends-stream": silence_ends_stream,
    "orderly-end-completes": orderly_end_completes,
    "buffers-unbounded": buffers_unbounded,
    "limit-ignored": limit_ignored,
    "limit-per-entry": limit_per_entry,
    "ignores-evacuations": ignores_evacuations,
    "ignores-homes": ignores_homes,
    "ignores-cold-servers": ignores_cold_servers,
    "ignores-priorities": ignores_priorities,
    "load-unproven": load_unproven,
    "load-unchecked": load_unchecked,
    "stage-over-order": stage_over_order,
    "lapse-not-sent": lapse_not_sent,
    "engine-not-closed": engine_not_closed,
}


def main() -> None:
    """Apply the mutant, then run the script of the program."""
    # As the scripts of the programs do: reloading is possible later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    name, role = sys.argv[1:3]
    program = ROOT / "platform" / f"{role}.py"
    sys.argv = [str(program), *sys.argv[3:]]
    # As in the script, the standard library is patched before other imports.
    import eventlet

    eventlet.monkey_patch()
    if role == "entry":
        install_hooks()
    if name:
        MUTANTS[name]()
    runpy.run_path(str(program), run_name="__main__")


if __name__ == "__main__":
    main()
