"""Publish new weight versions of trainers."""

import json
import re

import pydantic
from returns import result

from .. import message
from ..callers import work
from ..core import handover
from ..core import refusal
from ..core import tablerow
from ..core import verdict
from ..reporting import problemdetails
from ..running import context as contexts
from ..training import trainerrequest

__all__ = ['ROUTES']

MAX_ATTEMPTS = 3


class PublishedWeights(pydantic.BaseModel):
    """Weights that a trainer has put into the weight store."""

    model_config = pydantic.ConfigDict(extra='forbid', strict=True)

    version: int = pydantic.Field(ge=0)
    object: str = pydantic.Field(min_length=1)


async def serve_publish(
    context: contexts.Context, request: message.Request, match: re.Match
) -> message.Reply:
    """Publish a weight version; the request is idempotent."""
    trainer_name = match['name']
    trainer = trainerrequest.get_trainer(context, trainer_name)
    weights = trainerrequest.read_body(PublishedWeights, request.body)
    start = context.configuration.weight_versions[trainer.start_weights]
    if weights.version <= start.number:
        raise _make_conflict(f'Use a version above {start.number}.')
    for _ in range(MAX_ATTEMPTS):
        published = await _try_publish(context, trainer_name, weights)
        if published:
            detail = f'version {weights.version}'
            contexts.record_event(
                context, 'weights-published', trainer_name, detail
            )
            return problemdetails.make_json_reply(weights.model_dump())
    raise work.Refused(
        refusal.Refusal(
            refusal.Code.STORE_UNAVAILABLE,
            'The table service did not answer. Send the same again.',
            verdict.Verdict.MAY_HAVE_RUN,
            1000,
        )
    )


async def _try_publish(
    context: contexts.Context, trainer_name: str, weights: PublishedWeights
) -> bool:
    key = handover.get_keys(trainer_name, 0).published
    row_result = await context.ports.table.get(key)
    if isinstance(row_result, result.Failure):
        return False
    row = row_result.unwrap()
    if row is not None:
        current = json.loads(row.value)
        if current == weights.model_dump():
            return True
        if current['version'] >= weights.version:
            raise _make_conflict(f'Version {current["version"]} is published.')
    old_version = row.version if row else tablerow.ABSENT
    transaction = tablerow.Transaction(
        (tablerow.Condition(key, old_version),),
        (tablerow.Put(key, json.dumps(weights.model_dump())),),
    )
    conflict_result = await context.ports.table.transact(transaction)
    return (
        isinstance(conflict_result, result.Success)
        and conflict_result.unwrap() is None
    )


def _make_conflict(detail: str) -> work.Refused:
    return work.Refused(refusal.Refusal(refusal.Code.VERSION_CONFLICT, detail))


ROUTES = (
    (('POST',), r'/trainers/(?P<name>[a-z0-9-]+)/weights', serve_publish),
)
