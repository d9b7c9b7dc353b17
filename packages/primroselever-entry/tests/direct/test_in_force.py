"""What the admin port of a running entry serves of the configuration in force."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from primroselever_core.catalogue.model import CallerLimits, Configuration, Workspace
from primroselever_core.configuration_check.finding import redact_keys
from primroselever_entry.direct.in_force import parse_in_force
from primroselever_entry.direct.process import DirectEntryProcess
from primroselever_entry.direct.settings import DirectEntrySettings
from primroselever_node.console.admin_client import fetch_json
from primroselever_node.exceptions import AdminError

from .conftest import NAMES
from .test_process import SETTINGS

LOCAL = {"host": "127.0.0.1", "admin_port": 0, "regions": {"a": "north"}}
LISTENERS = dict.fromkeys(("callers", "readiness", "control"), "127.0.0.1:0")


# Guards against an admin port without the page, and against keys in clear on it.
def test_a_running_entry_serves_its_configuration_without_keys():
    settings = DirectEntrySettings.model_validate(SETTINGS | LISTENERS | LOCAL)
    # Any free port, since two test runs on one machine must not meet.
    settings = settings.model_copy(update={"news_port": 0})
    process = DirectEntryProcess(settings, SimpleNamespace(), SimpleNamespace(), NAMES)
    configuration = Configuration(
        7, (), (), CallerLimits(1, 2, 3.0, 4.0), (Workspace("t", ("open-sesame",)),)
    )
    process.board.catalogue.configure(configuration, 0.0)
    process.admin.start()
    try:
        served = fetch_json(("127.0.0.1", process.admin.port), "/configuration", {})
    finally:
        process.admin.stop()
    assert "open-sesame" not in str(served)
    running = parse_in_force(served)
    assert running.configuration == redact_keys(configuration)
    assert running.regions == {"a": "north"}


def test_another_answer_is_an_error_of_the_admin_port():
    with pytest.raises(AdminError, match="cannot be read"):
        parse_in_force({"configuration": 7})
