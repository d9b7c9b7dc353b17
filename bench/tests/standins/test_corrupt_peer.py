from __future__ import annotations

import inspect

import pytest

from bench.standins.corrupt_peer import CorruptPeer
from primroselever_node.rpc.schema import schema

CALLS = [name for name in schema.Agent.thrift_services if hasattr(CorruptPeer, name)]


@pytest.mark.parametrize("call", CALLS)
def test_the_peer_accepts_the_arguments_of_the_call(call: str) -> None:
    arguments = getattr(schema.Agent, f"{call}_args").thrift_spec

    inspect.signature(getattr(CorruptPeer, call)).bind("peer", *arguments)
