"""Run complete instances and stand-ins in memory on a virtual clock."""

import argparse
import asyncio
import dataclasses
import random

from pomelopass.edges import storeclient
from pomelopass import message
from pomelopass import ports
from pomelopass import route
from pomelopass.running import context as contexts
from pomelopass.running import gossip
from pomelopass.running import instance
from pomelopass.running import settings
from standins import engine
from standins import instances
from standins import memory
from standins import objects
from standins import server
from standins import service
from standins import table
from standins import virtualloop

__all__ = ['Cluster', 'Member']

TOKEN = 'token'
TABLE = 'table:1'
OBJECTS = 'objects:1'
LISTING = 'listing:1'
PLATFORM_ZONE = 'platform'


@dataclasses.dataclass(slots=True)
class Member:
    """An instance with its gate, clock and peer client."""

    context: contexts.Context
    gate: memory.Gate
    clock: virtualloop.VirtualClock
    peers: memory.MemoryPeers

    def freeze(self) -> None:
        """Block the instance at its next network call."""
        self.gate.open.clear()

    def thaw(self) -> None:
        """Resume a frozen instance."""
        self.gate.open.set()

    def kill(self) -> None:
        """End the instance and cancel its running tasks."""
        self.gate.dead = True
        for task in list(self.context.tasks):
            task.cancel()


class Cluster:
    """Instances, endpoints and platform services of one run."""

    def __init__(self, seed: int, zones: tuple[str, ...]):
        self.rng = random.Random(seed)
        self.zones = zones
        self.network = memory.MemoryNetwork(self.rng)
        self.member_by_name: dict[str, Member] = {}
        self.engine_by_name: dict[str, engine.Engine] = {}
        self.service_by_name: dict[str, service.Service] = {}
        self.handlers: dict[str, object] = {}
        self.gates: dict[str, memory.Gate] = {}
        self.table = table.Table(self._listen('table', TABLE))
        self.objects = objects.Objects(self._listen('objects', OBJECTS))
        self.listing = instances.Instances(
            self._listen('listing', LISTING), 300.0
        )

    def _listen(self, name: str, address: str, zone: str = PLATFORM_ZONE):
        app = server.App(name)
        self.network.handler_by_address[address] = app.handle
        self.network.zone_by_address[address] = zone
        return app

    def add_engine(
        self, name: str, pool: str, zone: str, **options: object
    ) -> engine.Engine:
        """Add a model engine and list it immediately."""
        values = {
            'incarnation': '1',
            'token_ms': 5.0,
            'slots': 8,
            'checks_fencing': False,
            'weight_store': '',
            'load_ms': 200.0,
            'load_lag_ms': 1000.0,
            'straggle_share': 0.0,
            'name': name,
            **options,
        }
        address = f'{name}:1'
        app = self._listen(name, address, zone)
        model_engine = engine.Engine(app, argparse.Namespace(**values))
        model_engine.crash = lambda: self._crash(address)
        self.engine_by_name[name] = model_engine
        self.list_endpoint(name, pool, zone, str(values['incarnation']))
        return model_engine

    def add_service(
        self, name: str, pool: str, zone: str, work_ms: float = 5.0
    ) -> service.Service:
        """Add a plain service and list it immediately."""
        app = self._listen(name, f'{name}:1', zone)
        plain_service = service.Service(app, '1', work_ms)
        self.service_by_name[name] = plain_service
        self.list_endpoint(name, pool, zone, '1')
        return plain_service

    def _crash(self, address: str) -> None:
        self.network.refused.add(address)
        raise ConnectionResetError

    def list_endpoint(
        self,
        name: str,
        pool: str,
        zone: str,
        incarnation: str,
        leaving: bool = False,
    ) -> None:
        """Put an endpoint on the platform's list without lag."""
        self.listing.change(
            name,
            {
                'id': name,
                'kind': 'endpoint',
                'incarnation': incarnation,
                'pool': pool,
                'address': f'{name}:1',
                'availability_zone': zone,
                'leaving': leaving,
            },
        )

    def add_member(self, name: str, zone: str) -> Member:
        """Build and start an instance."""
        gate = memory.Gate(asyncio.Event())
        gate.open.set()
        clock = virtualloop.VirtualClock()
        http = memory.MemoryHttp(self.network, name, zone, gate)
        peers = memory.MemoryPeers(self.network, name, zone, gate)
        peers.handler_by_address = self.handlers
        peers.gate_by_address = self.gates
        bundle = ports.Ports(
            clock=clock,
            rng=random.Random(self.rng.random()),
            http=http,
            table=storeclient.TableClient(http, TABLE),
            objects=storeclient.ObjectClient(http, OBJECTS),
            fetch_listing=storeclient.make_fetch_listing(http, LISTING),
            peers=peers,
            write_event=lambda kind, fields: None,
        )
        context = instance.build_instance(
            make_settings(name, zone), bundle, TOKEN
        )
        self._connect(context, name, zone, gate)
        member = Member(context, gate, clock, peers)
        self.member_by_name[name] = member
        instance.start(context)
        return member

    def _connect(
        self,
        context: contexts.Context,
        name: str,
        zone: str,
        gate: memory.Gate,
    ) -> None:
        address = f'{name}:2'
        context.addresses.callers = f'{name}:1'
        context.addresses.peers = address
        self.handlers[address] = gossip.PeerHandler(context)
        self.gates[address] = gate
        self.network.zone_by_address[address] = zone
        self.listing.change(
            name,
            {
                'id': name,
                'kind': 'entry',
                'address': address,
                'availability_zone': zone,
            },
        )

    async def propose(self, name: str, base: int, text: str):
        """Propose a configuration to an instance."""
        value = {'base_version': base, 'author': 'test', 'text': text}
        return await self.send_operator_request(name, 'POST', '/config', value)

    async def send_operator_request(
        self, name: str, method: str, target: str, value: object = None
    ) -> message.Reply:
        """Send an operator's request to an instance."""
        headers = (('authorization', f'Bearer {TOKEN}'),)
        body = b'' if value is None else server.make_json(value).body
        request = message.Request(method, target, headers, body)
        context = self.member_by_name[name].context
        return await route.handle_operator(context, request)

    async def send_request(
        self,
        name: str,
        method: str,
        target: str,
        value: object = None,
        headers: message.Headers = (),
    ) -> message.Reply:
        """Send a caller's request to an instance."""
        body = b'' if value is None else server.make_json(value).body
        request = message.Request(method, target, headers, body)
        member = self.member_by_name[name]
        await member.gate.wait()
        return await route.handle_caller(member.context, request)


def make_settings(name: str, zone: str) -> settings.Settings:
    """Return the settings of an in-memory instance."""
    return settings.Settings(
        id=name,
        availability_zone=zone,
        caller_address='127.0.0.1:1',
        peer_address='127.0.0.1:2',
        operator_address='127.0.0.1:3',
        operator_token_file='none',
        table_address='127.0.0.1:4',
        object_address='127.0.0.1:5',
        list_address='127.0.0.1:6',
    )
