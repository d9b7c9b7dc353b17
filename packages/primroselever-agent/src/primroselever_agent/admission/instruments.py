"""Metrics of an agent's admission."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry import metrics

from primroselever_node.metrics import register_gauge

if TYPE_CHECKING:
    from primroselever_core.admission.admission import Admission
    from primroselever_core.suspects.section import SuspectsSection


class AdmissionInstruments:
    """Counts decisions and crashes; create it after installing a meter provider."""

    def __init__(self, admission: Admission, suspects: SuspectsSection) -> None:
        meter = metrics.get_meter("primroselever.admission")
        self.decisions = meter.create_counter(
            "primroselever.admission.decisions",
            unit="{run}",
            description="Runs started, queued and refused, by reason",
        )
        self.crashes = meter.create_counter(
            "primroselever.admission.engine_crashes",
            unit="{crash}",
            description="Crashes of the engine with runs in flight",
        )
        for name, unit, description, read_value in (
            ("limit", "{run}", "Runs that may be in flight", admission.limit.current),
            ("waiting", "{run}", "Runs that wait", lambda: len(admission.waiting)),
            ("in_flight", "{run}", "Runs started", lambda: len(admission.in_flight)),
            ("service", "s", "Average run", lambda: admission.mean_service_s),
            ("suspects", "{request}", "Suspects", lambda: len(suspects.records)),
        ):
            register_gauge(
                meter, f"primroselever.admission.{name}", unit, description, read_value
            )
