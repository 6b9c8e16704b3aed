"""Hold what all configuration objects have in common."""

import pydantic

__all__ = ['ConfigModel']


class ConfigModel(pydantic.BaseModel):
    """Refuse unknown fields and values of another type."""

    model_config = pydantic.ConfigDict(
        extra='forbid', frozen=True, strict=True
    )
