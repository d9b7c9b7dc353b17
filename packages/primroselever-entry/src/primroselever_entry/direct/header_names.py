"""The names that a platform gives to the headers that an entry uses."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """
    Header names by purpose; names of headers that are read are in lower case.

    The ``remaining_ms`` header holds the milliseconds left until the deadline,
    ``token_counts`` the prompt's tokens and the maximum for the answer,
    ``prompt_parts`` the parts of the prompt in order, as ``ID:TOKENS`` separated by
    commas, and ``engine_chain`` the engines that a request passes through.
    ``server_leaving`` is 1 in the answers of a server that leaves, and ``server_limit``
    the requests a second that a server takes from all entries together. ``cold_ms`` is
    for how many milliseconds a server is still cold, 0 if it is not.
    """

    request_id: bytes
    remaining_ms: bytes
    credentials: bytes
    credentials_scheme: bytes
    resume_after: bytes
    model: bytes
    token_counts: bytes
    prompt_parts: bytes
    workspace: bytes
    expected_server: bytes
    expected_weights: bytes
    urgency: bytes
    engine_chain: bytes
    not_run: bytes
    server_leaving: bytes
    server_limit: bytes
    cold_ms: bytes = b"cold-ms"

    def not_forwarded(self) -> frozenset[bytes]:
        """Return the callers' headers that are not forwarded, in lower case."""
        return frozenset(
            name.lower()
            for name in (
                self.remaining_ms,
                self.credentials,
                self.workspace,
                self.expected_server,
                self.expected_weights,
                self.urgency,
                self.engine_chain,
            )
        )
