"""A stand-in for a server of a plain service, with an entry in the store."""

from __future__ import annotations

import asyncio
import itertools
import json
import secrets
import socket
import struct
import time
from collections.abc import Callable
from contextlib import suppress

from .fleet import Record
from .http import HttpError, Request, read_request, write_response
from .store import Store

HEARTBEAT_S = 1.2
RESET_AT_CLOSE = struct.pack("ii", 1, 0)

server_ids = itertools.count(1)


class PlainServer:
    """
    Runs up to ``slots`` requests at once and queues up to ``queue`` more.

    ``crashes_on`` says whether a request that begins to run crashes the server, which
    it does after ``work_s``. The server is back ``back_after_s`` later, as a new incarnation at the same address. Its
    old entry in the store is removed after three heartbeats of silence.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        host: str,
        store: Store,
        record: Record,
        *,
        slots: int = 6,
        queue: int = 24,
        work_s: float = 0.0225,
        crashes_on: Callable[[Request], bool] = lambda _request: False,
        on_arrival: Callable[[Request], None] = lambda _request: None,
        on_crash: Callable[[], None] = lambda: None,
        back_after_s: float = 3.0,
    ) -> None:
        self.name, self.service, self.zone, self.host = name, service, zone, host
        self.store, self.record = store, record
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.crashes_on, self.back_after_s = crashes_on, back_after_s
        self.on_arrival, self.on_crash = on_arrival, on_crash
        self.port = 0
        self.server_id = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start a new incarnation, and register it in the store."""
        self.server_id = f"i-{next(server_ids):04d}{secrets.token_hex(2)}"
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.free = asyncio.Semaphore(self.slots)
        self.waiting = 0
        self.server = await asyncio.start_server(self.handle, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.record.line(f"server {self.name} starts as {self.server_id}")
        await self.beat()
        self.spawn(self.keep_beating(self.server_id))

    def spawn(self, coroutine) -> None:
        """Run a coroutine as a task that is kept until it ends."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def beat(self) -> None:
        """Write this incarnation's entry."""
        self.sequence += 1
        await self.store.write(
            f"servers/{self.server_id}",
            {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold_remaining_ms": 0,
                "born": self.born_ms,
                "seq": self.sequence,
            },
        )

    async def keep_beating(self, server_id: str) -> None:
        """Write the entry at each heartbeat while this incarnation runs."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.server_id != server_id or self.server is None:
                return
            await self.beat()

    def crash(self) -> None:
        """End as a killed process does: all connections and the listener close."""
        self.on_crash()
        self.record.line(f"server {self.name} {self.server_id} CRASHES")
        assert self.server is not None
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            writer.transport.abort()
        self.spawn(self.expire(self.server_id))
        self.spawn(self.come_back())

    async def expire(self, server_id: str) -> None:
        """Remove the entry of a crashed incarnation after three heartbeats."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.write(f"servers/{server_id}", None)

    async def come_back(self) -> None:
        """Start again after some seconds."""
        await asyncio.sleep(self.back_after_s)
        await self.start()

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests on one connection, one after the other."""
        self.writers.add(writer)
        try:
            while request := await read_request(reader):
                await self.answer(request, writer)
        except (OSError, HttpError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Run a request, or refuse it."""
        request_id = request.headers.get("request-id", "")
        server_id = self.server_id
        echo = [("Request-Id", request_id)]
        if request.headers.get("expect-instance", server_id) != server_id:
            self.record.line(f"server {self.name} answers {request_id} with 421")
            await write_response(writer, 421, [*echo, ("Instance-Id", server_id)], b"")
            return
        self.record.line(
            f"server {self.name} {server_id} receives {request_id} {request.method} "
            f"{request.path} Deadline-Ms {request.headers.get('deadline-ms')}"
        )
        self.on_arrival(request)
        if self.free.locked() and self.waiting >= self.queue:
            await write_response(writer, 503, [*echo, ("Not-Run", "1")], b"")
            return
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            if self.server is None or self.server_id != server_id:
                return  # crashed while the request waited
            does_crash = self.crashes_on(request)
            await asyncio.sleep(self.work_s)
            if self.server is None or self.server_id != server_id:
                return
            if does_crash:
                self.crash()
                return
            body = json.dumps({"ran": request_id, "at": server_id}).encode()
            seal = f"{server_id}.{len(body)}.{secrets.token_hex(4)}"
            self.record.line(f"server {self.name} has run {request_id}")
            await write_response(writer, 200, [*echo, ("Response-Seal", seal)], body)
        finally:
            self.free.release()
