"""Serving the profiles in force and the VM list to other processes."""

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
MAX_WAITING_CALLS = 64


class Publications:
    """Answers ``fetch_publication``; a call may wait until the value changes."""

    def __init__(self, board: Blackboard) -> None:
        self.board = board
        self.change_events: dict[str, Event] = defaultdict(Event)
        self.waiting_calls = 0

    def notify_changed(self, name: str) -> None:
        """Wake the calls that wait for a change of a publication."""
        self.change_events.pop(name, Event()).send()

    def fetch_newer(self, name: str, revision: int, wait_ms: int, digest: str) -> Any:
        """
        Return a publication newer than the caller's, or an empty one.

        Wait up to ``wait_ms`` milliseconds for a change. When too many calls are
        waiting already, return an empty one immediately.
        """
        newer = self.find_newer(name, revision, digest)
        if newer is not None or wait_ms <= 0 or self.waiting_calls >= MAX_WAITING_CALLS:
            return newer or empty_publication()
        event = self.change_events[name]
        self.waiting_calls += 1
        try:
            with Timeout(wait_ms / 1000, False):
                event.wait()
        finally:
            self.waiting_calls -= 1
        return self.find_newer(name, revision, digest) or empty_publication()

    def find_newer(self, name: str, revision: int, digest: str) -> Any | None:
        """Return a publication newer than the caller's, or None."""
        if name == PROFILES:
            return self.find_profiles(revision, digest)
        if name == VM_LIST:
            return self.find_vm_list(digest)
        return None

    def find_profiles(self, number: int, digest: str) -> Any | None:
        """Return newer profiles, as a patch if the caller holds the previous ones."""
        accepted = self.board.profiles.accepted
        if accepted is None:
            return None
        held = accepted.revision
        if (held.number, held.digest) <= (number, digest):
            return None
        text = accepted.text.encode()
        section = self.board.profiles
        if not digest or section.previous_digest != digest:
            return new_publication(held.number, text, held.digest)
        patch = make_patch(section.previous_text.encode(), text)
        reply = new_publication(held.number, patch.middle, held.digest)
        reply.patched, reply.front, reply.back = True, patch.front, patch.back
        return reply

    def find_vm_list(self, digest: str) -> Any | None:
        """Return the change from the caller's VM list to the one held, or None."""
        copy = self.board.members.copy
        if copy.version is None or copy.digest == digest:
            return None
        text = copy.change_since(digest).to_text().encode()
        reply = new_publication(copy.version.counter, text, copy.digest)
        reply.reader = copy.version.reader
        reply.reader_incarnation = copy.version.incarnation
        return reply


def new_publication(revision: int, text: bytes, digest: str) -> Any:
    """Return a publication that is not yet marked as a patch of another value."""
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


def empty_publication() -> Any:
    """Return the publication that means that there is no newer value."""
    return new_publication(0, b"", "")
