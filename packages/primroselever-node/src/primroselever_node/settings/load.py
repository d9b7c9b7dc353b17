"""Loading a settings file and reporting all findings in it together."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, TypeVar

import jsonc
from pydantic import ValidationError

from primroselever_core.exceptions import FindingsError
from primroselever_core.findings import Finding
from primroselever_core.validation import findings_of

from .contradictions import contradictions
from .model import Settings

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

Model = TypeVar("Model", bound=Settings)


def load_settings(
    path: Path, model: type[Model], environ: Mapping[str, str] = os.environ
) -> Model:
    """Return the settings in a file; raise ``FindingsError`` with all findings."""
    place = str(path)
    try:
        data = jsonc.loads(read_text(path))
    except ValueError as exc:
        raise FindingsError([Finding(place, str(exc), "fix the JSON syntax")]) from exc
    try:
        settings = model.model_validate(data)
    except ValidationError as exc:
        raise FindingsError(list(findings_of(exc, place))) from exc
    findings = [
        Finding(f"{place}: {finding.place}", finding.problem, finding.remedy)
        for finding in contradictions(settings, environ)
    ]
    if findings:
        raise FindingsError(findings)
    return settings


def read_text(path: Path) -> str:
    """Return the text of a file, or raise ``FindingsError``."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        problem = f"cannot be read: {exc}"
        finding = Finding(str(path), problem, "give the path of a readable UTF-8 file")
        raise FindingsError([finding]) from exc
