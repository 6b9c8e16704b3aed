"""Assemble the samples of one training step."""

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
    """Progress of a sample."""

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'


@dataclasses.dataclass(slots=True, eq=False)
class SampleState:
    """A sample with its running attempts and their start times."""

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
    """The samples that share a prompt."""

    id: str
    prompt: str
    ask_object: str
    samples: list[SampleState]
    failure: str | None = None


@dataclasses.dataclass(slots=True, eq=False)
class BatchState:
    """The samples of one step of a trainer, indexed by phase."""

    trainer: str
    step: int
    requested_groups: int
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
    """Add a group of new samples unless it already exists."""
    if group_id in state.by_group:
        return
    samples = [
        SampleState(f'{group_id}/{index}', group_id, index, state)
        for index in range(size)
    ]
    adopt_group(state, GroupState(group_id, prompt, ask_object, samples))


def adopt_group(state: BatchState, group: GroupState) -> None:
    """Add an existing group with its finished and running samples."""
    state.by_group[group.id] = group
    if group.failure is not None:
        state.failed_groups.add(group.id)
        return
    for sample_state in group.samples:
        sample_state.batch = state
        state.by_phase[sample_state.phase][sample_state.id] = sample_state
    _update_complete(state, group)


def count_samples(state: BatchState) -> int:
    """Return the number of samples in all phases."""
    return sum(len(ids) for ids in state.by_phase.values())


def find_next_sample(state: BatchState) -> SampleState | None:
    """Return the sample that has waited the longest, or None."""
    return next(iter(state.by_phase[Phase.WAITING].values()), None)


def record_started(
    sample_state: SampleState,
    attempt_id: str,
    endpoint_key: str,
    now_ms: float,
) -> None:
    """Record the start of an attempt."""
    _move(sample_state, Phase.RUNNING)
    sample_state.started_ms_by_attempt[attempt_id] = now_ms
    sample_state.endpoint_by_attempt[attempt_id] = endpoint_key


def record_failed(sample_state: SampleState, attempt_id: str) -> None:
    """Return the sample to waiting when no other attempt is running."""
    sample_state.started_ms_by_attempt.pop(attempt_id, None)
    sample_state.endpoint_by_attempt.pop(attempt_id, None)
    if (
        sample_state.phase == Phase.RUNNING
        and not sample_state.started_ms_by_attempt
    ):
        _move(sample_state, Phase.WAITING)


def record_done(
    sample_state: SampleState,
    attempt_id: str,
    result: sample.Sample,
    now_ms: float,
) -> list[str]:
    """Store the first result of a sample; return attempts to cancel."""
    started_ms = sample_state.started_ms_by_attempt.pop(attempt_id, None)
    if sample_state.phase == Phase.DONE or started_ms is None:
        return []
    sample_state.batch.done_ms.append(now_ms - started_ms)
    attempts_to_cancel = list(sample_state.started_ms_by_attempt)
    sample_state.started_ms_by_attempt.clear()
    sample_state.endpoint_by_attempt.clear()
    sample_state.result = result
    _move(sample_state, Phase.DONE)
    _update_complete(
        sample_state.batch, sample_state.batch.by_group[sample_state.group_id]
    )
    return attempts_to_cancel


def find_complete_groups(state: BatchState) -> list[GroupState]:
    """Return the groups whose samples are all done."""
    return [
        group
        for group in state.by_group.values()
        if group.id in state.complete_groups
    ]


def fail_group(state: BatchState, group_id: str, reason: str) -> None:
    """Mark a group as failed, so that the rest of the step can finish."""
    group = state.by_group[group_id]
    group.failure = reason
    state.failed_groups.add(group_id)
    for sample_state in group.samples:
        state.by_phase[sample_state.phase].pop(sample_state.id, None)
        sample_state.phase = Phase.DONE


def drop_stale(state: BatchState, oldest_allowed: int) -> int:
    """Return samples older than the version to waiting; count them."""
    stale = [
        sample_state
        for sample_state in state.by_phase[Phase.DONE].values()
        if sample.get_oldest_version(sample_state.result) < oldest_allowed
    ]
    for sample_state in stale:
        sample_state.result = None
        _move(sample_state, Phase.WAITING)
        state.complete_groups.discard(sample_state.group_id)
    state.thrown_away += len(stale)
    return len(stale)


def _move(sample_state: SampleState, phase: Phase) -> None:
    del sample_state.batch.by_phase[sample_state.phase][sample_state.id]
    sample_state.phase = phase
    sample_state.batch.by_phase[phase][sample_state.id] = sample_state


def _update_complete(state: BatchState, group: GroupState) -> None:
    if all(sample_state.phase == Phase.DONE for sample_state in group.samples):
        state.complete_groups.add(group.id)
