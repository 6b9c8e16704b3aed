"""Measure what lists, configurations, claims and steps cost."""

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

LISTED = (100, 11_500)
SERVICES = (10, 500)
KEYS = 5000
ROUNDS = 5
SAMPLES = 8192


def measure_listing() -> list[slope.Point]:
    """Return bytes and time of one read of the list of instances."""
    points = []
    for size in LISTED:
        body = json.dumps(
            {'number': 1, 'instances': [_make_row(n) for n in range(size)]}
        ).encode()
        spent = _time(lambda body=body: storeclient.read_listing((200, body)))
        points.append(
            slope.Point('one read of the list', size, len(body), 'bytes')
        )
        points.append(
            slope.Point('processor time of one read', size, spent, 'ms')
        )
    return points


def measure_configuration() -> list[slope.Point]:
    """Return the time of one check of a whole configuration."""
    points = []
    for size in SERVICES:
        value = deployment.read_example('sinaleira')
        for number in range(size):
            value['services'][f's-{number}'] = value['services']['stock']
        text = json.dumps(value, indent=1)
        spent = _time(
            lambda text=text: configuration.check_configuration(text)
        )
        name = 'processor time of one configuration check'
        points.append(slope.Point(name, size, spent, 'ms'))
    return points


def measure_claims() -> list[slope.Point]:
    """Return the time to admit and send a request with an issued key."""
    book = claimbook.ClaimBook('a')
    began = time.perf_counter()
    for number in range(KEYS):
        key = issuedkey.make_issued_key('a', number, 0)
        claims.admit(book, key, 'f', 1)
        claims.record_dispatched(book, key)
    spent = (time.perf_counter() - began) * 1e6 / KEYS
    return [slope.Point('processor time of one claim', KEYS, spent, 'us')]


def measure_batch() -> list[slope.Point]:
    """Return memory and time for the samples of one step."""

    def build():
        built = batch.BatchState('t', 1, SAMPLES // 16)
        for index in range(SAMPLES // 16):
            batch.add_group(built, f't/1/{index}', 'p', 'asks/x', 16)
        return built

    value = slope.measure_bytes(build) / SAMPLES
    built = build()
    began = time.perf_counter()
    for _ in range(SAMPLES):
        one = batch.find_next_sample(built)
        batch.record_started(one, one.id, 'e', 0.0)
    spent = (time.perf_counter() - began) * 1e6 / SAMPLES
    return [
        slope.Point(
            'memory for each sample that waits', SAMPLES, value, 'bytes'
        ),
        slope.Point('processor time to start a sample', SAMPLES, spent, 'us'),
    ]


def _time(run) -> float:
    began = time.perf_counter()
    for _ in range(ROUNDS):
        run()
    return (time.perf_counter() - began) * 1000 / ROUNDS


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
