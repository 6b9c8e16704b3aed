"""Data classes for fleets and their processes."""

import dataclasses
import pathlib
import subprocess

__all__ = ['Deployment', 'Process']


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A fleet: its zones, pools with their sizes, and configuration."""

    zones: tuple[str, ...]
    engines_by_pool: dict[str, int]
    services_by_pool: dict[str, int]
    checking_pools: tuple[str, ...]
    configuration: pathlib.Path
    entries: int = 6


@dataclasses.dataclass(slots=True)
class Process:
    """A running process and the addresses on which it listens."""

    name: str
    popen: subprocess.Popen
    address: str
    operator_address: str = ''
    peer_address: str = ''
