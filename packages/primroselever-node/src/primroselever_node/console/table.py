"""Showing a mapping from JSON as a table that is easy to read."""

from __future__ import annotations

from typing import Any


def rows(value: Any, path: str = "") -> list[tuple[str, str]]:
    """
    Return the leaves of a value with their paths, in order.

        >>> rows({"profiles": {"revision": 3, "age_s": 1.26}, "groups": []})
        [('profiles.revision', '3'), ('profiles.age_s', '1.3'), ('groups', '-')]
    """
    if isinstance(value, dict) and value:
        found = []
        for key, inner in value.items():
            found += rows(inner, f"{path}.{key}" if path else str(key))
        return found
    if isinstance(value, list) and value:
        found = []
        for index, inner in enumerate(value):
            found += rows(inner, f"{path}[{index}]")
        return found
    return [(path, cell(value))]


def cell(value: Any) -> str:
    """Return a leaf as text; nothing at all is shown as a dash."""
    if value is None or value == "" or value == [] or value == {}:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.1f}"
    return str(value)


def render(value: Any) -> str:
    """Return a value as a table of two columns."""
    pairs = rows(value)
    width = max((len(path) for path, _ in pairs), default=0)
    return "\n".join(f"{path:<{width}}  {text}" for path, text in pairs)
