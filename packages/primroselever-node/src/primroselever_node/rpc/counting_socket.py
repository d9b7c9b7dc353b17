"""A thrift socket that limits messages, and counts the bytes it sends and receives."""

from __future__ import annotations

import re
from mmap import MAP_ANONYMOUS, MAP_PRIVATE, mmap
from typing import TYPE_CHECKING, Any

import eventlet
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.transport import (
    TCyBufferedTransportFactory,
    TSocket,
    TTransportException,
)

from .. import clock
from ..traffic import SEGMENT_OVERHEAD_BYTES, rpc_traffic
from .message_scanner import MessageError, MessageScanner

if TYPE_CHECKING:
    from .message_scanner import Bytes

LARGE_READ_BYTES = 262_144  # after each of these, other greenlets may run
# A message larger than the usual pieces, or with more values than usual, is received in
# smaller steps with pauses between them, at up to 128 MB/s. Without the pauses, peers
# that send without end used all of the process's time until they reached a limit.
UNPAUSED_BYTES = 1 << 20
UNPAUSED_VALUES = 4096
PAUSED_READ_BYTES = 131_072
PAUSE_S = 0.001
# Larger messages are held in pages of their own, which are returned to the system at
# once. The allocator kept 78 MB after 16 peers had sent 4 to 8 MiB each.
MAX_HEAP_BYTES = 1 << 20
MAX_GROWN_HEAP_BYTES = 1 << 17  # of a message of which no string states the size
SPARE_BYTES = 4096  # for the fields after a large string
# A decoder that has read more is replaced, because it keeps a buffer of that size. It
# keeps those of the usual pieces of 512 KiB, since a new one costs 0.1 ms a reply.
MAX_KEPT_BUFFER_BYTES = 1 << 20
# Anything that may be the field of a container whose items are containers, or are of
# no known type; also one whose types have not arrived. Only such a container makes the
# decoder work without reading bytes, so that a small message without one is decoded
# without a scan, which would take as long as decoding it.
MAY_BE_UNSAFE = re.compile(
    rb"[\x0d-\x0f](?:.{0,3}\Z|..[^\x02-\x04\x06\x08\x0a-\x0c\x12]"
    rb"|(?<=\x0d)...[^\x02-\x04\x06\x08\x0a-\x0c\x12])",
    re.DOTALL,
)


