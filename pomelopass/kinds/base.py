"""Define the base class of configuration objects."""

import pydantic

__all__ = ['ConfigModel']


class ConfigModel(pydantic.BaseModel):
    """Base class that rejects unknown fields and mistyped values."""

    model_config = pydantic.ConfigDict(
        extra='forbid', frozen=True, strict=True
    )
