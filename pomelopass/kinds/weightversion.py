"""Define weight versions: weights that exist before training."""

import pydantic

from . import base

__all__ = ['REFERENCES', 'WeightVersion']

REFERENCES = ()


class WeightVersion(base.ConfigModel):
    """Name weights in the weight store."""

    model: str = pydantic.Field(description='Model of the weights.')
    number: int = pydantic.Field(
        ge=0, description='Version; a higher number is newer.'
    )
    object: str = pydantic.Field(
        min_length=1, description='Key in the weight store.'
    )
