"""Encode jobs as rows of the table service and decode them."""

import contextlib
import dataclasses
import zlib

import orjson

from .. import decoding
from . import job as jobs
from . import progress as progresses
from ..table import parts
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
PART_PREFIX = 'p'
PARTS = parts.make_names(PART_PREFIX)
CHUNK_BYTES = 60_000
# Sorts after every position and chunk of a job.
KEY_END = '~'


def get_part(job_id: str) -> str:
    """Return the part that stores all rows of a job."""
    return parts.choose_part(PART_PREFIX, job_id)


def make_record_key(job_id: str) -> rows.Key:
    """Return the key of the row with the state of a job."""
    return rows.Key(JOB_TABLE, get_part(job_id), job_id)


def encode_record(record: jobs.JobRecord) -> bytes:
    """Return the row value for the state of a job."""
    return orjson.dumps(_get_fields(record))


def decode_record(value: bytes) -> jobs.JobRecord:
    """Return the state of a job; raise ValueError if malformed."""
    return _decode_record(value)


def encode_submission(
    submission: jobs.Submission,
) -> list[tuple[rows.Key, bytes]]:
    """Return the rows that store a submission."""
    packed = zlib.compress(
        orjson.dumps(_get_fields(submission), default=_encode_bytes), level=1
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
    """Return the submission from its rows; raise ValueError if malformed."""
    try:
        value = zlib.decompress(b''.join(values))
    except zlib.error as error:
        raise ValueError(str(error)) from None
    submission = _decode_submission(value)
    items = tuple(_decode_bodies(item) for item in submission.items)
    return dataclasses.replace(submission, items=items)


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
        position = _get_position(row)
        values_by_position.setdefault(position, []).append(row.value)
    decoded = {}
    for position, values in values_by_position.items():
        # The rows of the last one may be cut by the end of the page.
        with contextlib.suppress(ValueError):
            decoded[position] = _decode_result(b''.join(values))
    return decoded


def split_last_result(
    result_rows: list[rows.Row],
) -> tuple[list[rows.Row], list[rows.Row]]:
    """Return rows of results, and those of the last one by themselves."""
    if not result_rows:
        return [], []
    last_position = _get_position(result_rows[-1])
    first = len(result_rows) - 1
    while first and _get_position(result_rows[first - 1]) == last_position:
        first -= 1
    return result_rows[:first], result_rows[first:]


def _get_position(row: rows.Row) -> int:
    return int(row.name.key.split('/')[-2])


def encode_progress(
    job_id: str, item_id: str, snapshot: progresses.Snapshot
) -> tuple[rows.Key, bytes] | None:
    """Return the row of an unfinished text, or None if it is too long."""
    value = zlib.compress(orjson.dumps(snapshot), level=1)
    if len(value) > CHUNK_BYTES:
        return None
    key = rows.Key(TEXT_TABLE, get_part(job_id), f'{job_id}/{item_id}')
    return key, value


def make_progress_range(job_id: str) -> rows.Range:
    """Return the key range of the rows of a job's unfinished texts."""
    return rows.Range(
        TEXT_TABLE, get_part(job_id), f'{job_id}/', f'{job_id}/{KEY_END}'
    )


def decode_progress(row: rows.Row) -> tuple[str, progresses.Snapshot]:
    """Return the item's id and its text; raise ValueError if malformed."""
    try:
        snapshot = _decode_progress(zlib.decompress(row.value))
    except zlib.error as error:
        raise ValueError(str(error)) from None
    return row.name.key.split('/')[-1], snapshot


def _get_fields(stored: jobs.JobRecord | jobs.Submission) -> dict[str, object]:
    # Without workspaces the rows stay as earlier builds wrote them.
    return {
        field.name: getattr(stored, field.name)
        for field in dataclasses.fields(stored)
        if field.name != 'workspace' or stored.workspace
    }


def _encode_bytes(value: object) -> str:
    if isinstance(value, bytes):
        return value.decode('latin-1')
    raise TypeError(type(value).__name__)


def _decode_bodies(item: jobs.Item) -> jobs.Item:
    reward = item.reward
    if reward is not None:
        body = _decode_bytes(reward.body)
        reward = dataclasses.replace(reward, body=body)
    return dataclasses.replace(
        item, body=_decode_bytes(item.body), reward=reward
    )


def _decode_bytes(body: bytes) -> bytes:
    # Each byte is stored as the character of its number.
    return body.decode().encode('latin-1')


_decode_record = decoding.make_decoder(jobs.JobRecord)
_decode_result = decoding.make_decoder(jobs.Result)
_decode_submission = decoding.make_decoder(jobs.Submission)
_decode_progress = decoding.make_decoder(progresses.Snapshot)


def next_record(record: jobs.JobRecord, **changes) -> jobs.JobRecord:
    """Return a changed record that differs from all earlier ones."""
    return dataclasses.replace(record, writes=record.writes + 1, **changes)
