"""Load patterns of fleets in several availability zones."""

import pathlib
from typing import Literal

import jsonc
import pydantic

__all__ = ['Zone', 'ZoneFault', 'ZonePattern', 'read_pattern', 'read_patterns']

FOLDER = pathlib.Path(__file__).resolve().parent / 'patterns' / 'zones'


class Zone(pydantic.BaseModel):
    """Instances, endpoints and demand of a zone."""

    name: str
    instances: int = 2
    endpoints: int = 1
    # Times as fast as the usual server.
    pace: float = 1.0
    # Requests a second of all callers in the zone.
    per_s: float = 0.0


class ZoneFault(pydantic.BaseModel):
    """What happens to a zone; a factor multiplies demand or the way."""

    at_s: float
    for_s: float
    zone: str
    kind: Literal['demand', 'partitioned', 'lost', 'slow-way', 'slow']
    factor: float = 1.0


class Work(pydantic.BaseModel):
    """Requests of one route."""

    route: str
    work_ms: float
    share: float = 1.0
    body_bytes: int = 1000
    answer_bytes: int = 4000


class Turns(pydantic.BaseModel):
    """Servers that get slower by turns."""

    share: float
    factor: float
    turn_ms: float


class Steps(pydantic.BaseModel):
    """Steps of a trainer whose jobs the first zone owns."""

    count: int
    groups: int
    group_size: int


class ZonePattern(pydantic.BaseModel):
    """A fleet in several zones and the load on it."""

    name: str
    zones: list[Zone]
    one_way_ms: float
    # Share of the way that is added at random.
    jitter: float = 0.2
    slots: int = 6
    queue: int = 60
    work: list[Work] = []
    steps: Steps | None = None
    turns: Turns | None = None
    transfer_ms_per_mb: float = 1000.0
    seconds: float = 8.0
    faults: list[ZoneFault] = []


def read_patterns() -> list[ZonePattern]:
    """Return the patterns in order of their file names."""
    return [read_pattern(path.stem) for path in sorted(FOLDER.glob('*.jsonc'))]


def read_pattern(name: str) -> ZonePattern:
    """Return the pattern in a file of that name."""
    text = (FOLDER / f'{name}.jsonc').read_text(encoding='utf-8')
    return ZonePattern.model_validate(jsonc.loads(text))
