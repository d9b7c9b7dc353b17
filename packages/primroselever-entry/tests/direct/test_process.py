"""What a reload of the settings changes in a running entry."""

from __future__ import annotations

from types import SimpleNamespace

from primroselever_entry.direct.process import DirectEntryProcess
from primroselever_entry.direct.settings import DirectEntrySettings
from primroselever_entry.direct.start_watch import StartWatch

SETTINGS = {
    "vm_id": "e-1",
    "failure_domain": "a",
    "region": "north",
    "host": "10.0.0.1",
    "news_port": 7700,
    "admin_port": 7715,
    "seeds": ["10.0.0.1:8000"],
    "store": "10.0.0.9:8007",
    "weights_within_s": 8.0,
    "shutdown_s": 8.0,
    "callers": "10.0.0.1:8005",
    "readiness": "10.0.0.1:8002",
    "control": "10.0.0.1:8000",
    "retry_ratio": 0.2,
    "retry_slack": 10,
    "retry_window_s": 10,
    "contact_s": 3,
}


# Guards against homes that are decided by the regions of the settings at the start.
def test_reload_applies_the_regions_of_failure_domains(entry):
    settings = DirectEntrySettings.model_validate(SETTINGS)
    process = SimpleNamespace(
        settings=settings,
        board=entry.board,
        flow=entry.flow,
        caller_server=entry.server,
        start_watch=StartWatch(entry.board),
    )
    assert settings.regions == {}
    changed = settings.model_copy(update={"regions": {"a": "north"}})
    DirectEntryProcess.reload(process, changed)
    assert entry.flow.limits.regions == {"a": "north"}


# Guards against a bound on old weights that ignores a reloaded contact time.
def test_reload_applies_the_contact_time(entry):
    settings = DirectEntrySettings.model_validate(SETTINGS)
    process = SimpleNamespace(
        settings=settings,
        board=entry.board,
        flow=entry.flow,
        caller_server=entry.server,
        start_watch=StartWatch(entry.board),
    )
    for contact_s, unproven_s in ((3.5, 4.5), (2.5, 5.5)):
        changed = settings.model_copy(update={"contact_s": contact_s})
        DirectEntryProcess.reload(process, changed)
        assert entry.board.catalogue.unproven_s == unproven_s


# Guards against a setting that takes effect only after a restart, or without being set.
def test_reload_turns_the_measured_pace_on_and_off(entry):
    settings = DirectEntrySettings.model_validate(SETTINGS)
    process = SimpleNamespace(
        settings=settings,
        board=entry.board,
        flow=entry.flow,
        caller_server=entry.server,
        start_watch=StartWatch(entry.board),
    )
    process.start_watch.apply_settings(settings)
    assert not entry.board.backends.measured_pace
    changed = settings.model_copy(update={"measured_pace": True})
    DirectEntryProcess.reload(process, changed)
    assert entry.board.backends.measured_pace
    DirectEntryProcess.reload(process, settings)
    assert not entry.board.backends.measured_pace
