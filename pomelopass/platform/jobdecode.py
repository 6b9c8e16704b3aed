"""Decode submitted jobs and encode their results."""

import base64
import binascii
from typing import Annotated

import orjson
import pydantic
from returns import result

from .. import message
from ..jobs import api
from ..jobs import job as jobs
from . import names

__all__ = ['decode_submission', 'encode_page']

# These are set anew for each run.
OWN_HEADERS = frozenset(
    (
        names.REQUEST_ID,
        names.DEADLINE_MS,
        names.EXPECTED_ENDPOINT,
        'host',
        'content-length',
        'connection',
        'transfer-encoding',
    )
)


def _decode_base64(value: object) -> object:
    if not isinstance(value, str):
        return value
    try:
        return base64.b64decode(value, validate=True)
    except binascii.Error as error:
        raise ValueError(f'not base64: {error}') from None


Encoded = Annotated[bytes, pydantic.BeforeValidator(_decode_base64)]


class _Reward(pydantic.BaseModel):
    id: str = pydantic.Field(min_length=1)
    hostname: str
    path: str
    body: Encoded = b''


class _Item(pydantic.BaseModel):
    id: str = pydantic.Field(min_length=1)
    path: str
    headers: dict[str, str] = {}
    body: Encoded = b''
    group: str = ''
    tokens: int = 0
    scorer: _Reward | None = None


class _Submission(pydantic.BaseModel):
    step: int = 0
    model: str = ''
    min_version: int = 0
    target_groups: int = 0
    items: list[_Item] = pydantic.Field(min_length=1)


def decode_submission(
    job_id: str, host: str, request: message.Request
) -> result.Result[jobs.Submission, str]:
    """Return the submitted job, or why it can't be read."""
    try:
        found = _Submission.model_validate_json(request.body)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        place = '.'.join(str(part) for part in first['loc'])
        return result.Failure(f'{place}: {first["msg"]}')
    ids = {one.id for one in found.items}
    if len(ids) != len(found.items):
        return result.Failure('items: an id stands twice')
    return result.Success(
        jobs.Submission(
            id=job_id,
            host=host,
            target=request.target,
            model=found.model,
            step=found.step,
            min_version=found.min_version,
            target_groups=found.target_groups,
            items=tuple(_decode_item(one, found.model) for one in found.items),
        )
    )


def encode_page(page: api.ResultPage) -> bytes:
    """Return results as the body of an answer."""
    return orjson.dumps(
        {
            'total': page.total,
            'next': page.first + len(page.results),
            'results': [_encode_result(one) for one in page.results],
        }
    )


def _decode_item(one: _Item, model: str) -> jobs.Item:
    headers = tuple(
        (name.lower(), value)
        for name, value in one.headers.items()
        if name.lower() not in OWN_HEADERS
    )
    reward = None
    if one.scorer is not None:
        given = one.scorer
        reward = jobs.RewardCall(
            given.id, given.hostname, given.path, given.body
        )
    return jobs.Item(
        id=one.id,
        path=one.path,
        headers=headers,
        body=one.body,
        group=one.group or one.id,
        model=dict(headers).get('model', model),
        reward=reward,
        tokens=one.tokens,
        expected_length=_to_length(dict(headers).get(names.LENGTH_HINT)),
    )


def _to_length(text: str | None) -> float:
    try:
        return float(text or 0)
    except ValueError:
        # A hint that can't be read is no reason to refuse a job.
        return 0.0


def _encode_result(one: jobs.Result) -> dict:
    encoded = {
        'id': one.item_id,
        'state': 'completed' if one.completed else 'terminated',
        'text': one.text,
        'versions': list(one.versions),
    }
    if one.score is not None:
        encoded['score'] = one.score
    return encoded
