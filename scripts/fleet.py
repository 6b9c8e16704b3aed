"""Run daemon instances and stand-ins as processes."""

import json
import pathlib
import signal
import subprocess
import sys

from scripts import layout
from scripts import probe

__all__ = ['Fleet']

TOKEN = 'operator-token-for-tests'
ROOT = pathlib.Path(__file__).resolve().parent.parent
LAST_LOG_LINES = 8


class Fleet:
    """Processes of one run; a context manager that kills them at exit."""

    def __init__(self, folder: pathlib.Path, deployment: layout.Deployment):
        self.folder = folder
        self.deployment = deployment
        self.process_by_name: dict[str, layout.Process] = {}
        self.reserved_ports = probe.ReservedPorts()
        self.token_file = folder / 'token'
        folder.mkdir(parents=True, exist_ok=True)
        self.token_file.write_text(TOKEN)

    def __enter__(self) -> 'Fleet':
        """Return the fleet itself."""
        return self

    def __exit__(self, *details) -> None:
        """Kill all processes."""
        for process in self.process_by_name.values():
            process.popen.kill()
        for process in self.process_by_name.values():
            process.popen.wait()
        self.reserved_ports.close()

    def start_all(self) -> None:
        """Start the platform, endpoints and entry instances."""
        self.start_platform()
        self.start_endpoints()
        for index in range(self.deployment.entries):
            self.start_entry(index)
        self.wait_live()

    def start_platform(self) -> None:
        """Start the stand-ins of the platform."""
        self.start_standin('table', 'table')
        self.start_standin('objects', 'objects')
        self.start_standin('weights', 'objects', '--reads-per-s', '50')
        self.start_standin('instances', 'instances', '--lag-ms', '300')

    def start_endpoints(self) -> None:
        """Start and register the engines and plain services."""
        for pool, count in self.deployment.engines_by_pool.items():
            for index in range(count):
                self.start_engine(pool, index)
        for pool, count in self.deployment.services_by_pool.items():
            for index in range(count):
                name = f'{pool}-{index}'
                self.start_standin(name, 'service')
                self.list_endpoint(name, pool, index)

    def start_engine(
        self, pool: str, index: int, incarnation: str = '1', *options: str
    ) -> None:
        """Start and register one engine."""
        name = f'{pool}-{index}'
        arguments = [
            '--weight-store',
            self.process_by_name['weights'].address,
            '--incarnation',
            incarnation,
            *options,
        ]
        if pool in self.deployment.checking_pools:
            arguments.append('--checks-fencing')
        self.start_standin(name, 'engine', *arguments)
        self.list_endpoint(name, pool, index, incarnation)

    def start_standin(
        self, name: str, kind: str, *options: str
    ) -> layout.Process:
        """Start a stand-in and read its address from its output."""
        log = open(self.folder / f'{name}.log', 'ab')  # noqa: SIM115
        popen = subprocess.Popen(
            [sys.executable, '-m', 'standins', kind, '--name', name, *options],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=log,
        )
        line = popen.stdout.readline()
        process = layout.Process(name, popen, json.loads(line)['address'])
        self.process_by_name[name] = process
        return process

    def list_endpoint(
        self,
        name: str,
        pool: str,
        index: int,
        incarnation: str = '1',
        leaving: bool = False,
    ) -> None:
        """Register an endpoint in the platform's list of instances."""
        zones = self.deployment.zones
        value = {
            'id': name,
            'kind': 'endpoint',
            'incarnation': incarnation,
            'pool': pool,
            'address': self.process_by_name[name].address,
            'availability_zone': zones[index % len(zones)],
            'leaving': leaving,
        }
        listing = self.process_by_name['instances'].address
        probe.call(listing, 'PUT', f'/instances/{name}', value)

    def start_entry(self, index: int, **changes: object) -> layout.Process:
        """Start and register one entry instance."""
        name = f'entry-{index}'
        settings = self._make_settings(name, index, **changes)
        path = self.folder / f'{name}.jsonc'
        path.write_text(json.dumps(settings, indent=2))
        log = open(self.folder / f'{name}.log', 'ab')  # noqa: SIM115
        popen = subprocess.Popen(
            [
                sys.executable,
                '-c',
                'from pomelopass import daemon; daemon.main()',
                '--settings',
                str(path),
            ],
            cwd=ROOT,
            stderr=log,
        )
        process = layout.Process(
            name,
            popen,
            settings['caller_address'],
            settings['operator_address'],
            settings['peer_address'],
        )
        self.process_by_name[name] = process
        self.list_entry(name)
        return process

    def _make_settings(
        self, name: str, index: int, **changes: object
    ) -> dict[str, object]:
        zones = self.deployment.zones
        ports = self.reserved_ports.reserve(3)
        return {
            'id': name,
            'availability_zone': zones[index % len(zones)],
            'caller_address': f'127.0.0.1:{ports[0]}',
            'operator_address': f'127.0.0.1:{ports[1]}',
            'peer_address': f'127.0.0.1:{ports[2]}',
            'operator_token_file': str(self.token_file),
            'table_address': self.process_by_name['table'].address,
            'object_address': self.process_by_name['objects'].address,
            'list_address': self.process_by_name['instances'].address,
            **changes,
        }

    def list_entry(self, name: str) -> None:
        """Register an entry instance in the platform's list of instances."""
        index = int(name.rpartition('-')[2])
        zones = self.deployment.zones
        value = {
            'id': name,
            'kind': 'entry',
            'address': self.process_by_name[name].peer_address,
            'availability_zone': zones[index % len(zones)],
        }
        listing = self.process_by_name['instances'].address
        probe.call(listing, 'PUT', f'/instances/{name}', value)

    def get_entries(self) -> list[layout.Process]:
        """Return the running entry instances."""
        return [
            process
            for name, process in self.process_by_name.items()
            if name.startswith('entry-') and process.popen.poll() is None
        ]

    def describe(self) -> str:
        """Return the state of each process and the last lines of its log."""
        lines = []
        for name, process in self.process_by_name.items():
            lines.append(f'{name}: exit status {process.popen.poll()}')
            log = self.folder / f'{name}.log'
            if log.exists():
                text = log.read_text(encoding='utf-8', errors='replace')
                lines.extend(text.splitlines()[-LAST_LOG_LINES:])
        return '\n'.join(lines)

    def wait_live(self) -> None:
        """Wait until every entry instance reports that it is live."""
        for entry in self.get_entries():
            probe.wait_for(
                lambda entry=entry: (
                    probe.call(entry.address, 'GET', '/livez')[0] == 200
                )
            )

    def wait_ready(self) -> None:
        """Wait until every entry instance has a configuration in force."""
        for entry in self.get_entries():
            probe.wait_for(
                lambda entry=entry: (
                    probe.call(entry.address, 'GET', '/readyz')[0] == 200
                )
            )

    def run_tool(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run the command-line tool against the first running instance."""
        entry = self.get_entries()[0]
        return subprocess.run(
            [
                sys.executable,
                '-c',
                'from pomelopass import cmdline; cmdline.main()',
                '--instance',
                entry.operator_address,
                '--token-file',
                str(self.token_file),
                *arguments,
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )

    def set_faults(self, name: str, **faults: object) -> None:
        """Set the faults of a stand-in; no arguments clear them."""
        address = self.process_by_name[name].address
        probe.call(address, 'POST', '/faults', faults)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its end."""
        process = self.process_by_name[name].popen
        process.kill()
        process.wait()

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.process_by_name[name].popen.send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a suspended process with SIGCONT."""
        self.process_by_name[name].popen.send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process for a graceful stop."""
        self.process_by_name[name].popen.terminate()
