"""Define trainers: who asks for batches of samples."""

import pydantic

from . import base

__all__ = ['REFERENCES', 'Trainer']

REFERENCES = (
    ('pool', 'pools'),
    ('start_weights', 'weight_versions'),
    ('scorer', 'services'),
)


class Trainer(base.ConfigModel):
    """Settings for the batches of a trainer."""

    pool: str = pydantic.Field(description='Pool that makes the samples.')
    model: str = pydantic.Field(description='Model that is trained.')
    start_weights: str = pydantic.Field(
        description='Weight version before the trainer publishes one.'
    )
    scorer: str = pydantic.Field(
        description='Plain service that scores each sample.'
    )
    share: float = pydantic.Field(
        default=1.0,
        gt=0,
        le=1000,
        description='Weight of the trainer on shared engines.',
    )
    group_size: int = pydantic.Field(
        default=8, ge=1, le=1024, description='Samples for each prompt.'
    )
    hand_over_percent: int = pydantic.Field(
        default=100,
        ge=1,
        le=100,
        description='Share of the groups needed to hand over, in percent.',
    )
    race_percent: int = pydantic.Field(
        default=10,
        ge=0,
        le=20,
        description='Samples that may be raced near the end, in percent.',
    )
    max_staleness_versions: int = pydantic.Field(
        default=1,
        ge=0,
        le=1000,
        description='Weight versions that a sample may lag behind.',
    )
    max_tokens: int = pydantic.Field(
        default=64,
        ge=1,
        le=1_000_000,
        description='Longest sample, in tokens.',
    )
    sample_timeout_ms: int = pydantic.Field(
        default=60_000,
        ge=1,
        le=3_600_000,
        description='Time for one attempt at a sample, in milliseconds.',
    )
