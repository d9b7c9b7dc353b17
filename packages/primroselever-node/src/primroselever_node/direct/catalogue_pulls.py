"""
Pulls of the catalogue from peers that have something later.

A peer that has just named a change may lose power, freeze or be cut off before it sends
its catalogue. Therefore a pull that takes unusually long is joined by one from another
peer, and a peer from which a pull failed is asked last for some time.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import eventlet

from primroselever_core.gossip.readers import reads_store

from .. import clock
from ..logs import log_decision
from ..rpc.client_pool import ClientPool, LostReplyError, NeverSentError
from .configurations import record_configuration
from .evacuations import record_evacuations
from .received_catalogues import unpack_catalogue
from .restores import record_late_answer, record_restore
from .schema import schema
from .sources import CataloguePart

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroselever_core.catalogue.catalogue_copy import CatalogueCopy
    from primroselever_core.direct_board import DirectBoard
    from primroselever_core.gossip.peers import Peer

PULL_DELAY_S = 0.15  # this entry's own watch usually delivers the change by then
PULL_TIMEOUT_S = 2.0
# After which another peer is asked as well: the delay, and several round trips between
# failure domains. A configuration must be in force within 2 s.
NEXT_PULL_S = 0.4
MAX_PULLS = 4
# Of these, from other failure domains: on a congested link between domains all pulls
# are slow, and each further copy delays the others.
MAX_DISTANT_PULLS = 2
FAILED_PEER_S = 5.0  # the time for which a peer that did not answer is asked last
MAX_ERROR_CHARACTERS = 200  # of a log line; an invalid copy may have many errors

logger = logging.getLogger(__name__)


class CataloguePuller:
    """
    Pulls and merges the catalogues of peers that are ahead.

    ``pulls`` holds the failure domains by host of the peers that are being asked, and
    ``failed_until`` the time until which a peer is asked last. ``next_pull_at`` is when
    another peer may be asked.
    """

    def __init__(
        self,
        board: DirectBoard,
        control_port: int,
        on_change: Callable[[CataloguePart], None],
    ) -> None:
        self.board = board
        self.control_port = control_port
        self.on_change = on_change
        self.pool = ClientPool(schema.DirectPeer)
        self.pulls: dict[str, str] = {}
        self.failed_until: dict[str, float] = {}
        self.next_pull_at = 0.0

    def pull_if_behind(self) -> None:
        """Start a pull from a peer that is ahead, unless enough are active."""
        now = clock.now()
        if len(self.pulls) >= MAX_PULLS or now < self.next_pull_at:
            return
        peer = self.choose_peer(now)
        if peer is None:
            return
        self.pulls[peer.host] = peer.failure_domain
        self.next_pull_at = now + NEXT_PULL_S
        eventlet.spawn(self.pull, peer)
        eventlet.spawn_after(NEXT_PULL_S, self.pull_if_behind)

    def choose_peer(self, now: float) -> Peer | None:
        """
        Return the peer to ask next, None if there is none.

        Of the peers that did not fail lately, those of the own failure domain are
        asked first, and among these the one that sent the latest heartbeat.
        """
        self.failed_until = {
            host: until for host, until in self.failed_until.items() if now < until
        }
        own_domain = self.board.peers.own_domain
        distant = sum(domain != own_domain for domain in self.pulls.values())
        ahead = [
            peer
            for peer in self.board.peers.live(now)
            if peer.host not in self.pulls
            and peer.is_ahead_of(self.board.catalogue)
            and (peer.failure_domain == own_domain or distant < MAX_DISTANT_PULLS)
        ]
        return min(
            ahead,
            key=lambda peer: (
                peer.host in self.failed_until,
                peer.failure_domain != own_domain,
                -peer.last_heartbeat_at,
            ),
            default=None,
        )

    def should_delay_pull(self, peer: Peer) -> bool:
        """
        Return whether to wait before pulling from a peer.

        This entry's own watch of the store, or a peer in its own failure domain, may
        deliver the same change by a shorter path.
        """
        if self.board.catalogue.configuration is None:
            return False
        peers = self.board.peers
        era = self.board.catalogue.store_position.era
        return peer.failure_domain != peers.own_domain or reads_store(
            peers, clock.now(), era
        )

    def pull(self, peer: Peer) -> None:
        """Merge a peer's catalogue, unless this process has caught up meanwhile."""
        started_at = clock.now()
        try:
            if self.should_delay_pull(peer):
                eventlet.sleep(PULL_DELAY_S)
            if not peer.is_ahead_of(self.board.catalogue):
                self.next_pull_at = 0.0
                return
            data = self.pool.call_with_retry(
                (peer.host, self.control_port),
                "fetch_catalogue",
                self.board.catalogue.store_position.revision,
                True,
                timeout_s=PULL_TIMEOUT_S,
            )
            copy = unpack_catalogue(data)
        except (NeverSentError, LostReplyError, ValueError) as exc:
            now = clock.now()
            self.failed_until[peer.host] = now + FAILED_PEER_S
            logger.warning(
                "failed to fetch the catalogue from a peer",
                extra={
                    "peer": peer.host,
                    "took_s": round(now - started_at, 3),
                    "error": str(exc)[:MAX_ERROR_CHARACTERS],
                },
            )
            return
        finally:
            self.pulls.pop(peer.host, None)
        self.merge_copy(copy, peer)
        # A peer whose configuration was left out stays ahead, and is not asked again at
        # each heartbeat of any peer.
        own_revision = self.board.catalogue.configuration_revision
        if (
            copy.configuration is not None
            or peer.configuration_revision <= own_revision
        ):
            self.next_pull_at = 0.0

    def merge_copy(self, copy: CatalogueCopy, peer: Peer) -> None:
        """Merge the copy of a peer's catalogue into the own one."""
        catalogue = self.board.catalogue
        previous_position = catalogue.store_position
        previous_revision = catalogue.configuration_revision
        proof_at = catalogue.freshness.proof_at
        previous_evacuations = dict(catalogue.evacuations.in_force)
        if copy.store_era < previous_position.era:
            record_late_answer(peer.host, copy.store_position, previous_position.era)
        now = clock.now()
        if catalogue.merge(copy, now):
            record_restore(peer.host, previous_position, catalogue)
            record_configuration(catalogue, previous_revision, peer.host, "peer")
            record_evacuations(catalogue, previous_evacuations, peer.host, "peer")
            configuration = catalogue.configuration
            log_decision(
                "catalogue changed",
                "peer",
                peer.host,
                "the peer's catalogue was newer",
                configuration=configuration.revision if configuration else None,
                weights=copy.weights,
                servers=len(catalogue.servers),
                proof_age_s=None if proof_at is None else round(now - proof_at, 3),
            )
            self.on_change(CataloguePart.OPERATOR)
            self.on_change(CataloguePart.SERVERS)
