"""Reasons that agents send in their replies."""

from __future__ import annotations

import logging

from primroselever_core.outcomes import Reason

logger = logging.getLogger(__name__)


def log_unknown_reason(reason: str | None, reply: str) -> None:
    """
    Log a reason that this release does not know.

    The caller gets ``Reason.INTERNAL`` in its place.
    """
    if reason and Reason(reason) != reason:
        logger.warning("unknown reason %r in %s; reported as internal", reason, reply)
