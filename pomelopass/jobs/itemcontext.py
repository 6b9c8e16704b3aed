"""Data and collaborators of the runs of a job's items."""

from collections import abc
import dataclasses
import random

from .. import answermemory
from . import job as jobs
from . import progress as progresses
from ..reporting import logevents
from ..requests import call as calls
from ..requests import forward
from ..requests import routes
from . import rewardgate
from . import schedule

__all__ = ['ItemContext', 'ItemRun']


@dataclasses.dataclass(slots=True)
class ItemContext:
    """What the runs of a job's items share."""

    submission: jobs.Submission
    get_route: abc.Callable[[], routes.Route | None]
    # Items are terminated after this time, in seconds on the loop's clock.
    expires_at: float
    deadline_ms: float
    scheduler: schedule.Scheduler
    port: calls.EndpointPort
    forwarder: forward.Forwarder
    gate: rewardgate.RewardGate
    get_configuration: abc.Callable[[], routes.Configuration | None]
    version_field: str
    rng: random.Random
    write_event: logevents.WriteEvent
    remaining_by_group: dict[str, int]
    memory: answermemory.AnswerMemory


@dataclasses.dataclass(slots=True)
class ItemRun:
    """State of an item across its runs."""

    item: jobs.Item
    group_index: int
    progress: progresses.Progress
    kept: answermemory.Share
    errors: int = 0
    # Consecutive runs that added no event.
    failed_runs: int = 0
    avoid: set[str] = dataclasses.field(default_factory=set)
    # Engines whose answers to this item were no texts.
    unfit_ids: set[str] = dataclasses.field(default_factory=set)
    terminated: bool = False
    # Whether an engine sent nothing for the length of the stall timeout.
    was_silent: bool = False
    # Zone of the engine that ran the item last, with its prompt in a cache.
    cache_zone: str | None = None
    # From the opened stream to the first event of the text.
    prompt_ms: float = 0.0
