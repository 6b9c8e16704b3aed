"""Assemble the clients of an instance for what lies outside it."""

import dataclasses
import random
import time

from . import connecttimes
from ..edges import httpclient
from ..limits import peers
from . import node as nodes
from ..paths import ports as pathports
from ..paths import tunnelclient
from ..platform import dutyclient
from ..platform import endpointclient
from ..platform import rowclient
from ..reporting import logevents
from . import settings as entrysettings
from . import usageparts

__all__ = ['HttpClients', 'make_ports']


@dataclasses.dataclass(frozen=True, slots=True)
class HttpClients:
    """HTTP clients, each with its own pool of connections."""

    table: httpclient.HttpClient = dataclasses.field(
        default_factory=httpclient.HttpClient
    )
    connect_times: connecttimes.ConnectTimes = dataclasses.field(
        default_factory=connecttimes.ConnectTimes
    )
    endpoints: httpclient.HttpClient = dataclasses.field(init=False)
    tunnels: httpclient.HttpClient = dataclasses.field(
        default_factory=lambda: httpclient.HttpClient(
            tunnelclient.open_tunnel, pathports.PEER_TIMEOUT_MS
        )
    )
    duties: httpclient.HttpClient = dataclasses.field(
        default_factory=httpclient.HttpClient
    )

    def __post_init__(self) -> None:
        """Let the client of the endpoints report its connections."""
        endpoints = httpclient.HttpClient(
            self.connect_times.open_connection,
            endpointclient.CONNECT_TIMEOUT_MS,
        )
        object.__setattr__(self, 'endpoints', endpoints)

    async def close(self) -> None:
        """Close the idle connections."""
        for client in (
            self.table,
            self.endpoints,
            self.tunnels,
            self.duties,
        ):
            await client.close()


def make_ports(
    settings: entrysettings.EntrySettings,
    clients: HttpClients,
    write_event: logevents.WriteEvent,
) -> nodes.NodePorts:
    """Return the ports of a new start of an instance."""
    rng = random.SystemRandom()
    table = rowclient.RowClient(clients.table, settings.table_address)
    return nodes.NodePorts(
        table=table,
        fresh_table=table.make_fresh(),
        endpoints=endpointclient.EndpointClient(clients.endpoints),
        peer_endpoints=tunnelclient.PeerEndpoints(
            endpointclient.EndpointClient(clients.tunnels), write_event
        ),
        rng=rng,
        write_event=write_event,
        get_lease_now=lambda: time.clock_gettime(time.CLOCK_BOOTTIME),
        incarnation=f'{settings.name}-{rng.getrandbits(48):012x}',
        permit_peers=peers.ThriftPeers(),
        duties=_make_duty_ports(settings, clients),
        connect_times=clients.connect_times,
    )


def _make_duty_ports(
    settings: entrysettings.EntrySettings, clients: HttpClients
) -> usageparts.DutyPorts | None:
    if not settings.duty_address or not settings.duty_calls_per_s:
        return None
    client = dutyclient.DutyClient(
        clients.duties,
        settings.duty_address,
        settings.duty_calls_per_s,
        settings.engines_check_fences,
    )
    return usageparts.DutyPorts(client, client, lambda: time.time() * 1000)
