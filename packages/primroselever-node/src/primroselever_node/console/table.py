"""Formatting JSON values as tables for the terminal."""

from __future__ import annotations

from typing import Any


def flatten(value: Any, path: str = "") -> list[tuple[str, str]]:
    """
    Return the leaves of a nested value with their paths, in order.

        >>> flatten({"profiles": {"revision": 3, "age_s": 1.26}, "groups": []})
        [('profiles.revision', '3'), ('profiles.age_s', '1.3'), ('groups', '-')]
    """
    if isinstance(value, dict) and value:
        leaves = []
        for key, inner in value.items():
            leaves += flatten(inner, f"{path}.{key}" if path else str(key))
        return leaves
    if isinstance(value, list) and value:
        leaves = []
        for index, inner in enumerate(value):
            leaves += flatten(inner, f"{path}[{index}]")
        return leaves
    return [(path, format_leaf(value))]


def format_leaf(value: Any) -> str:
    """Return a leaf as text; an empty value is shown as a dash."""
    if value is None or value == "" or value == [] or value == {}:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.1f}"
    return str(value)


def format_table(value: Any) -> str:
    """Return a value as a table of two columns, path and leaf."""
    rows = flatten(value)
    width = max((len(path) for path, _ in rows), default=0)
    return "\n".join(f"{path:<{width}}  {text}" for path, text in rows)
