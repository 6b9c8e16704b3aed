"""Define services: what callers may ask for by name."""

from typing import Literal

import pydantic

from . import base

__all__ = ['REFERENCES', 'Service']

REFERENCES = (('pool', 'pools'),)


class Service(base.ConfigModel):
    """Settings for serving the requests of callers."""

    pool: str = pydantic.Field(description='Pool that runs the requests.')
    kind: Literal['model', 'plain'] = pydantic.Field(
        description='Kind of the endpoints behind the service.'
    )
    model: str | None = pydantic.Field(
        default=None, description='Model name, for kind "model".'
    )
    repeatable: bool = pydantic.Field(
        default=True,
        description='False when a request must run at most once.',
    )
    timeout_ms: int = pydantic.Field(
        default=10_000,
        ge=1,
        le=3_600_000,
        description='Time for the whole request, in milliseconds.',
    )
    retry_budget_percent: float = pydantic.Field(
        default=10.0,
        ge=0,
        le=20,
        description='Retries as a share of the requests, in percent.',
    )
    priority: int = pydantic.Field(
        default=3, ge=0, le=9, description='0 is the most urgent.'
    )
    max_in_progress: int = pydantic.Field(
        default=256,
        ge=1,
        le=100_000,
        description='Requests in progress on one instance.',
    )
    max_in_progress_per_caller: int = pydantic.Field(
        default=32,
        ge=1,
        le=100_000,
        description='Requests of one caller in progress on one instance.',
    )
