"""Reading and writing of HTTP/1.1 messages on asyncio streams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from http import HTTPStatus
from urllib.parse import parse_qsl, urlsplit


class HttpError(Exception):
    """The bytes on a connection are no message, or end within one."""


@dataclass
class Request:
    """A request that was read completely."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    path: str = ""
    query: dict[str, str] = field(default_factory=dict)


@dataclass
class Response:
    """A response; ``complete`` is False if its connection ended within it."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers, None if the connection ended before."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise HttpError("the connection ended within a head") from exc
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Return a body in chunks, and whether its last chunk came."""
    body = b""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if not size:
                return body, True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request, None if the connection ended before it."""
    read = await read_head(reader)
    if read is None:
        return None
    first, headers = read
    method, target, _ = first.split(" ", 2)
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        body, complete = await read_chunks(reader)
        if not complete:
            raise HttpError("the connection ended within a body")
    elif length := int(headers.get("content-length", "0")):
        body = await reader.readexactly(length)
    parts = urlsplit(target)
    return Request(
        method, target, headers, body, parts.path, dict(parse_qsl(parts.query))
    )


async def write_response(
    writer: asyncio.StreamWriter,
    status: int,
    headers: list[tuple[str, str]],
    body: bytes,
) -> None:
    """Write a response with a length."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode() + body)
    await writer.drain()


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Return a response; raise ``HttpError`` if there is none."""
    try:
        read = await read_head(reader)
    except ConnectionError as exc:
        raise HttpError(str(exc)) from exc
    if read is None:
        raise HttpError("the connection ended without an answer")
    first, headers = read
    status = int(first.split(" ")[1])
    if "chunked" in headers.get("transfer-encoding", ""):
        body, complete = await read_chunks(reader)
        return Response(status, headers, body, complete)
    if "content-length" in headers:
        length = int(headers["content-length"])
        try:
            return Response(status, headers, await reader.readexactly(length), True)
        except asyncio.IncompleteReadError as exc:
            return Response(status, headers, exc.partial, False)
        except ConnectionError:
            return Response(status, headers, b"", False)
    try:
        return Response(status, headers, await reader.read(), True)
    except ConnectionError:
        return Response(status, headers, b"", False)
