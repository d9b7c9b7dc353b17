"""
Reading of datagrams, which may come from other programs or be damaged.

The decoder of thrift skips as many items as an unknown list names, whether or not there
are bytes for them, and returns a text that is not UTF-8 as bytes. So the bytes are
checked before it, and the values after it.
"""

from __future__ import annotations

import math
from typing import Any

from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.thrift import TType
from thriftpy2.utils import deserialize

from .schema import schema

MAX_DEPTH = 8  # the structures have 5 levels
FIXED_SIZES = {
    TType.BOOL: 1,
    TType.BYTE: 1,
    TType.DOUBLE: 8,
    TType.I16: 2,
    TType.I32: 4,
    TType.I64: 8,
}
# The fields without which a structure says nothing that can be used.
REQUIRED_FIELDS = {
    "EntryNews": (
        "host",
        "failure_domain",
        "incarnation",
        "configuration_revision",
        "store_revision",
        "store_age_ms",
    ),
    "EngineNews": (
        "address",
        "born_ms",
        "model",
        "version",
        "running",
        "waiting",
        "pace",
        "closes_in_ms",
    ),
    "FillingAdvice": ("host",),
    "Sent": ("address", "prompt_tokens"),
    "Suspicion": ("fingerprint", "remaining_ms"),
}

PROTOCOL = TBinaryProtocolFactory()


def read_datagram(data: bytes) -> Any:
    """
    Return a datagram with those of its values that can be used.

    Raise ``ValueError`` for bytes that are no datagram.
    """
    try:
        check_struct(data, 0, MAX_DEPTH)
    except IndexError as exc:
        raise ValueError("the datagram is cut off") from exc
    datagram = deserialize(schema.Datagram(), data, PROTOCOL)
    was_empty = is_empty(datagram)
    keep_usable(datagram)
    if is_empty(datagram) and not was_empty:
        raise ValueError("the datagram lacks a usable value of a required field")
    return datagram


def is_empty(datagram: Any) -> bool:
    """Return whether a datagram has no structure that this release knows."""
    return all(value is None for value in vars(datagram).values())


def check_struct(data: bytes, at: int, depth: int) -> int:
    """Return where a structure ends; raise an error if it has no such form."""
    while (kind := data[at]) != TType.STOP:
        at += 3  # the kind and number of the field
        fixed = FIXED_SIZES.get(kind)
        at = check_value(data, at, kind, depth - 1) if fixed is None else at + fixed
    return at + 1


def check_value(data: bytes, at: int, kind: int, depth: int) -> int:
    """Return where a value ends; raise an error if it has no form of its kind."""
    if depth < 0:
        raise ValueError("the datagram is nested too deeply")
    if kind == TType.STRING:
        end = at + 4 + read_size(data, at)
    elif kind in FIXED_SIZES:
        end = at + FIXED_SIZES[kind]
    elif kind == TType.STRUCT:
        end = check_struct(data, at, depth)
    elif kind in (TType.LIST, TType.SET):
        end = check_items(data, at + 1, (data[at],), depth - 1)
    elif kind == TType.MAP:
        end = check_items(data, at + 2, (data[at], data[at + 1]), depth - 1)
    else:
        raise ValueError(f"the datagram has a value of the unknown kind {kind}")
    if end > len(data):
        raise ValueError("the datagram is cut off")
    return end


def check_items(data: bytes, at: int, kinds: tuple[int, ...], depth: int) -> int:
    """Return where the items of a list or map end, which follow their number."""
    count = read_size(data, at)
    at += 4
    if all(kind in FIXED_SIZES for kind in kinds):
        return at + count * sum(FIXED_SIZES[kind] for kind in kinds)
    for _ in range(count):
        for kind in kinds:
            at = check_value(data, at, kind, depth)
    return at


def read_size(data: bytes, at: int) -> int:
    """Return a size, which is not above that of the whole datagram."""
    size = int.from_bytes(data[at : at + 4], "big")  # a negative one is too large
    if size > len(data):
        raise ValueError("the datagram is cut off")
    return size


def keep_usable(structure: Any) -> bool:
    """Unset the unusable fields of a structure; return whether it can be used."""
    for kind, name, *rest in structure.thrift_spec.values():
        if kind in FIXED_SIZES and kind != TType.DOUBLE:
            continue
        value = getattr(structure, name)
        if value is not None:
            # The last element tells whether the field is required, which none is.
            spec = rest[0] if len(rest) > 1 else None
            setattr(structure, name, select_usable(value, kind, spec))
    required = REQUIRED_FIELDS.get(type(structure).__name__, ())
    return all(getattr(structure, name) is not None for name in required)


def select_usable(value: Any, kind: int, spec: Any) -> Any:
    """Return a value without its unusable items, None if it is unusable itself."""
    if kind == TType.STRING:
        return value if isinstance(value, str) else None
    if kind == TType.DOUBLE:
        return value if math.isfinite(value) else None
    if kind == TType.STRUCT:
        return value if keep_usable(value) else None
    if kind == TType.LIST:
        items = (select_usable(item, *split_spec(spec)) for item in value)
        return [item for item in items if item is not None]
    if kind == TType.MAP:
        key_spec, item_spec = map(split_spec, spec)
        pairs = (
            (select_usable(key, *key_spec), select_usable(item, *item_spec))
            for key, item in value.items()
        )
        return {key: item for key, item in pairs if None not in (key, item)}
    return value


def split_spec(spec: Any) -> tuple[int, Any]:
    """Return the kind of an item, and what is known of its own items."""
    return (spec, None) if isinstance(spec, int) else spec
