"""Conversion of the validation errors of pydantic models to findings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .findings import Finding

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from pydantic import ValidationError


def findings_of(error: ValidationError, place: str) -> Iterator[Finding]:
    """Yield a finding for each validation error of pydantic."""
    for item in error.errors():
        yield Finding(
            f"{place}: {format_location(item['loc'])}",
            item["msg"],
            "see docs/operators.md for the fields and their values",
        )


def format_location(location: Iterable[int | str]) -> str:
    """Return a location as a path such as ``profiles[0].version``."""
    path = ""
    for part in location:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.lstrip(".") or "(whole file)"