class CountingSocket(TSocket):
    """
    Receives messages within limits, and passes them to the decoder.

    ``max_message_bytes`` limits a received message, and ``deadline`` is when it must
    have been received or sent. A served connection sets ``idle_s`` and ``message_s``
    instead. It may be idle for ``idle_s`` seconds, then a message must arrive within
    ``message_s`` seconds from its first byte. The reply is sent within ``idle_s``.

    ``received`` holds ``size`` bytes of the message that have arrived, of which the
    decoder has read those up to ``start``. The first read is passed on at once if it is
    safe, and what arrives later once the message is complete. Peers must not send a
    message before they have received the reply to the last one.

    Counts received and sent bytes, and one segment's headers per read or write.
    """

    def __init__(
        self,
        *args: Any,
        max_message_bytes: int,
        idle_s: float | None = None,
        message_s: float | None = None,
        **kwargs: Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self.max_message_bytes = max_message_bytes
        self.idle_s = idle_s
        self.message_s = message_s
        self.deadline: float | None = None
        self.received: Bytes = b""
        self.start = self.size = 0
        self.is_begun = self.is_complete = False
        self.scanner: MessageScanner | None = None
        self.largest_read_bytes = 0

    def begin_message(self) -> None:
        """Prepare for the next message; call this before each one is received."""
        self.received = b""
        self.start = self.size = 0
        self.is_begun = self.is_complete = False
        if self.idle_s is not None:
            self.deadline = clock.now() + self.idle_s

    def read(self, size: int) -> Any:
        """Return up to ``size`` bytes of a message; raise ``MessageError`` above it."""
        if not self.is_begun:
            data = self.receive(size)
            self.is_begun = True
            if self.message_s is not None:
                self.deadline = clock.now() + self.message_s
            self.received, self.size = data, len(data)
            self.scanner = None
            if self.is_safe(data, size):
                self.start = self.size
                return data
        if not self.is_complete:
            try:
                self.receive_rest()
            except TimeoutError as exc:
                self.release()
                if self.message_s is None:
                    raise
                message = f"a call did not arrive within {self.message_s} s"
                raise MessageError(message) from exc
            except BaseException:
                self.release()
                raise
        start = self.start
        self.start = min(start + size, self.size)
        if start == self.start:
            raise MessageError("the decoder reads more than the message")
        received = self.received
        self.largest_read_bytes = max(self.largest_read_bytes, self.start - start)
        if self.start == self.size:
            self.received = b""
            if start == 0 and isinstance(received, bytearray):
                del received[self.size :]
                return received
        return bytes(memoryview(received)[start : self.start])

    def is_safe(self, data: bytes, size: int) -> bool:
        """Return whether the decoder may read the first bytes of a message at once."""
        if len(data) < size:
            return not MAY_BE_UNSAFE.search(data)
        # The message is larger. Most of these have a large string in its first bytes,
        # so that scanning them takes less time than searching.
        self.scanner = MessageScanner(self.max_message_bytes)
        self.scanner.scan(data, len(data))
        return self.scanner.position >= len(data)

    def release(self) -> None:
        """Free the bytes of a message, to which a kept traceback may refer."""
        if isinstance(self.received, bytearray):
            self.received.clear()
        elif isinstance(self.received, mmap):
            self.received.close()
        self.received = b""

    def receive_rest(self) -> None:
        """Receive the rest of a message that has begun to arrive."""
        scanner = self.scanner or MessageScanner(self.max_message_bytes)
        if scanner.position < self.size:
            scanner.scan(self.received, self.size)
        if self.start == self.size <= scanner.position:
            # The decoder has read all of it, and the scanner does not need it again.
            scanner.discard(self.size)
            self.received, self.start, self.size = b"", 0, 0
        unyielded_bytes = 0
        step_bytes = LARGE_READ_BYTES
        while needed := scanner.scan(self.received, self.size):
            missing = needed - self.size
            if missing <= 0 or unyielded_bytes >= step_bytes:
                is_large = self.size > UNPAUSED_BYTES
                step_bytes = PAUSED_READ_BYTES if is_large else LARGE_READ_BYTES
                is_paused = is_large or scanner.value_count > UNPAUSED_VALUES
                eventlet.sleep(PAUSE_S if is_paused else 0)
                unyielded_bytes = 0
            if missing <= 0:
                self.remaining_s()
                continue
            self.reserve(needed)
            count = self.receive_into_reserve(step_bytes)
            unyielded_bytes += count
            self.size += count
        if scanner.position != self.size:
            raise MessageError("more bytes follow the message")
        self.is_complete = True

    def reserve(self, size: int) -> None:
        """
        Make room for a message of at least ``size`` bytes, which is within the limit.

        Room takes memory only once bytes are written to it.
        """
        if size <= len(self.received):
            return
        room: bytearray | mmap
        is_grown = isinstance(self.received, bytearray)
        if size <= (MAX_GROWN_HEAP_BYTES if is_grown else MAX_HEAP_BYTES):
            room = bytearray(max(size + SPARE_BYTES, 2 * self.size))
        else:
            capacity = self.max_message_bytes
            room = mmap(-1, capacity, flags=MAP_PRIVATE | MAP_ANONYMOUS)
        room[: self.size] = self.received[: self.size]
        self.received = room

    def receive_into_reserve(self, max_bytes: int) -> int:
        """Receive up to ``max_bytes`` more bytes; return their number."""
        assert self.sock is not None
        self.sock.settimeout(self.remaining_s())
        with memoryview(self.received) as room:
            end = min(len(room), self.size + max_bytes)
            with room[self.size : end] as rest:
                count: int = self.sock.recv_into(rest)
        return count_received(count)

    def receive(self, size: int) -> bytes:
        """Receive up to ``size`` bytes before the deadline."""
        assert self.sock is not None
        self.sock.settimeout(self.remaining_s())
        data: bytes = self.sock.recv(size)
        count_received(len(data))
        return data

    def write(self, data: bytes) -> None:
        """Send all bytes before the deadline."""
        assert self.sock is not None
        if self.idle_s is not None and self.is_begun:
            # The first write of a reply; its handler may have waited.
            self.deadline = clock.now() + self.idle_s
            self.is_begun = False
        self.sock.settimeout(self.remaining_s())
        sent = self.sock.send(data)
        while sent < len(data):
            self.sock.settimeout(self.remaining_s())
            sent += self.sock.send(memoryview(data)[sent:])
        rpc_traffic.add(len(data), SEGMENT_OVERHEAD_BYTES)

    def remaining_s(self) -> float:
        """Return the seconds until the deadline; raise ``TimeoutError`` after it."""
        assert self.deadline is not None
        remaining_s = self.deadline - clock.now()
        if remaining_s <= 0:
            raise TimeoutError("the deadline of the message has passed")
        return remaining_s

    def new_protocol(self) -> Any:
        """Return an encoder and decoder for this socket with small buffers."""
        self.largest_read_bytes = 0
        transport = TCyBufferedTransportFactory().get_transport(self)
        return TCyBinaryProtocolFactory().get_protocol(transport)


def count_received(count: int) -> int:
    """Count received bytes; raise ``TTransportException`` if there are none."""
    if not count:
        raise TTransportException(
            TTransportException.END_OF_FILE, "the connection was closed"
        )
    rpc_traffic.add(count, SEGMENT_OVERHEAD_BYTES)
    return count
