"""Limits on callers with which no request can be received."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .finding import error, warning

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..catalogue.model import Configuration
    from .finding import RatedFinding

# The request line, Host and a key of a usual caller take more than this.
MIN_HEADER_BYTES = 256
# A head is held in memory for each connection, and an entry has 200 MB for all.
MAX_HEADER_BYTES = 1 << 20


def check_sizes(configuration: Configuration) -> Iterator[RatedFinding]:
    """Yield the sizes and times that contradict what callers send."""
    limits = configuration.limits
    if limits.header_bytes < MIN_HEADER_BYTES:
        yield error(
            "limits, header size",
            f"no usual request has a head of {limits.header_bytes} bytes or less",
            f"raise it to {MIN_HEADER_BYTES} bytes or more",
        )
    elif limits.header_bytes > MAX_HEADER_BYTES:
        yield warning(
            "limits, header size",
            f"each connection may hold {limits.header_bytes} bytes for its head",
            f"lower it to {MAX_HEADER_BYTES} bytes or less",
        )
    if not limits.body_bytes:
        yield warning(
            "limits, body size",
            "it is 0 bytes, so only requests without a body are served",
            "raise it",
        )
    elif limits.header_bytes > limits.body_bytes:
        yield warning(
            "limits, header size",
            f"{limits.header_bytes} bytes is above the body size, "
            f"{limits.body_bytes} bytes",
            "check whether the two are interchanged",
        )
    for name, limit_s in (
        ("header timeout", limits.header_timeout_s),
        ("idle timeout", limits.idle_timeout_s),
    ):
        if not limit_s > 0:
            yield error(
                f"limits, {name}",
                "it is 0 s, so connections are closed before a request arrives",
                "raise it",
            )
