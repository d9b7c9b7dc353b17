from __future__ import annotations

import pytest

from primroselever_core.admission.admission import Admission
from primroselever_core.admission.fair_queue import WaitingRun
from primroselever_core.admission.limit import ConcurrencyLimit
from primroselever_core.identifiers import Fingerprint, RunId, WorkspaceName

BUSY, OTHER = WorkspaceName("busy"), WorkspaceName("other")


def new_waiting_run(number: int, workspace: WorkspaceName) -> WaitingRun:
    name = f"{number}"
    return WaitingRun(1, 60.0, number, RunId(name), workspace, Fingerprint(name))


def test_a_changed_weight_applies_to_a_workspace_that_is_never_idle() -> None:
    admission = Admission(ConcurrencyLimit(highest=1))
    for number, weight in enumerate((1.0, 1.0, 3.0)):
        admission.offer(new_waiting_run(number, BUSY), weight, False, 0.0)
    admission.offer(new_waiting_run(3, OTHER), 1.0, False, 0.0)
    assert admission.queue.share(OTHER, 1.0) == pytest.approx(1 / 4)
    for run in list(admission.waiting.values()):
        admission.record_end(run.run_id, False, 1.0)
    admission.record_end(RunId("0"), True, 1.0)
    assert admission.queue.active_weight == pytest.approx(0.0)
