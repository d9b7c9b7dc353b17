"""An operation ticket: the right to run one non-idempotent call once."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import quote, unquote

from ..identifiers import Fingerprint, Incarnation, RunId, VmId

SEPARATOR = ":"
FORMAT_VERSION = "1"


@dataclass(frozen=True, slots=True)
class OperationTicket:
    """
    A ticket that only the incarnation that issued it can run.

    ``fingerprint`` binds the ticket to its service, workspace and body; ``epoch`` and
    ``sequence`` bind it to the start book of the issuer.
    """

    vm_id: VmId
    incarnation: Incarnation
    epoch: int
    sequence: int
    fingerprint: Fingerprint

    @property
    def run_id(self) -> RunId:
        """Return the run identifier that all starts of the ticket share."""
        return RunId(f"{self.incarnation:x}t{self.sequence}")

    def to_text(self) -> str:
        """Return the ticket as text for an HTTP header."""
        fields = (
            FORMAT_VERSION,
            quote(self.vm_id, safe=""),
            f"{self.incarnation:x}",
            str(self.epoch),
            str(self.sequence),
            self.fingerprint,
        )
        return SEPARATOR.join(fields)

    @classmethod
    def parse(cls, text: str) -> OperationTicket | None:
        """Return the ticket parsed from a text, or None if the text is malformed."""
        try:
            version, vm_id, incarnation, epoch, sequence, digest = text.split(SEPARATOR)
            if version != FORMAT_VERSION:
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
