"""The interface of the engine or plain service that a runner uses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroselever_core.runs.registry import Run


class Backend(Protocol):
    """Runs requests and streams the bytes of their answers."""

    def run(self, run: Run, body: bytes, priority: int) -> Iterator[bytes]:
        """Yield the answer piece by piece, or raise ``BackendError``."""
        ...

    def cancel(self, run: Run) -> None:
        """Stop a run if it is still in progress."""
        ...
