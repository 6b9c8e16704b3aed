"""Measure the cost of lists, configurations, claims and steps."""

import json
import time

from bench import deployment
from bench import slope
from pomelopass.configuring import configuration
from pomelopass.core import batch
from pomelopass.core import claimbook
from pomelopass.core import claims
from pomelopass.core import issuedkey
from pomelopass.edges import storeclient

__all__ = [
    'measure_batch',
    'measure_claims',
    'measure_configuration',
    'measure_listing',
]

LIST_SIZES = (100, 11_500)
SERVICE_COUNTS = (10, 500)
KEY_COUNT = 5000
ROUNDS = 5
SAMPLE_COUNT = 8192


def measure_listing() -> list[slope.Point]:
    """Return bytes and time to parse the list of instances."""
    points = []
    for size in LIST_SIZES:
        body = json.dumps(
            {'number': 1, 'instances': [_make_row(n) for n in range(size)]}
        ).encode()
        spent_ms = _measure_ms(
            lambda body=body: storeclient.read_listing((200, body))
        )
        points.append(
            slope.Point('one read of the list', size, len(body), 'bytes')
        )
        points.append(
            slope.Point('processor time of one read', size, spent_ms, 'ms')
        )
    return points


def measure_configuration() -> list[slope.Point]:
    """Return the time to validate a configuration."""
    points = []
    for size in SERVICE_COUNTS:
        value = deployment.read_example('sinaleira')
        for number in range(size):
            value['services'][f's-{number}'] = value['services']['stock']
        text = json.dumps(value, indent=1)
        spent_ms = _measure_ms(
            lambda text=text: configuration.check_configuration(text)
        )
        name = 'processor time of one configuration check'
        points.append(slope.Point(name, size, spent_ms, 'ms'))
    return points


def measure_claims() -> list[slope.Point]:
    """Return the time to admit and dispatch a request with a key."""
    book = claimbook.ClaimBook('a')
    started_s = time.perf_counter()
    for number in range(KEY_COUNT):
        key = issuedkey.make_issued_key('a', number, 0)
        claims.admit(book, key, 'f', 1)
        claims.record_dispatched(book, key)
    spent_us = (time.perf_counter() - started_s) * 1e6 / KEY_COUNT
    return [
        slope.Point('processor time of one claim', KEY_COUNT, spent_us, 'us')
    ]


def measure_batch() -> list[slope.Point]:
    """Return memory and start time of one sample of a step."""

    def build():
        batch_state = batch.BatchState('t', 1, SAMPLE_COUNT // 16)
        for index in range(SAMPLE_COUNT // 16):
            batch.add_group(batch_state, f't/1/{index}', 'p', 'asks/x', 16)
        return batch_state

    bytes_each = slope.measure_bytes(build) / SAMPLE_COUNT
    batch_state = build()
    started_s = time.perf_counter()
    for _ in range(SAMPLE_COUNT):
        sample = batch.find_next_sample(batch_state)
        batch.record_started(sample, sample.id, 'e', 0.0)
    spent_us = (time.perf_counter() - started_s) * 1e6 / SAMPLE_COUNT
    return [
        slope.Point(
            'memory for each sample that waits',
            SAMPLE_COUNT,
            bytes_each,
            'bytes',
        ),
        slope.Point(
            'processor time to start a sample', SAMPLE_COUNT, spent_us, 'us'
        ),
    ]


def _measure_ms(run) -> float:
    started_s = time.perf_counter()
    for _ in range(ROUNDS):
        run()
    return (time.perf_counter() - started_s) * 1000 / ROUNDS


def _make_row(number: int) -> dict[str, object]:
    return {
        'id': f'engine-{number}',
        'kind': 'endpoint',
        'incarnation': '1',
        'pool': 'part-engines',
        'address': f'10.1.{number // 250}.{number % 250}:8000',
        'availability_zone': 'recife',
        'leaving': False,
    }
