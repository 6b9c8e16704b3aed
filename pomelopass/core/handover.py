"""Hand over a batch in one transaction that checks staleness."""

import dataclasses
import math

from . import batch
from . import sample
from . import tablerow

__all__ = ['HandOver', 'Rows', 'get_keys', 'make_transaction', 'select']

KEPT_STEPS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Keys:
    """Row keys of one step."""

    ask: str
    batch: str
    carry: str
    published: str
    old_batch: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Row versions that the selection is based on."""

    fence_key: str
    fence_version: int
    ask_version: int
    carry_version: int
    published_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """Groups to hand over, to carry into the next step, and failed ones."""

    groups: list[batch.GroupState]
    carried: list[batch.GroupState]
    failed: list[batch.GroupState]


def get_keys(trainer: str, step: int) -> Keys:
    """Return the row keys of a step."""
    return Keys(
        ask=f'ask/{trainer}/{step}',
        batch=f'batch/{trainer}/{step}',
        carry=f'carry/{trainer}',
        published=f'published/{trainer}',
        old_batch=f'batch/{trainer}/{step - KEPT_STEPS}',
    )


def select(
    state: batch.BatchState, oldest_allowed: int, share_percent: int
) -> HandOver | None:
    """Return what to hand over, or None while too few groups are done.

    Samples older than oldest_allowed return to waiting first.
    """
    needed = math.ceil(state.requested_groups * share_percent / 100)
    if _count_settled(state) < max(1, needed):
        return None
    batch.drop_stale(state, oldest_allowed)
    if _count_settled(state) < max(1, needed):
        return None
    complete = batch.find_complete_groups(state)
    failed = [group for group in state.by_group.values() if group.failure]
    settled_ids = {group.id for group in (*complete, *failed)}
    carried = [
        group
        for group in state.by_group.values()
        if group.id not in settled_ids
    ]
    return HandOver(complete, carried, failed)


def _count_settled(state: batch.BatchState) -> int:
    return len(state.complete_groups) + len(state.failed_groups)


def make_transaction(
    state: batch.BatchState,
    rows: Rows,
    batch_value: str,
    carry_value: str | None,
) -> tablerow.Transaction:
    """Return the transaction that hands the batch over exactly once.

    It applies only while the fence, the ask, the list of carried groups
    and the published version are unchanged since the selection.
    """
    keys = get_keys(state.trainer, state.step)
    conditions = (
        tablerow.Condition(rows.fence_key, rows.fence_version),
        tablerow.Condition(keys.ask, rows.ask_version),
        tablerow.Condition(keys.batch, tablerow.ABSENT),
        tablerow.Condition(keys.carry, rows.carry_version),
        tablerow.Condition(keys.published, rows.published_version),
    )
    puts = [
        tablerow.Put(keys.batch, batch_value),
        tablerow.Put(keys.ask, None),
        tablerow.Put(keys.carry, carry_value),
    ]
    if state.step >= KEPT_STEPS:
        puts.append(tablerow.Put(keys.old_batch, None))
    return tablerow.Transaction(conditions, tuple(puts))


def get_versions(groups: list[batch.GroupState]) -> list[int]:
    """Return the weight versions of the groups in ascending order."""
    versions = set()
    for group in groups:
        for sample_state in group.samples:
            versions.update(_get_sample_versions(sample_state.result))
    return sorted(versions)


def _get_sample_versions(result: sample.Sample | None) -> set[int]:
    if result is None:
        return set()
    return {segment.version for segment in result.segments}
