"""Handing on what this process holds: the profiles in force and the VM list."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Any

from eventlet import Timeout
from eventlet.event import Event

from primroselever_core.profiles.patch import make_patch

from .schema import schema

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard

PROFILES = "profiles"
VM_LIST = "vms"
MAX_WAITING = 64


class Publications:
    """Answers ``fetch_publication``; a caller waits until there is news."""

    def __init__(self, board: Blackboard) -> None:
        self.board = board
        self.changed: dict[str, Event] = defaultdict(Event)
        self.waiting = 0

    def announce(self, name: str) -> None:
        """Wake those who wait for a value, since it changed."""
        self.changed.pop(name, Event()).send()

    def fetch(self, name: str, revision: int, wait_ms: int, digest: str) -> Any:
        """Return a newer value, or an empty answer once the wait is over."""
        found = self.find(name, revision, digest)
        if found is not None or wait_ms <= 0 or self.waiting >= MAX_WAITING:
            return found or nothing()
        event = self.changed[name]
        self.waiting += 1
        try:
            with Timeout(wait_ms / 1000, False):
                event.wait()
        finally:
            self.waiting -= 1
        return self.find(name, revision, digest) or nothing()

    def find(self, name: str, revision: int, digest: str) -> Any | None:
        """Return what is newer than what a caller names, or None."""
        if name == PROFILES:
            return self.find_profiles(revision, digest)
        if name == VM_LIST:
            return self.find_vm_list(digest)
        return None

    def find_profiles(self, number: int, digest: str) -> Any | None:
        """Return the profiles in force, patched if the caller holds the last."""
        accepted = self.board.profiles.accepted
        if accepted is None:
            return None
        held = accepted.revision
        if (held.number, held.digest) <= (number, digest):
            return None
        text = accepted.text.encode()
        section = self.board.profiles
        if not digest or section.previous_digest != digest:
            return publication(held.number, text, held.digest)
        patch = make_patch(section.previous_text.encode(), text)
        reply = publication(held.number, patch.middle, held.digest)
        reply.patched, reply.front, reply.back = True, patch.front, patch.back
        return reply

    def find_vm_list(self, digest: str) -> Any | None:
        """Return the VM list that is held, as what changed since the caller's."""
        copy = self.board.members.copy
        if copy.version is None or copy.digest == digest:
            return None
        text = copy.change_since(digest).to_text().encode()
        reply = publication(copy.version.counter, text, copy.digest)
        reply.reader = copy.version.reader
        reply.reader_incarnation = copy.version.incarnation
        return reply


def publication(revision: int, text: bytes, digest: str) -> Any:
    """Return a publication of a whole value."""
    return schema.Publication(
        revision=revision,
        text=text,
        digest=digest,
        patched=False,
        front=0,
        back=0,
        reader="",
        reader_incarnation=0,
    )


def nothing() -> Any:
    """Return the answer that says that nothing is newer."""
    return publication(0, b"", "")
