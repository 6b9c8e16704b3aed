"""Define pools: endpoints of one kind and what they can do."""

from typing import Literal

import pydantic

from . import base

__all__ = ['REFERENCES', 'Pool']

REFERENCES = ()


class Pool(base.ConfigModel):
    """Capabilities of the endpoints of a pool and how they are used."""

    kind: Literal['model', 'plain'] = pydantic.Field(
        description='Kind of the endpoints.'
    )
    models: tuple[str, ...] = pydantic.Field(
        default=(),
        strict=False,
        description='Models that the engines serve.',
    )
    slots_per_endpoint: int = pydantic.Field(
        default=8,
        ge=1,
        le=4096,
        description='Requests that one endpoint runs at the same time.',
    )
    long_percent: int = pydantic.Field(
        default=75,
        ge=1,
        le=100,
        description='Share of the slots that long requests and samples '
        'may take together, in percent.',
    )
    sample_percent: int = pydantic.Field(
        default=50,
        ge=1,
        le=100,
        description='Share of the slots open to samples, in percent.',
    )
    queue_limit: int = pydantic.Field(
        default=512,
        ge=1,
        le=100_000,
        description='Requests waiting on one instance.',
    )
    policy: str = pydantic.Field(
        default='two-choices', description='Endpoint choice policy.'
    )
    ejects_slow_endpoints: bool = pydantic.Field(
        default=True,
        description='True when far slower endpoints get no work.',
    )
    checks_fencing: bool = pydantic.Field(
        default=False,
        description='True when engines refuse an old fencing number.',
    )
    resumes: bool = pydantic.Field(
        default=False,
        description='True when engines continue a partial text.',
    )
    honours_priority: bool = pydantic.Field(
        default=False, description='True when engines order by priority.'
    )
    moves_kv_cache: bool = pydantic.Field(
        default=False,
        description='True when engines export and import KV cache.',
    )
    echoes_request_id: bool = pydantic.Field(
        default=False,
        description='True when each reply repeats X-Request-Id.',
    )
    max_concurrent_loads: int = pydantic.Field(
        default=2,
        ge=1,
        le=10_000,
        description='Engines that load weights at the same time.',
    )
