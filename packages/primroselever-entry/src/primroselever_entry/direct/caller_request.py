"""A caller's request as the entry read it, with what its headers say."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .header_names import HeaderNames

    Headers = list[tuple[bytes, bytes]]

LONGEST_DEADLINE_S = 600.0
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)


@dataclass(slots=True)
class CallerRequest:
    """
    One request with its whole body.

    ``received_at`` is when its first byte came; ``deadline`` when the caller gives up,
    None where it did not say. Tokens are 0 for requests without a prompt.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float
    request_id: bytes
    host: str
    path: str
    deadline: float | None
    key: str | None
    model: str
    prompt_tokens: float
    answer_tokens: float

    @property
    def shown_id(self) -> str:
        """Return the identifier as logs show it."""
        return self.request_id.decode("latin-1")


def read_request(
    method: bytes,
    target: bytes,
    headers: Headers,
    body: bytes,
    received_at: float,
    names: HeaderNames,
) -> CallerRequest | str:
    """Return a request, or what is wrong with it."""
    found: dict[bytes, bytes] = {}
    hosts = 0
    for name, value in headers:
        if name == b"host":
            hosts += 1
        found.setdefault(name, value)
    if hosts != 1:
        return "one Host header is needed"
    if not target.startswith(b"/"):
        return "the target is no path"
    prompt, answer = token_counts(found.get(names.token_counts, b""))
    return CallerRequest(
        method=method,
        target=target,
        headers=headers,
        body=body,
        received_at=received_at,
        request_id=found.get(names.request_id, b""),
        host=found[b"host"].decode("latin-1").partition(":")[0],
        path=target.partition(b"?")[0].decode("latin-1"),
        deadline=deadline_of(found.get(names.remaining_ms, b""), received_at),
        key=key_of(found.get(names.credentials, b""), names),
        model=found.get(names.model, b"").decode("latin-1"),
        prompt_tokens=prompt,
        answer_tokens=answer,
    )


def deadline_of(remaining_ms: bytes, received_at: float) -> float | None:
    """Return when the caller gives up, None when it did not say so readably."""
    try:
        left_s = float(remaining_ms) / 1000
    except ValueError:
        return None
    if not 0 <= left_s <= LONGEST_DEADLINE_S:
        return None
    return received_at + left_s


def token_counts(value: bytes) -> tuple[float, float]:
    """Return the tokens of prompt and answer, 0 where they are not told."""
    prompt, _, answer = value.partition(b",")
    if not prompt.strip().isdigit() or not answer.strip().isdigit():
        return 0.0, 0.0
    return float(prompt), float(answer)


def key_of(credentials: bytes, names: HeaderNames) -> str | None:
    """Return the key in a credentials header, None without a readable one."""
    scheme, _, key = credentials.partition(b" ")
    if scheme.lower() != names.credentials_scheme or not key.strip():
        return None
    return key.strip().decode("latin-1")


def passed_on(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    """Return the headers that concern more than one connection, less ``dropped``."""
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    return [
        (name, value)
        for name, value in headers
        if name not in CONNECTION_HEADERS and name not in dropped and name not in named
    ]
