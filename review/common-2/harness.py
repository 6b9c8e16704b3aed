"""Start a small deployment as processes and record what callers see.

Only the standard library is used here. The instances are started with the
`run` command of deploy/system.toml, and the table, the engines and the plain
service with the project's own stand-in of the platform. All addresses are
loopback addresses.
"""

import base64
import contextlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PLATFORM = ROOT / 'review' / 'common-2' / 'platform_standin.py'
HOST = 'trainer.test'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# Exit statuses of a case; run.sh turns BROKEN into 1.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2
READY_TIMEOUT_S = 25.0


class CouldNotRunError(Exception):
    """Raised when the deployment does not come up or work as needed."""


class Record:
    """Lines of record.txt, with seconds since the start of the script."""

    def __init__(self, folder: pathlib.Path):
        self.file = open(folder / 'record.txt', 'w')  # noqa: SIM115
        self.started_at = time.monotonic()
        self.lock = threading.Lock()

    def write(self, line: str) -> None:
        """Write a line with the time."""
        elapsed_s = time.monotonic() - self.started_at
        with self.lock:
            self.file.write(f'{elapsed_s:7.3f} {line}\n')
            self.file.flush()


class Proxy:
    """TCP proxy between one instance and an address.

    A connection that is silenced stays open in both directions and carries no
    byte any more; new connections work.
    """

    def __init__(self, target: str):
        host, _, port = target.rpartition(':')
        self.target = (host, int(port))
        self.listener = socket.create_server(('127.0.0.1', 0), backlog=256)
        self.address = f'127.0.0.1:{self.listener.getsockname()[1]}'
        self.links: list[_Link] = []
        self.delay_s = 0.0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            link = _Link(self, client)
            self.links.append(link)
            threading.Thread(target=link.run, daemon=True).start()

    def silence(self, matches) -> list[str]:
        """Silence the open connections whose last request line matches."""
        silenced = []
        for link in self.links:
            if link.is_open and matches(link.request_line):
                link.is_silent = True
                silenced.append(link.request_line)
        return silenced

    def close(self) -> None:
        """End all connections."""
        self.listener.close()
        for link in self.links:
            link.close()


