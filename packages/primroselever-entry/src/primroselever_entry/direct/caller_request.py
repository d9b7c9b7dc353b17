"""A caller's request and the values parsed from its headers."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING
from uuid import uuid4

from primroselever_core.identifiers import PromptPart

if TYPE_CHECKING:
    from .header_names import HeaderNames

    Headers = list[tuple[bytes, bytes]]

MAX_DEADLINE_S = 600.0
PART_PATTERN = re.compile(rb"[0-9a-fA-F]{1,64}")
MAX_SHARED_PARTS = 16  # of a prompt; further ones are not considered
UNFORWARDED_HEADERS = frozenset(
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
    One request with its complete body.

    A request that came without an identifier was given one, since back ends repeat it
    and an answer to another request is told by it alone.
    ``received_at`` is when its first byte arrived. ``deadline`` is when the caller
    stops waiting, None if the caller did not send it. Token counts are 0 for requests
    without a prompt. ``shared_parts`` are the parts of the prompt that other requests
    may have too: all but the last one.
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
    api_key: str | None
    model: str
    prompt_tokens: float
    answer_tokens: float
    shared_parts: tuple[PromptPart, ...] = ()

    @property
    def log_id(self) -> str:
        """Return the request identifier in the form used in logs."""
        return self.request_id.decode("latin-1")


def parse_request(
    method: bytes,
    target: bytes,
    headers: Headers,
    body: bytes,
    received_at: float,
    names: HeaderNames,
) -> CallerRequest | str:
    """Return the parsed request, or the reason why it is invalid."""
    first_values: dict[bytes, bytes] = {}
    host_count = 0
    for name, value in headers:
        if name == b"host":
            host_count += 1
        first_values.setdefault(name, value)
    if host_count != 1:
        return "one Host header is needed"
    if not target.startswith(b"/"):
        return "the target is no path"
    prompt_tokens, answer_tokens = parse_token_counts(
        first_values.get(names.token_counts, b"")
    )
    request_id = first_values.get(names.request_id, b"")
    if not request_id:
        request_id = uuid4().hex.encode()
        headers = [(name, value) for name, value in headers if name != names.request_id]
        headers.append((names.request_id, request_id))
    return CallerRequest(
        method=method,
        target=target,
        headers=headers,
        body=body,
        received_at=received_at,
        request_id=request_id,
        host=first_values[b"host"].decode("latin-1").partition(":")[0],
        path=target.partition(b"?")[0].decode("latin-1"),
        deadline=parse_deadline(first_values.get(names.remaining_ms, b""), received_at),
        api_key=parse_api_key(first_values.get(names.credentials, b""), names),
        model=first_values.get(names.model, b"").decode("latin-1"),
        prompt_tokens=prompt_tokens,
        answer_tokens=answer_tokens,
        shared_parts=parse_shared_parts(first_values.get(names.prompt_parts, b"")),
    )


def parse_deadline(remaining_ms: bytes, received_at: float) -> float | None:
    """Return when the caller stops waiting, or None if not sent or invalid."""
    try:
        remaining_s = float(remaining_ms) / 1000
    except ValueError:
        return None
    if not 0 <= remaining_s <= MAX_DEADLINE_S:
        return None
    return received_at + remaining_s


def parse_token_counts(value: bytes) -> tuple[float, float]:
    """Return the prompt and answer tokens, both 0 if not sent or invalid."""
    prompt, _, answer = value.partition(b",")
    if not prompt.strip().isdigit() or not answer.strip().isdigit():
        return 0.0, 0.0
    return float(prompt), float(answer)


def parse_shared_parts(value: bytes) -> tuple[PromptPart, ...]:
    """
    Return the parts of a prompt without the last one, each once, in their order.

    The last part belongs to the request itself or to its session: ``b"5c:800,91:410"``
    gives ``("5c",)``. The result is empty if the value is malformed.
    """
    parts = []
    for entry in value.split(b","):
        part, _, tokens = entry.strip().partition(b":")
        if not PART_PATTERN.fullmatch(part) or not tokens.isdigit():
            return ()
        parts.append(PromptPart(part.decode().lower()))
    return tuple(dict.fromkeys(parts[:-1][:MAX_SHARED_PARTS]))


def parse_api_key(credentials: bytes, names: HeaderNames) -> str | None:
    """Return the API key in a credentials header, or None if it has none."""
    scheme, _, key = credentials.partition(b" ")
    if scheme.lower() != names.credentials_scheme or not key.strip():
        return None
    return key.strip().decode("latin-1")


def forwardable_headers(headers: Headers, excluded: frozenset[bytes]) -> Headers:
    """Return the headers to forward: no hop-by-hop ones, none in ``excluded``."""
    connection_options: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            connection_options.update(
                token.strip().lower() for token in value.split(b",")
            )
    return [
        (name, value)
        for name, value in headers
        if name not in UNFORWARDED_HEADERS
        and name not in excluded
        and name not in connection_options
    ]
