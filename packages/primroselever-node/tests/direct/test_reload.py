"""A settings file that changes, with and without a signal."""

from __future__ import annotations

import os
import signal

import eventlet
import pytest

from primroselever_node.direct import reload as module
from primroselever_node.direct.reload import SettingsReloader
from primroselever_node.settings.load import load_settings
from primroselever_node.settings.model import ProcessSettings

TEXT = '{"vm_id": "v", "failure_domain": "a", "region": "r", "log_level": "%s"}'


@pytest.fixture
def reloader(tmp_path, monkeypatch):
    monkeypatch.setattr(module, "CHECK_INTERVAL_S", 3600.0)
    path = tmp_path / "settings.jsonc"
    path.write_text(TEXT % "INFO")
    applied = []
    before = signal.getsignal(signal.SIGHUP)
    found = SettingsReloader(path, load_settings(path, ProcessSettings), applied.append)
    found.applied = applied
    yield found
    signal.signal(signal.SIGHUP, before)


def hang_up() -> None:
    os.kill(os.getpid(), signal.SIGHUP)
    eventlet.sleep(0.02)


def test_a_signal_ends_nothing_and_unchanged_settings_change_nothing(reloader):
    reloader.start()
    hang_up()
    assert reloader.applied == []


def test_new_settings_are_applied(reloader):
    reloader.start()
    reloader.path.write_text(TEXT % "DEBUG")
    hang_up()
    assert [settings.log_level for settings in reloader.applied] == ["DEBUG"]


def test_a_change_without_a_signal_is_noticed(reloader, monkeypatch):
    monkeypatch.setattr(module, "CHECK_INTERVAL_S", 0.005)
    reloader.start()
    reloader.path.write_text(TEXT % "DEBUG")
    with eventlet.Timeout(1):
        while not reloader.applied:
            eventlet.sleep(0.005)


def test_a_file_with_findings_changes_nothing(reloader):
    reloader.start()
    reloader.path.write_text("{")
    hang_up()
    assert reloader.applied == []
