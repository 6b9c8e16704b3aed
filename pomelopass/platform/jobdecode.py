"""Decode submitted jobs and encode their results."""

import base64
import binascii
import math
from typing import Annotated

import orjson
import pydantic
from returns import result

from .. import decoding
from .. import message
from ..jobs import api
from ..jobs import job as jobs
from . import names
from ..workspaces import access as accesses

__all__ = ['decode_submission', 'encode_page']

# Set for each run of an item; submitted values are dropped.
RESERVED_HEADERS = frozenset(
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


Base64Bytes = Annotated[bytes, pydantic.BeforeValidator(_decode_base64)]


class _Reward(decoding.CheckedModel):
    id: str = pydantic.Field(min_length=1)
    hostname: str
    path: str
    body: Base64Bytes = b''


class _Item(decoding.CheckedModel):
    id: str = pydantic.Field(min_length=1)
    path: str
    headers: dict[str, str] = {}
    body: Base64Bytes = b''
    group: str = ''
    tokens: decoding.Int64 = 0
    scorer: _Reward | None = None


class _Submission(decoding.CheckedModel):
    step: decoding.Int64 = 0
    model: str = ''
    min_version: decoding.Int64 = 0
    target_groups: decoding.Int64 = 0
    items: list[_Item] = pydantic.Field(min_length=1)


def decode_submission(
    job_id: str,
    host: str,
    request: message.Request,
    access: accesses.Access = accesses.OPEN,
) -> result.Result[jobs.Submission, str]:
    """Return the submitted job, or its first error with the place."""
    dropped_headers = RESERVED_HEADERS
    if access.checks_keys:
        dropped_headers |= names.CREDENTIALS
    try:
        submission = _Submission.model_validate_json(request.body)
    except pydantic.ValidationError as error:
        first_error = error.errors()[0]
        place = '.'.join(str(part) for part in first_error['loc'])
        return result.Failure(f'{place}: {first_error["msg"]}')
    ids = {item.id for item in submission.items}
    if len(ids) != len(submission.items):
        return result.Failure('items: an id stands twice')
    return result.Success(
        jobs.Submission(
            id=job_id,
            host=host,
            target=request.target,
            model=submission.model,
            step=submission.step,
            min_version=submission.min_version,
            target_groups=submission.target_groups,
            items=tuple(
                _decode_item(item, submission.model, dropped_headers)
                for item in submission.items
            ),
            workspace=access.workspace,
        )
    )


def encode_page(page: api.ResultPage) -> bytes:
    """Return a page of results as a JSON reply body."""
    return orjson.dumps(
        {
            'total': page.total,
            'next': page.first + len(page.results),
            'results': [
                _encode_result(job_result) for job_result in page.results
            ],
        }
    )


def _decode_item(
    item: _Item, model: str, dropped_headers: frozenset[str]
) -> jobs.Item:
    headers = tuple(
        (name.lower(), value)
        for name, value in item.headers.items()
        if name.lower() not in dropped_headers
    )
    reward = None
    if item.scorer is not None:
        scorer = item.scorer
        reward = jobs.RewardCall(
            scorer.id, scorer.hostname, scorer.path, scorer.body
        )
    return jobs.Item(
        id=item.id,
        path=item.path,
        headers=headers,
        body=item.body,
        group=item.group or item.id,
        model=dict(headers).get('model', model),
        reward=reward,
        tokens=item.tokens,
        expected_length=_parse_length_hint(
            dict(headers).get(names.LENGTH_HINT)
        ),
    )


def _parse_length_hint(text: str | None) -> float:
    try:
        length = float(text or 0)
    except ValueError:
        # An invalid hint must not fail the job.
        return 0.0
    return length if math.isfinite(length) else 0.0


def _encode_result(job_result: jobs.Result) -> dict:
    encoded = {
        'id': job_result.item_id,
        'state': 'completed' if job_result.completed else 'terminated',
        'text': job_result.text,
        'versions': list(job_result.versions),
    }
    if job_result.score is not None:
        encoded['score'] = job_result.score
    return encoded
