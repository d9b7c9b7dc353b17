"""Fills in the settings template of the deploy file, as the platform does."""

from __future__ import annotations

import json
import re
from typing import Any

TAG = re.compile(r"\{\{([#^/]?)([^{}|]+)(\|json)?\}\}")


def render(template: str, fields: dict[str, Any]) -> str:
    """Return a template with its placeholders and sections filled in."""
    text, rest = render_until(template, [fields], "")
    assert not rest
    return text


def render_until(text: str, scopes: list[Any], end: str) -> tuple[str, str]:
    """Render up to the end tag of a section; return the result and what follows."""
    parts: list[str] = []
    while match := TAG.search(text):
        parts.append(text[: match.start()])
        text = text[match.end() :]
        kind, name, is_json = match[1], match[2].strip(), match[3]
        if kind == "/":
            assert name == end, f"section {end} ends with {name}"
            return "".join(parts), text
        value = find(name, scopes)
        if kind == "":
            parts.append(json.dumps(value) if is_json else to_text(value))
            continue
        inner, text = render_section(text, name, value, scopes, kind == "^")
        parts.append(inner)
    return "".join([*parts, text]), ""


def render_section(
    text: str, name: str, value: Any, scopes: list[Any], inverted: bool
) -> tuple[str, str]:
    """Render one section; return the result and the text after its end."""
    shown = (not value) if inverted else value not in (None, False)
    inner, rest = render_until(text, [*scopes, value], name)
    return (inner if shown else ""), rest


def find(name: str, scopes: list[Any]) -> Any:
    """Return the value of a dotted name, searched from the innermost scope."""
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
        if value is not None:
            return value
    return None


def to_text(value: Any) -> str:
    """Return a value as the platform writes it without ``|json``."""
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(map(str, value))
    if isinstance(value, (dict, bool)):
        return json.dumps(value)
    return str(value)
