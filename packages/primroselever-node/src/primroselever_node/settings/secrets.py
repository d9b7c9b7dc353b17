"""Loading the key that signs operation tickets."""

from __future__ import annotations

import os
import secrets
from pathlib import Path
from typing import TYPE_CHECKING

from primroselever_core.exceptions import FindingsError
from primroselever_core.findings import Finding

if TYPE_CHECKING:
    from .model import Secrets

MIN_KEY_BYTES = 8
RANDOM_KEY_BYTES = 32


def ticket_key(settings: Secrets) -> bytes:
    """
    Return the key, or raise ``FindingsError`` if the configured source has none.

    Without a configured source, return a random key. That is sufficient because a
    ticket is only ever verified by the process that issued it.
    """
    if settings.ticket_key_file is not None:
        place = f"secrets.ticket_key_file: {settings.ticket_key_file}"
        try:
            key = Path(settings.ticket_key_file).read_bytes().strip()
        except OSError as exc:
            finding = Finding(
                place, f"cannot be read: {exc.strerror}", "correct the path"
            )
            raise FindingsError([finding]) from exc
    elif settings.ticket_key_variable is not None:
        place = f"secrets.ticket_key_variable: {settings.ticket_key_variable}"
        key = os.environb.get(settings.ticket_key_variable.encode(), b"")
    else:
        return secrets.token_bytes(RANDOM_KEY_BYTES)
    if len(key) < MIN_KEY_BYTES:
        problem = f"the key is missing or shorter than {MIN_KEY_BYTES} bytes"
        raise FindingsError([Finding(place, problem, "use a longer random key")])
    return key
