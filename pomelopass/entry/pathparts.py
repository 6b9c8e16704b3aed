"""Assemble the paths of an instance to endpoints."""

import asyncio
from collections import abc
import dataclasses
import random

from ..fleet import member
from ..paths import book as books
from ..paths import endpointpaths
from ..paths import peers as peerbooks
from ..paths import ports
from ..paths import search as searches
from ..paths import tunnelserver
from ..paths import watch as watches
from ..registry import endpoint as endpoints
from ..registry import registry as registries
from ..reporting import logevents

__all__ = ['PathParts', 'build_path_parts']


@dataclasses.dataclass(frozen=True, slots=True)
class PathParts:
    """Own links, the paths over peers, and the tunnels for peers."""

    book: books.PathBook
    watch: watches.PathWatch
    endpoints: endpointpaths.EndpointPaths
    tunnels: tunnelserver.TunnelServer


def build_path_parts(
    availability_zone: str,
    direct: ports.DirectPort,
    peer_port: ports.PeerPort,
    membership: member.Membership,
    registry: registries.Registry,
    is_stopping: abc.Callable[[], bool],
    rng: random.Random,
    write_event: logevents.WriteEvent,
) -> PathParts:
    """Return the parts of an instance."""
    book = books.PathBook(lambda: len(registry.state_by_id), write_event)

    def get_peers() -> list[member.Member]:
        return membership.get_helpers(asyncio.get_running_loop().time())

    peer_book = peerbooks.PeerBook(
        membership.own_name, availability_zone, get_peers, write_event
    )
    search = searches.PeerSearch(peer_port, peer_book, registry, rng)
    watch = watches.PathWatch(book, direct, registry, search, rng)
    paths = endpointpaths.EndpointPaths(direct, peer_port, book, watch, search)
    _connect_notices((direct, peer_port), registry)

    def doubt_link(endpoint_id: str) -> None:
        book.record_failure(endpoint_id)
        watch.wake()

    tunnels = tunnelserver.TunnelServer(
        registry.find_open,
        is_stopping,
        book,
        doubt_link,
        registry.record_leaving,
    )
    return PathParts(book, watch, paths, tunnels)


def _connect_notices(
    ports_to_endpoints: tuple[ports.DirectPort, ports.PeerPort],
    registry: registries.Registry,
) -> None:
    """Let the registry know of endpoints that say that they leave."""

    def record(target: endpoints.Endpoint) -> None:
        registry.record_leaving(target.id, target.started_at_ms)

    for port in ports_to_endpoints:
        port.set_on_leaving(record)
