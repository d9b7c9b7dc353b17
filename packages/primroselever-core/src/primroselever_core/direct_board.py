"""The blackboard of an entry that calls back ends directly."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .catalogue.catalogue import Catalogue
from .dispatch.section import BackendsSection
from .filling.holdings import Holdings
from .suspects.prompt_parts import PromptParts
from .suspects.section import SuspectsSection
from .suspects.whole_requests import WholeRequests

if TYPE_CHECKING:
    from .gossip.peers import Peers
    from .identity import Identity


@dataclass(slots=True)
class DirectBoard:
    """
    The sections of one entry.

    ``catalogue`` is written by the follower of the platform's store and by updates from
    peers; ``peers`` by the gossip controller; ``backends`` by the request flow and by
    reports of agents; ``leaving`` by the process; ``suspects`` by the request flow and
    by suspicions received from peers, and so are ``prompt_parts`` and
    ``whole_requests``, which keep their crashes in ``suspects``. ``holdings`` is
    written by the piece keeper and by received heartbeats.
    """

    identity: Identity
    peers: Peers
    catalogue: Catalogue = field(default_factory=Catalogue)
    backends: BackendsSection = field(default_factory=BackendsSection)
    leaving: bool = False
    suspects: SuspectsSection = field(default_factory=SuspectsSection)
    prompt_parts: PromptParts = field(init=False)
    whole_requests: WholeRequests = field(init=False)
    holdings: Holdings = field(default_factory=Holdings)

    def __post_init__(self) -> None:
        self.prompt_parts = PromptParts(self.suspects, self.peers.own_host)
        self.whole_requests = WholeRequests(self.suspects, self.peers.own_host)
