"""Write claim rows in groups, one transaction for many requests."""

import asyncio

from returns import result

from ..core import tablerow
from ..running import claimwrites
from ..running import context as contexts

__all__ = ['write']

GROUP_WAIT_MS = 5
MAX_GROUP = 64
TRIES = 2


async def write(
    context: contexts.Context, key: str, old_version: int, value: str
) -> result.Result[tablerow.Row, tablerow.StoreFault]:
    """Write a row at its old version; return the row that then stands.

    An answer that was lost is settled by reading the row.
    """
    done = asyncio.get_running_loop().create_future()
    context.claim_writes.append(
        claimwrites.ClaimWrite(key, old_version, value, done)
    )
    if len(context.claim_writes) == 1:
        contexts.spawn(context, _flush_soon(context))
    return await done


async def _flush_soon(context: contexts.Context) -> None:
    await context.ports.clock.sleep(GROUP_WAIT_MS)
    while context.claim_writes:
        group = context.claim_writes[:MAX_GROUP]
        del context.claim_writes[:MAX_GROUP]
        contexts.spawn(context, _write_group(context, group))


async def _write_group(
    context: contexts.Context, group: list[claimwrites.ClaimWrite]
) -> None:
    transaction = tablerow.Transaction(
        tuple(tablerow.Condition(one.key, one.old_version) for one in group),
        tuple(tablerow.Put(one.key, one.value) for one in group),
    )
    answer = await context.ports.table.transact(transaction)
    applied = isinstance(answer, result.Success) and answer.unwrap() is None
    for one in group:
        if applied:
            row = tablerow.Row(one.key, one.value, one.old_version + 1)
            _resolve(one, result.Success(row))
        elif len(group) > 1:
            contexts.spawn(context, _write_group(context, [one]))
        else:
            _resolve(one, await _settle(context, one))


async def _settle(
    context: contexts.Context, one: claimwrites.ClaimWrite
) -> result.Result[tablerow.Row, tablerow.StoreFault]:
    for _ in range(TRIES):
        found = await context.ports.table.get(one.key)
        row = found.value_or(None)
        if row is not None:
            return result.Success(row)
    return result.Failure(_make_fault(found))


def _make_fault(found) -> tablerow.StoreFault:
    if isinstance(found, result.Failure):
        return found.failure()
    outcome = tablerow.verdict.Verdict.MAY_HAVE_RUN
    return tablerow.StoreFault(outcome, 'The row was not written.')


def _resolve(
    one: claimwrites.ClaimWrite,
    outcome: result.Result[tablerow.Row, tablerow.StoreFault],
) -> None:
    if not one.done.done():
        one.done.set_result(outcome)
