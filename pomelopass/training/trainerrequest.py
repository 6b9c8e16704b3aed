"""Read what trainers send."""

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
    found = context.configuration.trainers.get(name)
    if found is None:
        raise work.Refused(
            refusal.Refusal(
                refusal.Code.UNKNOWN_TRAINER,
                f'No trainer is named {name!r}.',
            )
        )
    return found


def read_body(model: type[Body], body: bytes) -> Body:
    """Return the checked body; raise Refused with every error."""
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as error:
        details = '; '.join(
            f'{".".join(str(part) for part in one["loc"])}: {one["msg"]}'
            for one in error.errors()
        )
        raise work.Refused(
            refusal.Refusal(refusal.Code.BAD_REQUEST, f'{details}.')
        ) from None
