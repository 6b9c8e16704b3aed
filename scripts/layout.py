"""Describe fleets and the processes in them."""

import dataclasses
import pathlib
import subprocess

__all__ = ['Deployment', 'Process']


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Describe a fleet: zones, pools with sizes, and the configuration."""

    zones: tuple[str, ...]
    engines_by_pool: dict[str, int]
    services_by_pool: dict[str, int]
    checking_pools: tuple[str, ...]
    configuration: pathlib.Path
    entries: int = 6


@dataclasses.dataclass(slots=True)
class Process:
    """Hold a running process and where it listens."""

    name: str
    popen: subprocess.Popen
    address: str
    operator_address: str = ''
    peer_address: str = ''
