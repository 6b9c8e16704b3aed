"""Put together the samples of one training step."""

import dataclasses
import enum

from . import sample

__all__ = [
    'BatchState',
    'GroupState',
    'SampleState',
    'add_group',
    'drop_stale',
    'fail_group',
    'find_complete_groups',
    'find_next_sample',
    'note_done',
    'note_failed',
    'note_started',
]


class Phase(enum.Enum):
    """Name how far a sample has come."""

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'


@dataclasses.dataclass(slots=True)
class SampleState:
    """Hold one sample with its running attempts by start time."""

    id: str
    group_id: str
    index: int
    phase: Phase = Phase.WAITING
    started_ms_by_attempt: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    endpoint_by_attempt: dict[str, str] = dataclasses.field(
        default_factory=dict
    )
    result: sample.Sample | None = None


@dataclasses.dataclass(slots=True)
class GroupState:
    """Hold the samples that share one prompt."""

    id: str
    prompt: str
    ask_object: str
    samples: list[SampleState]
    failure: str | None = None


@dataclasses.dataclass(slots=True)
class BatchState:
    """Hold the work of one step of one trainer."""

    trainer: str
    step: int
    wanted_groups: int
    by_group: dict[str, GroupState] = dataclasses.field(default_factory=dict)
    by_sample: dict[str, SampleState] = dataclasses.field(default_factory=dict)
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
        SampleState(f'{group_id}/{index}', group_id, index)
        for index in range(size)
    ]
    group = GroupState(group_id, prompt, ask_object, samples)
    state.by_group[group_id] = group
    for one in samples:
        state.by_sample[one.id] = one


def adopt_group(state: BatchState, group: GroupState) -> None:
    """Take over a group with all that is done or running of it."""
    state.by_group[group.id] = group
    for one in group.samples:
        state.by_sample[one.id] = one


def find_next_sample(state: BatchState) -> SampleState | None:
    """Return the first waiting sample in the order of the groups."""
    for one in state.by_sample.values():
        if one.phase == Phase.WAITING:
            return one
    return None


def note_started(
    state: BatchState,
    sample_id: str,
    attempt_id: str,
    endpoint_key: str,
    now_ms: float,
) -> None:
    """Record a new attempt."""
    one = state.by_sample[sample_id]
    one.phase = Phase.RUNNING
    one.started_ms_by_attempt[attempt_id] = now_ms
    one.endpoint_by_attempt[attempt_id] = endpoint_key


def note_failed(state: BatchState, sample_id: str, attempt_id: str) -> None:
    """Let the sample wait again when its last attempt failed."""
    one = state.by_sample.get(sample_id)
    if one is None:
        return
    one.started_ms_by_attempt.pop(attempt_id, None)
    one.endpoint_by_attempt.pop(attempt_id, None)
    if one.phase == Phase.RUNNING and not one.started_ms_by_attempt:
        one.phase = Phase.WAITING


def note_done(
    state: BatchState,
    attempt_id: str,
    result: sample.Sample,
    now_ms: float,
) -> list[str]:
    """Keep the first result of a sample; return attempts to cancel."""
    one = state.by_sample.get(result.id)
    if one is None:
        return []
    started_ms = one.started_ms_by_attempt.pop(attempt_id, None)
    if one.phase == Phase.DONE or started_ms is None:
        return []
    state.done_ms.append(now_ms - started_ms)
    losers = list(one.started_ms_by_attempt)
    one.started_ms_by_attempt.clear()
    one.phase = Phase.DONE
    one.result = result
    return losers


def find_complete_groups(state: BatchState) -> list[GroupState]:
    """Return the groups whose samples are all done."""
    return [
        group
        for group in state.by_group.values()
        if group.failure is None
        and all(one.phase == Phase.DONE for one in group.samples)
    ]


def fail_group(state: BatchState, group_id: str, reason: str) -> None:
    """Give a group up, so that the rest of the step can go on."""
    group = state.by_group[group_id]
    group.failure = reason
    for one in group.samples:
        state.by_sample.pop(one.id, None)


def drop_stale(state: BatchState, oldest_allowed: int) -> int:
    """Send samples below the version back to waiting; return how many."""
    dropped = 0
    for one in state.by_sample.values():
        if one.result is None:
            continue
        if sample.get_oldest_version(one.result) >= oldest_allowed:
            continue
        one.phase = Phase.WAITING
        one.result = None
        dropped += 1
    state.thrown_away += dropped
    return dropped
