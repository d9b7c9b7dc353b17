"""OpenTelemetry metrics, exported on the admin port in the Prometheus format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry import metrics
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

from .status import age_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from opentelemetry.metrics import CallbackOptions, Meter

    from primroselever_core.board import Blackboard

    ReadValue = Callable[[], float | None]


def set_up_metrics(binary: str, vm_id: str) -> None:
    """Install the meter provider; call this once, before creating instruments."""
    resource = Resource.create({"service.name": binary, "service.instance.id": vm_id})
    provider = MeterProvider(
        metric_readers=[PrometheusMetricReader()], resource=resource
    )
    metrics.set_meter_provider(provider)


def exposition() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)


def register_gauge(
    meter: Meter, name: str, unit: str, description: str, read_value: ReadValue
) -> None:
    """
    Register a gauge that calls ``read_value`` whenever metrics are collected.

    If it returns None, the gauge has no data point. An age is None as long as
    nothing has been received.
    """

    def observe(_options: CallbackOptions) -> list[Observation]:
        value = read_value()
        return [] if value is None else [Observation(value)]

    meter.create_observable_gauge(name, [observe], unit, description)


def observe_board(board: Blackboard, meter: Meter) -> None:
    """Register the gauges that both binaries have on the state of the blackboard."""
    profiles, members = board.profiles, board.members
    register_gauge(
        meter,
        "primroselever.profiles.revision",
        "{revision}",
        "The revision in force",
        lambda: profiles.revision.number,
    )
    register_gauge(
        meter,
        "primroselever.profiles.refused_revision",
        "{revision}",
        "The highest revision that was refused as invalid",
        lambda: profiles.refused_revision.number,
    )
    register_gauge(
        meter,
        "primroselever.profiles.age",
        "s",
        "Since the revision in force was accepted",
        lambda: age_s(profiles.accepted_at),
    )
    register_gauge(
        meter,
        "primroselever.vm_list.age",
        "s",
        "Since the VM list was last heard",
        lambda: age_s(members.listed_at),
    )
    register_gauge(
        meter,
        "primroselever.vm_list.vms",
        "{vm}",
        "VMs that are known",
        lambda: len(members.vms),
    )
    register_gauge(
        meter,
        "primroselever.leaving",
        "1",
        "1 while the process takes no new work, else 0",
        lambda: int(board.leaving),
    )
