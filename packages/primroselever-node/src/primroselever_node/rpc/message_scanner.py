"""
The bounds of a received thrift message, found before the message is decoded.

The decoder of thriftpy2 reads lengths in C without limits: it allocates what a string
states, creates as many objects as a list states, and skips a list whose item type it
does not know without reading anything, so that 2^31 such items stop the process.
"""

from __future__ import annotations

from mmap import mmap

Bytes = bytes | bytearray | mmap

MAX_DEPTH = 32  # the messages of this project nest to 5
# Of all fields and items of a message. The largest legitimate messages, of answers of
# runs and of suspicions, have about 20,000; a value takes up to 500 bytes once decoded.
MAX_VALUES = 65_536
MAX_NAME_BYTES = 128  # of a method
SCAN_VALUES = 256  # after which other greenlets may run; about 0.1 ms

VERSION = b"\x80\x01"
STOP, STRING, STRUCT, MAP = 0, 11, 12, 13
STRINGS = (STRING, 18)
LISTS = (14, 15)
FIXED_BYTES = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}  # by type of value
# By type, of a field with its type and number; 0 for those of variable size.
FIELD_BYTES = [FIXED_BYTES.get(kind, -3) + 3 for kind in range(256)]
KNOWN_TYPES = {*FIXED_BYTES, *STRINGS, *LISTS, STRUCT, MAP}


class MessageError(Exception):
    """A peer sent bytes that are no message, or a message above a limit."""


class MessageScanner:
    """
    Finds the end of a message while its bytes arrive.

    ``position`` is the offset up to which the message has been scanned, and ``frames``
    holds the structs (None) and containers that are open there. For a container it
    holds the number of items that remain, and their types in turn.

    Types are read as the decoder reads them. It reads a map of the schema differently
    if a type is another than in the schema, so the services must not use maps.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.discarded_bytes = 0
        self.position = 0
        self.value_count = 0
        self.frames: list[list[int] | None] = []
        self.is_begun = False

    def scan(self, data: Bytes, available: int) -> int:
        """
        Scan further; return the least size of the message, 0 if it is complete.

        ``data`` begins with the message, of which ``available`` bytes have arrived. If
        the returned size is not above that, call again: this returns at times so that
        the caller can let other greenlets run. Raise ``MessageError`` if a limit is
        exceeded.
        """
        size = 0 if self.is_begun else self.scan_begin(data, available)
        if not size:
            size = self.scan_values(data, available)
        if self.discarded_bytes + max(size, self.position) > self.max_bytes:
            raise MessageError(f"the message has more than {self.max_bytes} bytes")
        return size

    def discard(self, count: int) -> None:
        """Count offsets from ``count`` bytes later, which are no longer needed."""
        self.position -= count
        self.discarded_bytes += count

    def scan_begin(self, data: Bytes, available: int) -> int:
        """Scan the version, the method and the sequence number."""
        if data[: min(available, 2)] != VERSION[:available]:
            raise MessageError("the bytes do not begin as a message")
        if available < 8:
            return 8
        name_bytes = int.from_bytes(data[4:8], "big")
        if name_bytes > MAX_NAME_BYTES:
            raise MessageError(f"the name of the method has {name_bytes} bytes")
        end = 8 + name_bytes + 4
        if available < end:
            return end
        self.position = end
        self.frames.append(None)
        self.is_begun = True
        return 0

    def scan_values(self, data: Bytes, available: int) -> int:
        """Scan fields and items; return the least size of the message, or 0."""
        frames = self.frames
        position = self.position
        remaining = SCAN_VALUES
        needed = 0
        while frames:
            frame = frames[-1]
            if frame is None:
                # Most fields are numbers and strings. Of these only the beginning is
                # needed, so that the position may be above what has arrived.
                while remaining and position < available:
                    kind = data[position]
                    if field_bytes := FIELD_BYTES[kind]:
                        position += field_bytes
                    elif kind == STRING and position + 7 <= available:
                        length = data[position + 3 : position + 7]
                        position += 7 + int.from_bytes(length, "big")
                    else:
                        break
                    remaining -= 1
                if position >= available:
                    needed = position + 1
                    break
                kind = data[position]
                if kind == STOP:
                    position += 1
                    frames.pop()
                    continue
                start = position + 3
            elif frame[0]:
                kind, start = frame[1], position
            else:
                frames.pop()
                continue
            if not remaining:
                needed = position
                break
            fixed_bytes = FIXED_BYTES.get(kind)
            if fixed_bytes:
                end = start + fixed_bytes
            elif kind in STRINGS:
                end = start + 4
            elif kind == STRUCT:
                end = start
            elif kind in LISTS:
                end = start + 5
            elif kind == MAP:
                end = start + 6
            else:
                raise MessageError(f"a value has the unknown type {kind}")
            if end > available:
                needed = end
                break
            remaining -= 1
            if frame is not None:
                frame[0] -= 1
                frame[1], frame[2] = frame[2], frame[1]
            position = end
            if not fixed_bytes:
                if kind in STRINGS:
                    # The bytes of a string need no scan, so this may be further on.
                    position += read_length(data, start)
                else:
                    self.open_frame(kind, data, start)
        self.position = position
        self.value_count += SCAN_VALUES - remaining
        if self.value_count > MAX_VALUES:
            raise MessageError(f"the message has more than {MAX_VALUES} values")
        # A string at the end of the last item may not have arrived completely.
        return needed or (position if position > available else 0)

    def open_frame(self, kind: int, data: Bytes, start: int) -> None:
        """Open a struct or a container, whose types and count begin at ``start``."""
        if len(self.frames) >= MAX_DEPTH:
            raise MessageError(f"the message nests deeper than {MAX_DEPTH}")
        if kind == STRUCT:
            self.frames.append(None)
            return
        first = data[start]
        second = data[start + 1] if kind == MAP else first
        per_item = 2 if kind == MAP else 1
        count = read_length(data, start + per_item) * per_item
        if self.value_count + count > MAX_VALUES:
            raise MessageError(f"a container states {count} values")
        if count and not (first in KNOWN_TYPES and second in KNOWN_TYPES):
            raise MessageError(f"items have the unknown types {first}, {second}")
        self.frames.append([count, first, second])


def read_length(data: Bytes, start: int) -> int:
    """Return the length that is stated at ``start``; raise if it is negative."""
    length = int.from_bytes(data[start : start + 4], "big")
    if length >= 1 << 31:
        raise MessageError("a stated length is negative")
    return length
