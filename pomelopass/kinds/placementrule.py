"""Define placement rules: in which zones a pool is used."""

import pydantic

from . import base

__all__ = ['REFERENCES', 'PlacementRule']

REFERENCES = (('pool', 'pools'),)


class PlacementRule(base.ConfigModel):
    """Prefer some availability zones for a pool."""

    pool: str = pydantic.Field(description='Pool that the rule is for.')
    zones: tuple[str, ...] = pydantic.Field(
        strict=False,
        min_length=1,
        description='Availability zones to use first.',
    )
    spill_over: bool = pydantic.Field(
        default=True,
        description='True when other zones are used if these are full.',
    )
