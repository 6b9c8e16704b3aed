"""Start the machines of a small deployment as processes."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import tomllib

import engines
import store as stores
import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 20.0
PASSED_VARIABLES = ('PATH', 'HOME', 'LANG')
PORT_KINDS = ('front', 'ready', 'control', 'directory', 'metrics')
GRACE_S = 8
LIMIT_S = 110
BROKEN_STATUS = 10


class NotReadyError(Exception):
    """Raised if the case can't run."""


class Fleet:
    """Machines, store and engines of one run, and the record of it."""

    def __init__(self, record_path):
        self.folder = tempfile.TemporaryDirectory(prefix='review-')
        self.record_file = open(record_path, 'w')  # noqa: SIM115
        self.started_at = time.monotonic()
        self.store = stores.Store()
        self.endpoints = {}
        self.process_by_machine = {}
        self.host_by_machine = {}
        self.port_by_kind = {}
        self.command = _read_command()

    def record(self, kind, **fields):
        """Write one line on what was sent, answered or run."""
        at_s = round(time.monotonic() - self.started_at, 3)
        line = {'at_s': at_s, 'what': kind, **fields}
        self.record_file.write(json.dumps(line) + '\n')
        self.record_file.flush()

    async def start_machines(self, names, zones=('a', 'b', 'c')):
        """Start the machines and open their links to the store."""
        for number, name in enumerate(names):
            self.host_by_machine[name] = f'127.0.0.{10 + number}'
        hosts = list(self.host_by_machine.values())
        self.port_by_kind = {
            kind: wire.find_free_port(hosts) for kind in PORT_KINDS
        }
        for number, name in enumerate(names):
            host = self.host_by_machine[name]
            port = wire.find_free_port([host])
            await self.store.listen(name, host, port)
            settings = self._make_settings(
                name, zones[number % len(zones)], f'{host}:{port}'
            )
            path = pathlib.Path(self.folder.name) / f'{name}.jsonc'
            path.write_text(json.dumps(settings, indent=2))
            self.start(name)
        for name in names:
            await self.wait_ready(name)

    def start(self, name):
        """Start the process of a machine."""
        path = pathlib.Path(self.folder.name) / f'{name}.jsonc'
        command = [
            str(path) if word.startswith('/etc/') else word
            for word in self.command
        ]
        environment = {
            key: os.environ[key]
            for key in PASSED_VARIABLES
            if key in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        log = open(self.get_log(name), 'ab')  # noqa: SIM115
        self.process_by_machine[name] = subprocess.Popen(
            command,
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.record('start', machine=name)

    def get_log(self, name):
        """Return the path of what a machine writes."""
        return pathlib.Path(self.folder.name) / f'{name}.log'

    def get_address(self, name, kind='front'):
        """Return an address of a machine."""
        return f'{self.host_by_machine[name]}:{self.port_by_kind[kind]}'

    def send_signal(self, name, number):
        """Send a signal to the process of a machine."""
        process = self.process_by_machine[name]
        if process.poll() is None:
            os.kill(process.pid, number)
            self.record('signal', machine=name, signal=number.name)

    async def restart(self, name, number=signal.SIGTERM):
        """Stop a machine as the platform does, and start it again."""
        self.send_signal(name, number)
        process = self.process_by_machine[name]
        deadline = time.monotonic() + GRACE_S
        while process.poll() is None:
            if time.monotonic() > deadline:
                process.kill()
            await asyncio.sleep(0.05)
        self.start(name)
        await self.wait_ready(name)

    async def wait_ready(self, name):
        """Wait until a machine is ready."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        address = self.get_address(name, 'ready')
        while True:
            status, _ = await wire.send(
                address, 'GET', '/-/readiness', (('Host', address),)
            )
            if status == 200:
                return
            if time.monotonic() > deadline:
                raise NotReadyError(f'{name} is not ready')
            await asyncio.sleep(0.05)

    async def add_endpoint(self, endpoint_id, service, version_by_model=None):
        """Start an engine or a plain service."""
        host = f'127.0.1.{10 + len(self.endpoints)}'
        endpoint = engines.Endpoint(
            self.store,
            self.record,
            endpoint_id,
            service,
            host,
            wire.find_free_port([host]),
            'abc'[len(self.endpoints) % 3],
        )
        endpoint.version_by_model = dict(version_by_model or {})
        self.endpoints[endpoint_id] = endpoint
        await endpoint.start()
        return endpoint

    def close(self):
        """End all processes and stand-ins of this run."""
        for process in self.process_by_machine.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.process_by_machine.values():
            process.wait()
        for endpoint in self.endpoints.values():
            endpoint.stop()
        for server in self.store.server_by_machine.values():
            server.stop()
        self.record_file.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for path in pathlib.Path(self.folder.name).glob('*.log'):
                target = pathlib.Path(keep) / path.name
                target.write_bytes(path.read_bytes())
        self.folder.cleanup()

    def _make_settings(self, name, zone, table_address):
        seeds = [
            f'{host}:{self.port_by_kind["control"]}'
            for host in list(self.host_by_machine.values())[:3]
        ]
        return {
            'name': name,
            'availability_zone': zone,
            'caller_address': self.get_address(name, 'front'),
            'readiness_address': self.get_address(name, 'ready'),
            'directory_address': self.get_address(name, 'directory'),
            'metrics_address': self.get_address(name, 'metrics'),
            'relay_address': self.get_address(name, 'control'),
            'seed_addresses': seeds,
            'table_address': table_address,
            'stop_limit_s': GRACE_S,
            'takeover_wait_ms': 3000,
            'engines_check_fences': True,
            'core_share': 0.717,
            'core_speed': 3,
            'job_kept_s': 120,
            'directory_ttl_s': 1,
        }


def _read_command():
    with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
        roles = tomllib.load(file)['roles']
    return roles['entry']['run'].split()


def make_configuration(version=1, **changes):
    """Return an operator's configuration of a trainer and a plain route."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'rollouts',
                'hostname': 'r.example',
                'path_prefix': '/rollouts/',
                'route_type': 'rollout',
                'service': 'llm',
                'timeout_ms': 10_000,
                'target_latency_ms': 400,
                'max_attempts': 3,
                'priority': 1,
                'resumable': True,
                'sticky': True,
                'result_deadline_ms': 7500,
                'item_ttl_s': 40,
            },
            {
                'name': 'lookups',
                'hostname': 'r.example',
                'path_prefix': '/lookups/',
                'route_type': 'idempotent',
                'service': 'app',
                'timeout_ms': 1500,
                'target_latency_ms': 240,
                'max_attempts': 3,
                'priority': 2,
                **changes,
            },
        ],
        'services': [
            {'name': 'llm', 'engine': {'models': [{'name': 'm0'}]}},
            {'name': 'app'},
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 33_554_432,
            'header_timeout_ms': 5000,
            'idle_timeout_ms': 15_000,
        },
    }


def run_case(main, record_path):
    """Run a case; exit with 10 if the rule was broken, with 0 if it held.

    Any other status means that the case could not run.
    """

    async def run():
        fleet = Fleet(record_path)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(LIMIT_S):
                broken = await main(fleet)
            fleet.record('verdict', broken=broken)
            for line in broken:
                print(line)
            print('The rule was broken.' if broken else 'The rule held.')
            return BROKEN_STATUS if broken else 0
        except Exception as error:
            fleet.record('could-not-run', detail=repr(error))
            print(f'The case could not run: {error!r}')
            return 2
        finally:
            fleet.close()

    raise SystemExit(asyncio.run(run()))
