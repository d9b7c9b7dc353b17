"""Reloading a changed settings file, with and without SIGHUP."""

from __future__ import annotations

import os
import signal

import eventlet
import pytest

from primroselever_node.direct import reload as reload_module
from primroselever_node.direct.reload import SettingsReloader
from primroselever_node.settings.load import load_settings
from primroselever_node.settings.model import ProcessSettings

SETTINGS = '{"vm_id": "v", "failure_domain": "a", "region": "r", "log_level": "%s"}'


@pytest.fixture
def reloader(tmp_path, monkeypatch):
    monkeypatch.setattr(reload_module, "CHECK_INTERVAL_S", 3600.0)
    path = tmp_path / "settings.jsonc"
    path.write_text(SETTINGS % "INFO")
    applied = []
    previous_handler = signal.getsignal(signal.SIGHUP)
    settings_reloader = SettingsReloader(
        path, load_settings(path, ProcessSettings), applied.append
    )
    settings_reloader.applied = applied
    yield settings_reloader
    signal.signal(signal.SIGHUP, previous_handler)


def send_sighup() -> None:
    os.kill(os.getpid(), signal.SIGHUP)
    eventlet.sleep(0.02)


def test_sighup_with_unchanged_settings_applies_nothing(reloader):
    reloader.start()
    send_sighup()
    assert reloader.applied == []


def test_new_settings_are_applied(reloader):
    reloader.start()
    reloader.path.write_text(SETTINGS % "DEBUG")
    send_sighup()
    assert [settings.log_level for settings in reloader.applied] == ["DEBUG"]


def test_a_change_without_a_signal_is_applied(reloader, monkeypatch):
    monkeypatch.setattr(reload_module, "CHECK_INTERVAL_S", 0.005)
    reloader.start()
    reloader.path.write_text(SETTINGS % "DEBUG")
    with eventlet.Timeout(1):
        while not reloader.applied:
            eventlet.sleep(0.005)


def test_an_invalid_file_changes_nothing(reloader):
    reloader.start()
    reloader.path.write_text("{")
    send_sighup()
    assert reloader.applied == []


def test_changes_are_applied_after_settings_that_could_not_be_applied(
    reloader, monkeypatch, caplog
):
    """
    The file is checked in one greenlet, which no error may end.

    Settings that were not applied are tried again, since the file may not change again.
    """
    monkeypatch.setattr(reload_module, "CHECK_INTERVAL_S", 0.005)
    failures = [ValueError("no such domain"), ValueError("no such domain")]

    def fail_then_apply(settings):
        if failures:
            raise failures.pop()
        reloader.applied.append(settings)

    reloader.apply = fail_then_apply
    reloader.start()
    reloader.path.write_text(SETTINGS % "DEBUG")
    with eventlet.Timeout(1):
        while not reloader.applied:
            eventlet.sleep(0.005)

    assert [settings.log_level for settings in reloader.applied] == ["DEBUG"]
    assert "no such domain" in caplog.text
