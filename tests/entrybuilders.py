"""Build test data for entry instances."""

import asyncio
import base64
from collections import abc
import random

from pomelopass import answermemory
from pomelopass.fleet import member
from pomelopass.jobs import job as jobs
from pomelopass.limits import allocator
from pomelopass.limits import book
from pomelopass.limits import permits
from pomelopass.origins import bases
from pomelopass.origins import origin
from pomelopass.origins import recorder
from pomelopass.registry import registry as registries
from pomelopass.reporting import logevents
from pomelopass.table import rows
from standins import dutyapi
from standins import entries
from standins import modelengines
from standins import rowtable
from standins import virtualloop

HOST = 'trainer.test'
MODEL = 'matcher'
# Instances have loaded the tables by then.
START_S = 2


def make_configuration(version: int = 1, **job_changes: object) -> dict:
    """Return an operator's configuration with a job and a plain route."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'jobs',
                'hostname': HOST,
                'path_prefix': '/jobs/',
                'route_type': 'rollout',
                'service': 'engines',
                'timeout_ms': 10_000,
                'target_latency_ms': 400,
                'max_attempts': 3,
                'result_deadline_ms': 7500,
                'item_ttl_s': 40,
                **job_changes,
            },
            {
                'name': 'scores',
                'hostname': HOST,
                'path_prefix': '/scores/',
                'route_type': 'idempotent',
                'service': 'desk',
                'timeout_ms': 1500,
                'target_latency_ms': 200,
                'max_attempts': 4,
            },
            {
                'name': 'orders',
                'hostname': HOST,
                'path_prefix': '/orders/',
                'route_type': 'non_idempotent',
                'service': 'desk',
                'timeout_ms': 60_000,
                'target_latency_ms': 200,
                'max_attempts': 2,
            },
            _make_stream_route('chats', resumable=True),
            _make_stream_route('talks', resumable=False),
        ],
        'services': [
            {'name': 'engines', 'engine': {'models': [{'name': MODEL}]}},
            {'name': 'desk'},
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 1_000_000,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        },
    }


def _make_stream_route(name: str, resumable: bool) -> dict:
    return {
        'name': name,
        'hostname': HOST,
        'path_prefix': f'/{name}/',
        'route_type': 'streaming',
        'resumable': resumable,
        'service': 'engines',
        'timeout_ms': 10_000,
        'target_latency_ms': 400,
        'max_attempts': 3,
    }


def make_submission(
    job_id: str = 'job-1',
    groups: int = 3,
    size: int = 4,
    min_version: int = 1,
    step: int = 0,
) -> jobs.Submission:
    """Return a job with groups of items."""
    items = tuple(
        jobs.Item(
            id=f'{job_id}-item-{group}-{number}',
            path=f'/jobs/{group}/{number}',
            headers=(('model', MODEL),),
            body=b'\x00\xff prompt',
            group=f'{job_id}-group-{group}',
            model=MODEL,
            reward=jobs.RewardCall(
                f'{job_id}-score-{group}-{number}', HOST, '/scores/1', b'x'
            ),
        )
        for group in range(groups)
        for number in range(size)
    )
    return jobs.Submission(
        id=job_id,
        host=HOST,
        target='/jobs/submit',
        model=MODEL,
        step=step,
        min_version=min_version,
        target_groups=groups,
        items=items,
    )


def make_cluster(
    seed: int = 1,
    instances: int = 3,
    engines: int = 3,
    make_write_event: abc.Callable[[list[dict]], logevents.WriteEvent]
    | None = None,
    software: str = '',
    relays: bool = False,
    duty_api: dutyapi.DutyApi | None = None,
    **job_changes: object,
) -> entries.EntryCluster:
    """Return a cluster with engines, plain endpoints and a configuration."""
    cluster = entries.EntryCluster(seed, make_write_event, relays, duty_api)
    cluster.put_configuration(make_configuration(**job_changes))
    for number in range(engines):
        cluster.pool.add(
            modelengines.FakeEndpoint(
                f'engine-{number}',
                'engines',
                version_by_model={MODEL: 1},
                software=software,
            )
        )
    for number in range(2):
        cluster.pool.add(modelengines.FakeEndpoint(f'desk-{number}', 'desk'))
    for number in range(instances):
        cluster.start(f'entry-{number}')
    return cluster


def run_cluster(
    scenario: abc.Callable[[entries.EntryCluster], abc.Awaitable[None]],
    seed: int = 1,
    instances: int = 3,
    engines: int = 3,
    **job_changes: object,
) -> None:
    """Run a scenario on a cluster that has loaded its endpoints."""

    async def run() -> None:
        cluster = make_cluster(seed, instances, engines, **job_changes)
        await asyncio.sleep(START_S)
        await scenario(cluster)
        await cluster.stop()

    virtualloop.run(run())


async def _grant_all(
    endpoint_id: str, per_s: float, count: int
) -> allocator.Reservation:
    return allocator.Reservation(count, 0.0)


def make_memory(max_bytes: int = 40_000_000) -> answermemory.AnswerMemory:
    """Return the account of the answers that an instance keeps."""
    return answermemory.AnswerMemory(max_bytes)


def make_permits() -> permits.PermitPool:
    """Return the permits of an instance without limited endpoints."""
    return permits.PermitPool(book.LimitBook(), _grant_all, lambda: 0)


def make_origins(registry: registries.Registry) -> recorder.OriginRecorder:
    """Return the origins of an instance whose services have a base."""
    service = rowtable.RowService()
    table = rowtable.RowClient(service, random.Random(1))
    membership = member.Membership('entry-0')
    base_keeper = bases.BaseKeeper(
        table,
        registry,
        membership,
        set,
        lambda: True,
        bases.CopyAges(lambda: 0.0, lambda: 0.0),
        service.get_now_ms,
        lambda event: None,
    )
    for state in registry.state_by_id.values():
        endpoint = state.endpoint
        value = origin.encode_base(origin.Base(endpoint.software))
        key = origin.make_base_key(endpoint.service)
        service.apply(rows.Transaction(puts=((key, value),)))
        base_keeper.apply_row(service.row_by_name[key])
    return recorder.OriginRecorder(
        table,
        base_keeper,
        lambda: 0.0,
        service.get_now_ms,
        lambda event: None,
    )


def make_job_body(submission: jobs.Submission) -> dict:
    """Return the body with which a trainer submits a job."""
    return {
        'step': submission.step,
        'model': submission.model,
        'min_version': submission.min_version,
        'target_groups': submission.target_groups,
        'items': [_make_item_body(item) for item in submission.items],
    }


def _make_item_body(item: jobs.Item) -> dict:
    return {
        'id': item.id,
        'path': item.path,
        'headers': {'Model': item.model, 'Token-Counts': '10,40'},
        'body': base64.b64encode(item.body).decode(),
        'tokens': 50,
        'group': item.group,
        'scorer': {
            'id': item.reward.id,
            'hostname': item.reward.host,
            'path': item.reward.path,
            'body': base64.b64encode(item.reward.body).decode(),
        },
    }
