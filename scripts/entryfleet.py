"""Run entry instances and the platform stand-in as processes."""

import json
import os
import pathlib
import signal
import subprocess
import sys

from scripts import layout
from scripts import probe

__all__ = ['EntryFleet']

ROOT = pathlib.Path(__file__).resolve().parent.parent
ADDRESSES = (
    'caller_address',
    'readiness_address',
    'directory_address',
    'relay_address',
)
STOP_LIMIT_S = 8


class EntryFleet:
    """Processes of one run; a context manager that kills them at exit."""

    def __init__(self, folder: pathlib.Path, zones: tuple[str, ...]):
        self.folder = folder
        self.zones = zones
        self.platform: layout.Process | None = None
        self.table_address = ''
        self.settings_by_name: dict[str, dict] = {}
        self.popen_by_name: dict[str, subprocess.Popen] = {}
        # Where the package of an instance is, if it is not the present one.
        self.build_by_name: dict[str, pathlib.Path] = {}
        self.reserved_ports = probe.ReservedPorts()
        folder.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> 'EntryFleet':
        """Return the fleet itself."""
        return self

    def __exit__(self, *details) -> None:
        """Kill the processes that still run."""
        processes = list(self.popen_by_name.values())
        if self.platform is not None:
            processes.append(self.platform.popen)
        for popen in processes:
            if popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
                popen.kill()
        for popen in processes:
            popen.wait()
        self.reserved_ports.close()

    def start_platform(self, *options: str) -> None:
        """Start the stand-ins of the table and the endpoints."""
        log = open(self.folder / 'platform.log', 'ab')  # noqa: SIM115
        popen = subprocess.Popen(
            [sys.executable, '-m', 'standins', 'platform', *options],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=log,
        )
        address = json.loads(popen.stdout.readline())['address']
        self.platform = layout.Process('platform', popen, address)
        self.table_address = self.table_address or address

    def start_entry(self, name: str, **changes: object) -> None:
        """Start an instance; a restarted one keeps its addresses."""
        if name not in self.settings_by_name:
            self.settings_by_name[name] = self._make_settings(name, changes)
        path = self.folder / f'{name}.jsonc'
        path.write_text(json.dumps(self.settings_by_name[name], indent=2))
        log = open(self.folder / f'{name}.log', 'ab')  # noqa: SIM115
        self.popen_by_name[name] = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'pomelopass.entry',
                '--settings',
                str(path),
            ],
            cwd=self.build_by_name.get(name, ROOT),
            stdout=log,
            stderr=subprocess.STDOUT,
        )

    def signal(self, name: str, number: int) -> None:
        """Send a signal to an instance if it is running."""
        popen = self.popen_by_name[name]
        if popen.poll() is None:
            os.kill(popen.pid, number)

    def get_address(self, name: str, kind: str = 'caller_address') -> str:
        """Return an address of an instance."""
        return self.settings_by_name[name][kind]

    def wait_ready(self) -> None:
        """Wait until each running instance reports that it is ready."""
        for name, popen in self.popen_by_name.items():
            if popen.poll() is not None:
                continue
            address = self.get_address(name, 'readiness_address')
            probe.wait_for(lambda target=address: _is_ready(target))

    def put_row(self, table: str, key: str, value: object) -> None:
        """Write a row to the table, as an operator would."""
        body = {'table': table, 'key': key, 'value': value}
        probe.call(self.platform.address, 'POST', '/rows', body)

    def set_faults(self, **faults: object) -> None:
        """Inject faults into the table stand-in."""
        probe.call(self.platform.address, 'POST', '/faults', faults)

    def get_endpoint_records(self) -> dict:
        """Return the requests and orders that the endpoints received."""
        return probe.call(self.platform.address, 'GET', '/seen')[1]

    def get_duties(self) -> dict:
        """Return what the platform's API for duties received."""
        return probe.call(self.platform.address, 'GET', '/duties')[1]

    def _make_settings(self, name: str, changes: dict) -> dict:
        zone = self.zones[len(self.settings_by_name) % len(self.zones)]
        seeds = [
            entry_settings['relay_address']
            for entry_settings in self.settings_by_name.values()
        ]
        ports = self.reserved_ports.reserve(len(ADDRESSES))
        settings = {
            kind: f'127.0.0.1:{port}'
            for kind, port in zip(ADDRESSES, ports, strict=True)
        }
        settings.update(
            name=name,
            availability_zone=zone,
            seed_addresses=seeds[:3],
            table_address=self.table_address,
            stop_limit_s=STOP_LIMIT_S,
            takeover_wait_ms=3000,
            engines_check_fences=True,
            job_kept_s=120,
            directory_ttl_s=1,
        )
        settings.update(changes)
        return settings


def _is_ready(address: str) -> bool:
    return probe.call(address, 'GET', '/-/readiness')[0] == 200
