"""Relay table calls between the in-memory instances of a cluster."""

import asyncio
from collections import abc
import random
from typing import Protocol

from pomelopass.edges import peercall
from pomelopass.edges import peerframe
from pomelopass.entry import node as nodes
from pomelopass.table import relay
from pomelopass.wire.gen.relay import TableRelay

__all__ = ['InMemoryRelay']

HOP_S = 0.004


class Peer(Protocol):
    """An instance that may relay calls."""

    node: nodes.Node
    alive: bool
    # Whether calls of peers fail.
    unreachable: bool


class InMemoryRelay(relay.RelayedTable):
    """Relay client whose addresses are the names of instances."""

    def __init__(
        self,
        peer_by_name: abc.Mapping[str, Peer],
        own_name: str,
        rng: random.Random,
        choice: relay.PeerChoice,
        is_second: bool = False,
    ):
        super().__init__(self._get_names, rng, choice, is_second)
        self.peer_by_name = peer_by_name
        self.own_name = own_name

    def _get_names(self) -> list[str]:
        return sorted(
            name
            for name, peer in self.peer_by_name.items()
            if peer.alive and name != self.own_name
        )

    async def _connect(self, address: str) -> peercall.Connection:
        peer = self.peer_by_name[address]
        if not peer.alive:
            raise ConnectionRefusedError
        if peer.unreachable:
            await asyncio.sleep(relay.CONNECT_TIMEOUT_MS / 1000)
            raise TimeoutError
        await asyncio.sleep(HOP_S)
        return peer

    def _drop(self, connection: Peer) -> None:
        """Do nothing: no connection is held."""

    async def _exchange(self, connection: peercall.Connection, send, receive):
        protocol = peerframe.make_writer()
        send(TableRelay.Client(protocol))
        frame = protocol.trans.getvalue()
        async with asyncio.timeout(relay.CALL_TIMEOUT_MS / 1000):
            answer, _ = await connection.node.relay_server.process(frame)
            await asyncio.sleep(HOP_S)
        return receive(TableRelay.Client(peerframe.make_reader(answer)))
