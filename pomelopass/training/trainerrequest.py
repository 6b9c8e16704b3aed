"""Parse and validate requests of trainers."""

from typing import TypeVar

import pydantic

from ..callers import work
from ..core import refusal
from ..kinds import trainer
from ..running import context as contexts

__all__ = ['get_trainer', 'read_body']

Body = TypeVar('Body', bound=pydantic.BaseModel)


def get_trainer(context: contexts.Context, name: str) -> trainer.Trainer:
    """Return a trainer of the configuration; raise Refused."""
    if context.configuration is None:
        raise work.Refused(
            refusal.Refusal(
                refusal.Code.NOT_READY,
                'No configuration is in force here yet.',
                retry_after_ms=1000,
            )
        )
    trainer_config = context.configuration.trainers.get(name)
    if trainer_config is None:
        raise work.Refused(
            refusal.Refusal(
                refusal.Code.UNKNOWN_TRAINER,
                f'No trainer is named {name!r}.',
            )
        )
    return trainer_config


def read_body(model: type[Body], body: bytes) -> Body:
    """Return the validated body; raise Refused with all errors."""
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as error:
        details = '; '.join(
            f'{".".join(str(part) for part in entry["loc"])}: {entry["msg"]}'
            for entry in error.errors()
        )
        raise work.Refused(
            refusal.Refusal(refusal.Code.BAD_REQUEST, f'{details}.')
        ) from None
