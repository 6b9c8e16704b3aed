"""Encode jobs as rows of the table service and decode them."""

import dataclasses
import zlib

import orjson
import xxhash

from . import job as jobs
from . import progress as progresses
from ..table import rows

__all__ = [
    'JOB_TABLE',
    'PARTS',
    'decode_record',
    'decode_results',
    'decode_submission',
    'encode_record',
    'encode_results',
    'encode_submission',
]

JOB_TABLE = 'jobs'
BODY_TABLE = 'job-bodies'
RESULT_TABLE = 'job-results'
# Earlier builds stored texts without their software version in 'job-texts'.
TEXT_TABLE = 'job-item-texts'
PART_COUNT = 16
PARTS = tuple(f'p{number:02d}' for number in range(PART_COUNT))
CHUNK_BYTES = 60_000
# Sorts after every position and chunk of a job.
KEY_END = '~'


def get_part(job_id: str) -> str:
    """Return the part that stores all rows of a job."""
    return PARTS[xxhash.xxh3_64_intdigest(job_id.encode()) % PART_COUNT]


def make_record_key(job_id: str) -> rows.Key:
    """Return the key of the row with the state of a job."""
    return rows.Key(JOB_TABLE, get_part(job_id), job_id)


def encode_record(record: jobs.JobRecord) -> bytes:
    """Return the row value for the state of a job."""
    return orjson.dumps(record)


def decode_record(value: bytes) -> jobs.JobRecord:
    """Return the state of a job; raise ValueError if malformed."""
    try:
        return jobs.JobRecord(**orjson.loads(value))
    except TypeError as error:
        raise ValueError(str(error)) from None


def encode_submission(
    submission: jobs.Submission,
) -> list[tuple[rows.Key, bytes]]:
    """Return the rows that store a submission."""
    packed = zlib.compress(
        orjson.dumps(submission, default=_encode_bytes), level=1
    )
    part = get_part(submission.id)
    return [
        (
            rows.Key(BODY_TABLE, part, f'{submission.id}/{number:03d}'),
            packed[start : start + CHUNK_BYTES],
        )
        for number, start in enumerate(range(0, len(packed), CHUNK_BYTES))
    ]


def make_submission_range(job_id: str) -> rows.Range:
    """Return the key range of the rows that store a submission."""
    return rows.Range(
        BODY_TABLE, get_part(job_id), f'{job_id}/', f'{job_id}/{KEY_END}'
    )


def decode_submission(values: list[bytes]) -> jobs.Submission:
    """Return the submission from its rows in order."""
    fields = orjson.loads(zlib.decompress(b''.join(values)))
    items = tuple(_decode_item(item) for item in fields.pop('items'))
    return jobs.Submission(items=items, **fields)


def encode_results(
    job_id: str, first: int, results: list[jobs.Result]
) -> list[tuple[rows.Key, bytes]]:
    """Return the rows of results at positions from the first on."""
    encoded = []
    for position, result in enumerate(results, first):
        value = orjson.dumps(result)
        for number, start in enumerate(range(0, len(value), CHUNK_BYTES)):
            name = f'{job_id}/{position:06d}/{number:03d}'
            key = rows.Key(RESULT_TABLE, get_part(job_id), name)
            encoded.append((key, value[start : start + CHUNK_BYTES]))
    return encoded


def make_result_range(job_id: str, first: int, limit: int = 500) -> rows.Range:
    """Return the key range of results at positions from the first on."""
    return rows.Range(
        RESULT_TABLE,
        get_part(job_id),
        f'{job_id}/{first:06d}/',
        f'{job_id}/{KEY_END}',
        limit,
    )


def decode_results(
    result_rows: list[rows.Row],
) -> dict[int, jobs.Result]:
    """Return results by position, without an incomplete last one."""
    values_by_position: dict[int, list[bytes]] = {}
    for row in result_rows:
        position = int(row.name.key.split('/')[-2])
        values_by_position.setdefault(position, []).append(row.value)
    decoded = {}
    for position, values in values_by_position.items():
        try:
            fields = orjson.loads(b''.join(values))
        except orjson.JSONDecodeError:
            continue
        fields['versions'] = tuple(fields['versions'])
        decoded[position] = jobs.Result(**fields)
    return decoded


def encode_progress(
    job_id: str, item_id: str, progress: progresses.Progress
) -> tuple[rows.Key, bytes] | None:
    """Return the row of an unfinished text, or None if it is too long."""
    value = zlib.compress(orjson.dumps(progress), level=1)
    if len(value) > CHUNK_BYTES:
        return None
    key = rows.Key(TEXT_TABLE, get_part(job_id), f'{job_id}/{item_id}')
    return key, value


def make_progress_range(job_id: str) -> rows.Range:
    """Return the key range of the rows of a job's unfinished texts."""
    return rows.Range(
        TEXT_TABLE, get_part(job_id), f'{job_id}/', f'{job_id}/{KEY_END}'
    )


def decode_progress(row: rows.Row) -> tuple[str, progresses.Progress]:
    """Return the item's id and its progress; raise ValueError if malformed."""
    try:
        fields = orjson.loads(zlib.decompress(row.value))
        progress = progresses.Progress(**fields)
    except (TypeError, zlib.error) as error:
        raise ValueError(str(error)) from None
    return row.name.key.split('/')[-1], progress


def _encode_bytes(value: object) -> str:
    if isinstance(value, bytes):
        return value.decode('latin-1')
    raise TypeError(type(value).__name__)


def _decode_item(fields: dict) -> jobs.Item:
    reward = fields.pop('reward')
    if reward is not None:
        reward['body'] = reward['body'].encode('latin-1')
        reward = jobs.RewardCall(**reward)
    fields['headers'] = tuple(
        (name, value) for name, value in fields['headers']
    )
    fields['body'] = fields['body'].encode('latin-1')
    return jobs.Item(reward=reward, **fields)


def next_record(record: jobs.JobRecord, **changes) -> jobs.JobRecord:
    """Return a changed record that differs from all earlier ones."""
    return dataclasses.replace(record, writes=record.writes + 1, **changes)
