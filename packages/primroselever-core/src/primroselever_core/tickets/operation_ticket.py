"""An operation ticket: the right to run one non-idempotent call once."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import quote, unquote

from ..identifiers import Fingerprint, Incarnation, RunId, VmId

SEPARATOR = ":"
FORMAT = "1"


@dataclass(frozen=True, slots=True)
class OperationTicket:
    """
    A ticket; only the incarnation that issued it can ever run it.

    ``fingerprint`` binds it to service, workspace and body, ``epoch`` and
    ``sequence`` to the issuer's start book.
    """

    vm_id: VmId
    incarnation: Incarnation
    epoch: int
    sequence: int
    fingerprint: Fingerprint

    @property
    def run_id(self) -> RunId:
        """Return the identifier under which every start of the ticket runs."""
        return RunId(f"{self.incarnation:x}t{self.sequence}")

    def text(self) -> str:
        """Return the ticket as text that fits an HTTP header."""
        fields = (
            FORMAT,
            quote(self.vm_id, safe=""),
            f"{self.incarnation:x}",
            str(self.epoch),
            str(self.sequence),
            self.fingerprint,
        )
        return SEPARATOR.join(fields)

    @classmethod
    def parse(cls, text: str) -> OperationTicket | None:
        """Return the ticket in a text, or None if it is none."""
        try:
            version, vm_id, incarnation, epoch, sequence, digest = text.split(SEPARATOR)
            if version != FORMAT:
                return None
            return cls(
                VmId(unquote(vm_id)),
                Incarnation(int(incarnation, 16)),
                int(epoch),
                int(sequence),
                Fingerprint(digest),
            )
        except ValueError:
            return None
