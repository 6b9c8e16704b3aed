"""Assign each duty to one instance at a time by a lease."""

import asyncio
from collections import abc
import functools
import json

from returns import result

from .configuring import configuration
from .core import lease
from .core import peers
from .core import rendezvous
from .core import stopping
from .core import tablerow
from .duties import batches
from .duties import weights
from .running import context as contexts

__all__ = [
    'LEASE_CHECK_INTERVAL_MS',
    'UnknownDutyError',
    'get_all_duties',
    'get_duty_by_name',
    'keep_leases',
    'release_leases',
]

LEASE_CHECK_INTERVAL_MS = 700
LEASE_PREFIX = 'lease/'

RunDuty = abc.Callable[[contexts.Context, str, str], abc.Awaitable[None]]

DUTY_BY_NAME: dict[str, RunDuty] = {
    'batches': batches.run,
    'weights': weights.run,
}


class UnknownDutyError(ValueError):
    """Error for an unknown duty name."""


def get_duty_by_name(name: str) -> RunDuty:
    """Return the function of a duty; raise UnknownDutyError."""
    duty_kind = name.partition('/')[0]
    if duty_kind not in DUTY_BY_NAME:
        raise UnknownDutyError(f'No duty is named {name!r}.')
    return DUTY_BY_NAME[duty_kind]


def get_all_duties(config: configuration.Configuration) -> list[str]:
    """Return the names of all duties that the configuration needs."""
    training_pools = {trainer.pool for trainer in config.trainers.values()}
    models = {version.model for version in config.weight_versions.values()}
    versioned_pools = {
        name
        for name, pool in config.pools.items()
        if models.intersection(pool.models)
    }
    names = [f'batches/{pool}' for pool in sorted(training_pools)]
    names += [
        f'weights/{pool}' for pool in sorted(versioned_pools | training_pools)
    ]
    return names


async def keep_leases(context: contexts.Context) -> None:
    """Acquire, renew and give up leases according to their rows."""
    if context.configuration is None:
        return
    if context.stopping.phase != stopping.Phase.RUNNING:
        return
    rows_result = await context.ports.table.scan(LEASE_PREFIX)
    if isinstance(rows_result, result.Failure):
        return
    row_by_key = {row.key: row for row in rows_result.unwrap()}
    names = get_all_duties(context.configuration)
    for name in names:
        row = row_by_key.get(f'{LEASE_PREFIX}{name}')
        await _maintain_lease(context, name, row)
    for name in set(context.duties.lease_by_name) - set(names):
        _stop_duty(context, name)


async def release_leases(context: contexts.Context) -> None:
    """Release all leases so that other instances take over immediately."""
    for name, state in list(context.duties.lease_by_name.items()):
        held = state.valid_until_ms is not None
        _stop_duty(context, name)
        if not held:
            continue
        row = context.duties.row_by_name.get(name)
        released = lease.get_released_row(state)
        version = row.version if row else tablerow.ABSENT
        await _write_lease_row(context, name, released, version, False)


async def _maintain_lease(
    context: contexts.Context, name: str, row: tablerow.Row | None
) -> None:
    state = context.duties.lease_by_name.setdefault(
        name, lease.LeaseState(context.incarnation)
    )
    now_ms = context.ports.clock.now_ms()
    lease_row = _read_row(row)
    action = lease.plan(
        state, lease_row, _is_first_choice(context, name), now_ms
    )
    if state.valid_until_ms is None:
        _stop_task(context, name)
    if action == lease.Action.WAIT:
        return
    next_row = lease.get_next_row(state, action)
    version = row.version if row else tablerow.ABSENT
    acquiring = action == lease.Action.ACQUIRE
    if not await _write_lease_row(context, name, next_row, version, acquiring):
        return
    lease.record_renewed(state, next_row, now_ms)
    context.duties.row_by_name[name] = tablerow.Row(
        f'{LEASE_PREFIX}{name}', '', version + 1
    )
    if name not in context.duties.task_by_name:
        await _start_duty(context, name, next_row)


async def _start_duty(
    context: contexts.Context, name: str, row: lease.LeaseRow
) -> None:
    fence_result = await context.ports.table.get(get_fence_key(name))
    fence = fence_result.value_or(None)
    if fence is None or fence.value != str(row.fence):
        return
    context.duties.fence_version_by_name[name] = fence.version
    contexts.record_event(context, 'duty-taken', name, f'fence {row.fence}')
    pool = name.partition('/')[2]
    run = get_duty_by_name(name)
    task = contexts.spawn(context, run(context, name, pool))
    context.duties.task_by_name[name] = task
    task.add_done_callback(functools.partial(_handle_task_end, context, name))


async def _write_lease_row(
    context: contexts.Context,
    name: str,
    row: lease.LeaseRow,
    old_version: int,
    acquiring: bool,
) -> bool:
    key = f'{LEASE_PREFIX}{name}'
    value = json.dumps([row.holder, row.fence, row.renewal])
    puts = [tablerow.Put(key, value)]
    if acquiring:
        puts.append(tablerow.Put(get_fence_key(name), str(row.fence)))
    transaction = tablerow.Transaction(
        (tablerow.Condition(key, old_version),), tuple(puts)
    )
    conflict_result = await context.ports.table.transact(transaction)
    return (
        isinstance(conflict_result, result.Success)
        and conflict_result.unwrap() is None
    )


def get_fence_key(name: str) -> str:
    """Return the key of the fence row, written by each new holder."""
    return f'fence/{name}'


def _read_row(row: tablerow.Row | None) -> lease.LeaseRow | None:
    if row is None:
        return None
    holder, fence, renewal = json.loads(row.value)
    return lease.LeaseRow(holder, fence, renewal)


def _is_first_choice(context: contexts.Context, name: str) -> bool:
    now_ms = context.ports.clock.now_ms()
    live_peers = peers.find_live(context.peers, now_ms)
    names = [view.incarnation for view in live_peers if view.accepting]
    ranked = rendezvous.rank(name, [*names, context.incarnation])
    return ranked[0] == context.incarnation


def _handle_task_end(
    context: contexts.Context, name: str, task: asyncio.Task
) -> None:
    if context.duties.task_by_name.get(name) is not task:
        return
    del context.duties.task_by_name[name]
    if not task.cancelled():
        contexts.record_event(
            context, 'duty-failed', name, repr(task.exception())
        )


def _stop_duty(context: contexts.Context, name: str) -> None:
    lease.record_lost(context.duties.lease_by_name[name])
    _stop_task(context, name)


def _stop_task(context: contexts.Context, name: str) -> None:
    task = context.duties.task_by_name.pop(name, None)
    if task is not None:
        contexts.record_event(context, 'duty-lost', name, '')
        task.cancel()
