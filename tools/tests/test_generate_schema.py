"""The committed modules must agree with the thrift files."""

from __future__ import annotations

import importlib

import pytest
import thriftpy2

from tools.generate_schema import NODE, SCHEMAS

MODULES = {
    path: f"primroselever_node.{target.relative_to(NODE).with_suffix('')}".replace(
        "/", "."
    )
    for path, target in SCHEMAS.items()
}


def describe_type(value) -> object:
    """Return a part of a field, with structures by name."""
    if isinstance(value, tuple):
        return tuple(describe_type(part) for part in value)
    return value.__name__ if isinstance(value, type) else value


def describe_structure(structure) -> object:
    fields = {
        number: describe_type(field) for number, field in structure.thrift_spec.items()
    }
    return fields, structure.__init__.__defaults__


def describe_service(service) -> dict[str, object]:
    description: dict[str, object] = {}
    for call in service.thrift_services:
        result = getattr(service, f"{call}_result")
        arguments = getattr(service, f"{call}_args")
        description[call] = (
            describe_structure(arguments),
            describe_structure(result),
            result.oneway,
        )
    return description


@pytest.mark.parametrize("path", SCHEMAS, ids=lambda path: path.stem)
def test_committed_module_agrees_with_its_thrift_file(path):
    parsed = thriftpy2.load(str(path), module_name=f"{path.stem}_expected_thrift")
    module = importlib.import_module(MODULES[path])
    for structure in parsed.__thrift_meta__["structs"]:
        committed = getattr(module, structure.__name__)
        assert describe_structure(committed) == describe_structure(structure)
    for service in parsed.__thrift_meta__["services"]:
        committed = getattr(module, service.__name__)
        assert describe_service(committed) == describe_service(service)
