"""Put together the samples of one training step."""

from __future__ import annotations

import dataclasses
import enum

from . import sample

__all__ = [
    'BatchState',
    'GroupState',
    'SampleState',
    'add_group',
    'adopt_group',
    'drop_stale',
    'fail_group',
    'find_complete_groups',
    'find_next_sample',
    'record_done',
    'record_failed',
    'record_started',
]


class Phase(enum.Enum):
    """Name how far a sample has come."""

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'


@dataclasses.dataclass(slots=True, eq=False)
class SampleState:
    """Hold one sample with its running attempts by start time."""

    id: str
    group_id: str
    index: int
    batch: BatchState
    phase: Phase = Phase.WAITING
    started_ms_by_attempt: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    endpoint_by_attempt: dict[str, str] = dataclasses.field(
        default_factory=dict
    )
    result: sample.Sample | None = None


@dataclasses.dataclass(slots=True, eq=False)
class GroupState:
    """Hold the samples that share one prompt."""

    id: str
    prompt: str
    ask_object: str
    samples: list[SampleState]
    failure: str | None = None


@dataclasses.dataclass(slots=True, eq=False)
class BatchState:
    """Hold the work of one step of one trainer, indexed by phase."""

    trainer: str
    step: int
    wanted_groups: int
    by_group: dict[str, GroupState] = dataclasses.field(default_factory=dict)
    by_phase: dict[Phase, dict[str, SampleState]] = dataclasses.field(
        default_factory=lambda: {phase: {} for phase in Phase}
    )
    complete_groups: set[str] = dataclasses.field(default_factory=set)
    failed_groups: set[str] = dataclasses.field(default_factory=set)
    done_ms: list[float] = dataclasses.field(default_factory=list)
    races: int = 0
    thrown_away: int = 0


def add_group(
    state: BatchState,
    group_id: str,
    prompt: str,
    ask_object: str,
    size: int,
) -> None:
    """Add a group unless the batch has it already."""
    if group_id in state.by_group:
        return
    samples = [
        SampleState(f'{group_id}/{index}', group_id, index, state)
        for index in range(size)
    ]
    adopt_group(state, GroupState(group_id, prompt, ask_object, samples))


def adopt_group(state: BatchState, group: GroupState) -> None:
    """Take over a group with all that is done or running of it."""
    state.by_group[group.id] = group
    if group.failure is not None:
        state.failed_groups.add(group.id)
        return
    for one in group.samples:
        one.batch = state
        state.by_phase[one.phase][one.id] = one
    _note_complete(state, group)


def count_samples(state: BatchState) -> int:
    """Return how many samples the batch has in all phases."""
    return sum(len(ids) for ids in state.by_phase.values())


def find_next_sample(state: BatchState) -> SampleState | None:
    """Return the sample that has waited longest, or None."""
    return next(iter(state.by_phase[Phase.WAITING].values()), None)


def record_started(
    one: SampleState, attempt_id: str, endpoint_key: str, now_ms: float
) -> None:
    """Record a new attempt."""
    _move(one, Phase.RUNNING)
    one.started_ms_by_attempt[attempt_id] = now_ms
    one.endpoint_by_attempt[attempt_id] = endpoint_key


def record_failed(one: SampleState, attempt_id: str) -> None:
    """Let the sample wait again when its last attempt failed."""
    one.started_ms_by_attempt.pop(attempt_id, None)
    one.endpoint_by_attempt.pop(attempt_id, None)
    if one.phase == Phase.RUNNING and not one.started_ms_by_attempt:
        _move(one, Phase.WAITING)


def record_done(
    one: SampleState,
    attempt_id: str,
    result: sample.Sample,
    now_ms: float,
) -> list[str]:
    """Keep the first result of a sample; return attempts to cancel."""
    started_ms = one.started_ms_by_attempt.pop(attempt_id, None)
    if one.phase == Phase.DONE or started_ms is None:
        return []
    one.batch.done_ms.append(now_ms - started_ms)
    losers = list(one.started_ms_by_attempt)
    one.started_ms_by_attempt.clear()
    one.endpoint_by_attempt.clear()
    one.result = result
    _move(one, Phase.DONE)
    _note_complete(one.batch, one.batch.by_group[one.group_id])
    return losers


def find_complete_groups(state: BatchState) -> list[GroupState]:
    """Return the groups whose samples are all done."""
    return [
        group
        for group in state.by_group.values()
        if group.id in state.complete_groups
    ]


def fail_group(state: BatchState, group_id: str, reason: str) -> None:
    """Give a group up, so that the rest of the step can go on."""
    group = state.by_group[group_id]
    group.failure = reason
    state.failed_groups.add(group_id)
    for one in group.samples:
        state.by_phase[one.phase].pop(one.id, None)
        one.phase = Phase.DONE


def drop_stale(state: BatchState, oldest_allowed: int) -> int:
    """Send samples below the version back to waiting; return how many."""
    stale = [
        one
        for one in state.by_phase[Phase.DONE].values()
        if sample.get_oldest_version(one.result) < oldest_allowed
    ]
    for one in stale:
        one.result = None
        _move(one, Phase.WAITING)
        state.complete_groups.discard(one.group_id)
    state.thrown_away += len(stale)
    return len(stale)


def _move(one: SampleState, phase: Phase) -> None:
    del one.batch.by_phase[one.phase][one.id]
    one.phase = phase
    one.batch.by_phase[phase][one.id] = one


def _note_complete(state: BatchState, group: GroupState) -> None:
    if all(one.phase == Phase.DONE for one in group.samples):
        state.complete_groups.add(group.id)
