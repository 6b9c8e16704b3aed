"""Write claim rows in groups, one transaction per group."""

import asyncio

from returns import result

from ..core import tablerow
from ..running import claimwrites
from ..running import context as contexts

__all__ = ['write']

GROUP_WAIT_MS = 5
MAX_GROUP_SIZE = 64
READ_ATTEMPTS = 2


async def write(
    context: contexts.Context, key: str, old_version: int, value: str
) -> result.Result[tablerow.Row, tablerow.StoreFault]:
    """Write a row if it has the old version; return the stored row.

    When the transaction fails or its reply is lost, the row is read.
    """
    completion = asyncio.get_running_loop().create_future()
    context.claim_writes.append(
        claimwrites.ClaimWrite(key, old_version, value, completion)
    )
    if len(context.claim_writes) == 1:
        contexts.spawn(context, _flush_after_wait(context))
    return await completion


async def _flush_after_wait(context: contexts.Context) -> None:
    await context.ports.clock.sleep(GROUP_WAIT_MS)
    while context.claim_writes:
        group = context.claim_writes[:MAX_GROUP_SIZE]
        del context.claim_writes[:MAX_GROUP_SIZE]
        contexts.spawn(context, _write_group(context, group))


async def _write_group(
    context: contexts.Context, group: list[claimwrites.ClaimWrite]
) -> None:
    transaction = tablerow.Transaction(
        tuple(
            tablerow.Condition(claim_write.key, claim_write.old_version)
            for claim_write in group
        ),
        tuple(
            tablerow.Put(claim_write.key, claim_write.value)
            for claim_write in group
        ),
    )
    answer = await context.ports.table.transact(transaction)
    applied = isinstance(answer, result.Success) and answer.unwrap() is None
    for claim_write in group:
        if applied:
            row = tablerow.Row(
                claim_write.key, claim_write.value, claim_write.old_version + 1
            )
            _resolve(claim_write, result.Success(row))
        elif len(group) > 1:
            contexts.spawn(context, _write_group(context, [claim_write]))
        else:
            _resolve(claim_write, await _read_stored_row(context, claim_write))


async def _read_stored_row(
    context: contexts.Context, claim_write: claimwrites.ClaimWrite
) -> result.Result[tablerow.Row, tablerow.StoreFault]:
    for _ in range(READ_ATTEMPTS):
        row_result = await context.ports.table.get(claim_write.key)
        row = row_result.value_or(None)
        if row is not None:
            return result.Success(row)
    return result.Failure(_make_fault(row_result))


def _make_fault(row_result) -> tablerow.StoreFault:
    if isinstance(row_result, result.Failure):
        return row_result.failure()
    outcome = tablerow.verdict.Verdict.MAY_HAVE_RUN
    return tablerow.StoreFault(outcome, 'The row was not written.')


def _resolve(
    claim_write: claimwrites.ClaimWrite,
    outcome: result.Result[tablerow.Row, tablerow.StoreFault],
) -> None:
    if not claim_write.completion.done():
        claim_write.completion.set_result(outcome)