class _Link:
    def __init__(self, proxy: Proxy, client: socket.socket):
        self.proxy = proxy
        self.client = client
        self.server: socket.socket | None = None
        self.request_line = ''
        self.is_silent = False
        self.is_open = True

    def run(self) -> None:
        """Carry bytes in both directions until an end closes."""
        try:
            self.server = socket.create_connection(self.proxy.target)
            for end in (self.client, self.server):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            self.close()
            return
        up = threading.Thread(target=self._carry_up, daemon=True)
        up.start()
        self._carry(self.server, self.client)

    def _carry_up(self) -> None:
        self._carry(self.client, self.server)

    def _carry(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(65536):
                if source is self.client:
                    line = data.split(b'\r\n', 1)[0]
                    if line.endswith(b'HTTP/1.1'):
                        self.request_line = line.decode('latin-1')
                elif self.proxy.delay_s:
                    time.sleep(self.proxy.delay_s)
                if self.is_silent:
                    # The bytes are lost; neither end learns of it.
                    continue
                sink.sendall(data)
        except OSError:
            pass
        if not self.is_silent:
            self.close()

    def close(self) -> None:
        """End the connection."""
        self.is_open = False
        for end in (self.client, self.server):
            if end is None:
                continue
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()


class Deployment:
    """Processes of one script; a context manager that ends them."""

    def __init__(self, record: Record):
        self.record = record
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.popen_by_name: dict[str, subprocess.Popen] = {}
        self.settings_by_name: dict[str, dict] = {}
        self.reserved: list[socket.socket] = []
        self.proxies: list[Proxy] = []
        self.table_address = ''
        self.environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.command = deploy['roles']['entry']['run'].split()

    def __enter__(self) -> 'Deployment':
        return self

    def __exit__(self, *details) -> None:
        for popen in self.popen_by_name.values():
            if popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
                popen.kill()
        for popen in self.popen_by_name.values():
            popen.wait()
        for proxy in self.proxies:
            proxy.close()
        for reserved in self.reserved:
            reserved.close()
        self.temporary.cleanup()

    def start_platform(self, *options: str) -> None:
        """Start the project's stand-in of the table and the endpoints."""
        popen = subprocess.Popen(
            ['python3', '-S', str(PLATFORM), *options],
            cwd=ROOT,
            env={
                **self.environment,
                'PYTHONPATH': f'{ROOT}:{ROOT / "target" / "deps"}',
            },
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        self.popen_by_name['platform'] = popen
        line = popen.stdout.readline()
        if not line:
            raise CouldNotRunError('the stand-in does not start')
        self.table_address = json.loads(line)['address']

    def make_proxy(self, target: str) -> Proxy:
        """Start a proxy that ends with the deployment."""
        proxy = Proxy(target)
        self.proxies.append(proxy)
        return proxy

    def start_entry(self, name: str, **changes: object) -> None:
        """Start an instance, or start it again with its old addresses."""
        if name not in self.settings_by_name:
            self.settings_by_name[name] = self._make_settings(name, changes)
        path = self.folder / f'{name}.jsonc'
        path.write_text(json.dumps(self.settings_by_name[name]))
        command = [
            str(path) if word == '/etc/pomelopass/boot.yaml' else word
            for word in self.command
        ]
        log = open(self.folder / f'{name}.log', 'ab')  # noqa: SIM115
        self.popen_by_name[name] = subprocess.Popen(
            command,
            cwd=ROOT,
            env=self.environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )

    def _make_settings(self, name: str, changes: dict) -> dict:
        kinds = (
            'caller_address',
            'readiness_address',
            'directory_address',
            'relay_address',
        )
        settings: dict[str, object] = {}
        for kind in kinds:
            reserved = socket.socket()
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved.bind(('127.0.0.1', 0))
            self.reserved.append(reserved)
            settings[kind] = f'127.0.0.1:{reserved.getsockname()[1]}'
        zones = ('north', 'middle', 'south')
        seeds = [
            other['relay_address'] for other in self.settings_by_name.values()
        ]
        settings.update(
            name=name,
            availability_zone=zones[len(self.settings_by_name) % 3],
            seed_addresses=seeds[:3],
            table_address=self.table_address,
            stop_limit_s=8,
            takeover_wait_ms=3000,
            engines_check_fences=True,
            memory_mb=320,
            max_descriptors=8200,
            job_kept_s=120,
            directory_ttl_s=1,
        )
        settings.update(changes)
        return settings

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.record.write(f'signal {number.name} to {name}')
        self.popen_by_name[name].send_signal(number)

    def is_running(self, name: str) -> bool:
        """Return whether a process runs."""
        return self.popen_by_name[name].poll() is None

    def get_address(self, name: str, kind: str = 'caller_address') -> str:
        """Return an address of an instance."""
        return self.settings_by_name[name][kind]

    def wait_ready(self) -> None:
        """Wait until all instances are ready."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        for name in self.settings_by_name:
            address = self.get_address(name, 'readiness_address')
            while call(address, 'GET', '/-/readiness')[0] != 200:
                if time.monotonic() > deadline:
                    raise CouldNotRunError(f'{name} is not ready')
                time.sleep(0.1)

    def get_log(self, name: str) -> str:
        """Return what an instance has logged."""
        return (self.folder / f'{name}.log').read_text(errors='replace')

    def put_row(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator does; the answer acknowledges it."""
        body = {'table': table, 'key': key, 'value': value}
        status, _ = call(self.table_address, 'POST', '/rows', body)
        if status != 200:
            raise CouldNotRunError(f'the table answers {status}')

    def change_endpoint(self, name: str, **changes: object) -> None:
        """Change the behaviour of an endpoint of the stand-in."""
        body = {'id': name, **changes}
        call(self.table_address, 'POST', '/endpoint', body)

    def get_seen(self) -> dict:
        """Return what the endpoints received and ran."""
        return call(self.table_address, 'GET', '/seen')[1]


def call(
    address: str,
    method: str,
    target: str,
    value: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> tuple[int, dict]:
    """Return status and JSON body; status 0 without a whole answer."""
    body = value
    if value is not None and not isinstance(value, bytes):
        body = json.dumps(value).encode()
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(
            method,
            target,
            body,
            {'Content-Type': 'application/json', **(headers or {})},
        )
        response = connection.getresponse()
        content = response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        connection.close()
    try:
        return response.status, json.loads(content or b'{}')
    except ValueError:
        return response.status, {}


def make_route(name: str, route_type: str, service: str, **changes) -> dict:
    """Return a route of the operator's configuration."""
    return {
        'name': name,
        'hostname': HOST,
        'path_prefix': f'/{name}/',
        'route_type': route_type,
        'service': service,
        'timeout_ms': 10_000,
        'target_latency_ms': 400,
        'max_attempts': 3,
        **changes,
    }


def make_configuration(
    version: int, routes: list[dict], models: list[str], **limits: int
) -> dict:
    """Return a whole configuration as the operator writes it."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'engines',
                'engine': {'models': [{'name': name} for name in models]},
            },
            {'name': 'desk'},
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 33_554_432,
            'header_timeout_ms': 5000,
            'idle_timeout_ms': 15_000,
            **limits,
        },
    }


def make_job(
    job_id: str,
    route: str,
    model: str,
    groups: int,
    size: int,
    body: bytes = b'prompt',
) -> dict:
    """Return the body of a job's submission."""
    return {
        'step': 0,
        'model': model,
        'min_version': 1,
        'target_groups': groups,
        'items': [
            {
                'id': f'{job_id}i{group}x{number}',
                'path': f'/{route}/{group}/{number}',
                'headers': {
                    'Model': model,
                    'Token-Counts': '300,60',
                    'Prompt-Prefix': f'{group:04x}:280,{number:04x}:20',
                },
                'body': base64.b64encode(body).decode(),
                'tokens': 360,
                'group': f'{job_id}g{group}',
            }
            for group in range(groups)
            for number in range(size)
        ],
    }


def submit(
    record: Record,
    address: str,
    route: str,
    job_id: str,
    job: dict,
    timeout_s: float = 10.0,
) -> int:
    """Submit a job; return the status of the answer, 0 without one."""
    record.write(f'send job {job_id} of {len(job["items"])} items')
    status, _ = call(
        address,
        'POST',
        f'/{route}/{job_id}',
        job,
        {'Host': HOST, 'Attempt-Id': job_id},
        timeout_s,
    )
    record.write(f'answer {status} to job {job_id}')
    return status


def read_results(
    record: Record,
    address: str,
    job_id: str,
    until: float,
    on_result=None,
) -> tuple[list[dict], int]:
    """Return the results that are listed until a time, and the total."""
    results: list[dict] = []
    total = -1
    while time.monotonic() < until:
        status, page = call(
            address,
            'GET',
            f'/-/lots/{job_id}?after={len(results)}',
            headers={'Host': HOST, 'Wait-Ms': '500'},
        )
        if status != 200:
            record.write(f'answer {status} to a read of {job_id}')
            time.sleep(0.3)
            continue
        total = page['total']
        for result in page['results']:
            record.write(
                f'result {len(results)} of {job_id}: {result["id"]}'
                f' {result["state"]} versions {result.get("versions")}'
            )
            results.append(result)
            if on_result is not None:
                on_result(result)
        if len(results) == total:
            break
        time.sleep(0.2)
    return results, total


def run(folder: pathlib.Path, scenario) -> None:
    """Run a scenario and exit with its verdict."""
    record = Record(folder)
    record.write(f'trouble {"on" if TROUBLE else "off"}')
    # The processes are ended on the way out.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        with Deployment(record) as deployment:
            verdict = scenario(deployment, record)
    except Exception as error:
        record.write(f'could not run: {error!r}')
        verdict = COULD_NOT_RUN
    words = {HELD: 'held', BROKEN: 'broken', COULD_NOT_RUN: 'not run'}
    record.write(f'verdict: {words[verdict]}')
    print(f'verdict: {words[verdict]}')
    sys.exit(verdict)
