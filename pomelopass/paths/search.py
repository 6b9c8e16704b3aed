"""Find a peer that reaches endpoints while own links are lost."""

import asyncio
import random

from ..fleet import member
from . import peers as peerbooks
from . import ports
from ..registry import endpoint as endpoints
from ..registry import registry as registries
from ..requests import call as calls

__all__ = ['PeerSearch']

# Peers that are asked at once, so that no caller waits for them.
SEARCHED_PEERS = 4


class PeerSearch:
    """Asks peers for connections while none is known to help."""

    def __init__(
        self,
        peer_port: ports.PeerPort,
        peer_book: peerbooks.PeerBook,
        registry: registries.Registry,
        rng: random.Random,
    ):
        self.peer_port = peer_port
        self.peer_book = peer_book
        self.registry = registry
        self.rng = rng

    async def run(self) -> None:
        """Ask some peers unless one helps already."""
        now = asyncio.get_running_loop().time()
        endpoint_ids = sorted(self.registry.state_by_id)
        if not endpoint_ids or self.peer_book.has_helper(now):
            return
        target = self.registry.state_by_id[
            self.rng.choice(endpoint_ids)
        ].endpoint
        peers = self.peer_book.choose(target.id, now, SEARCHED_PEERS)
        await asyncio.gather(*(self.ask(peer, target) for peer in peers))

    async def ask(
        self, peer: member.Member, target: endpoints.Endpoint
    ) -> bool:
        """Return whether a peer opens a connection to an endpoint."""
        loop = asyncio.get_running_loop()
        try:
            await self.peer_port.connect(peer, target)
        except calls.CallFailedError as error:
            self.peer_book.record_failure(
                peer.name, target.id, error.kind, loop.time()
            )
            return False
        self.peer_book.record_served(peer.name, target.id, loop.time())
        return True
