"""Hold the events that an entry instance logs, each with its fields."""

from collections import abc
import dataclasses
import re
from typing import ClassVar

__all__ = [
    'FIELD_MEANINGS',
    'ConfigurationInForce',
    'ConfigurationUnreadable',
    'DutyLost',
    'DutyUnconfirmed',
    'EndpointChanged',
    'EndpointCrashed',
    'EndpointUnreadable',
    'EngineOrdered',
    'Event',
    'InstanceFound',
    'ItemRun',
    'ItemTerminated',
    'JobAdopted',
    'JobChanged',
    'JobEnded',
    'JobHandedOver',
    'JobNotLoaded',
    'JobNotRemoved',
    'JobRefused',
    'JobRemoved',
    'JobStarted',
    'JobSubmitted',
    'JobUnreadable',
    'LinesDropped',
    'ListenFailed',
    'MemberUnreadable',
    'RequestEnded',
    'RequestFailed',
    'ResultsListed',
    'SettingsRefused',
    'SettingsReloaded',
    'Started',
    'Stopped',
    'Stopping',
    'TableLost',
    'TableRegained',
    'TaskFailed',
    'TextsNotSaved',
    'VersionNamed',
    'VersionUnreadable',
    'WriteEvent',
    'get_all_events',
    'get_fields',
]

# A field means the same in every event.
FIELD_MEANINGS = {
    'address': 'IP address and port of an endpoint',
    'applied': 'whether the table took the write',
    'breaks': 'runs of an item that broke off without progress',
    'carried': 'items taken over with text of an earlier job',
    'change': 'found, ready, draining, gone, restarted or version',
    'count': 'how many lines were left out',
    'detail': 'the error, as its program told it',
    'endpoint': 'id of an endpoint',
    'endpoints': 'ids of the endpoints that may have run it',
    'errors': 'answers of an endpoint that told an error',
    'events': 'parts of the text that have come so far',
    'fence': 'number under which the orders of one holder stand',
    'fingerprint': 'digest of the content of a request',
    'first': 'place of the first result among those of the job',
    'former': 'the start of an instance that owned the job before',
    'id': 'id of a request or an item',
    'in_flight': 'requests that had not ended',
    'instance': 'name of an instance',
    'items': 'ids of items',
    'job': 'id of a job',
    'key': 'key of a row',
    'last_event_id': 'id of the last part that a stream passed on',
    'listed': 'results that readers see already',
    'may_have_run': 'number of endpoints that may have run it',
    'min_version': 'oldest weight version that the job takes',
    'model': 'name of a model',
    'outcome': 'how it ended',
    'owned': 'jobs of the instance',
    'owner': 'name of the instance that runs a job',
    'problems': 'each problem of the settings, with its place',
    'process': 'number of the process',
    'reason': 'why the last try failed',
    'refused_by': 'ids of the endpoints that said that they ran nothing',
    'route': 'name of the route',
    'rows': 'rows that were removed',
    'service': 'name of a service',
    'start': 'name of one start of an instance',
    'status': 'HTTP status; 0 without an answer',
    'step': 'number of the step of training',
    'still_ours': 'whether the job still has the same owner and results',
    'task': 'the part of the program',
    'texts': 'unfinished texts that are kept',
    'took_ms': 'milliseconds from the begin to the end',
    'total': 'items of a job',
    'version': 'weight version, or version of the configuration',
    'versions': 'weight versions; by model, or in the order of the text',
    'waited_ms': 'milliseconds until an engine was free',
    'why': 'what is wrong with it',
}


class Event:
    """Be the base of all events; the class's name tells the kind."""

    __slots__ = ()
    kind: ClassVar[str] = ''

    def __init_subclass__(cls) -> None:
        """Derive the kind, in lower case with hyphens."""
        words = re.findall('[A-Z][a-z]*', cls.__name__)
        cls.kind = '-'.join(words).lower()


WriteEvent = abc.Callable[[Event], None]
_event = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_event
class Started(Event):
    """A process serves."""

    start: str
    process: int


@_event
class ListenFailed(Event):
    """An address is in use; the process ends with status 3."""

    detail: str


@_event
class Stopping(Event):
    """The process leaves the directory and hands its jobs over."""

    owned: int


@_event
class Stopped(Event):
    """The process ends."""

    in_flight: int


@_event
class SettingsReloaded(Event):
    """A changed settings file is in force."""


@_event
class SettingsRefused(Event):
    """A changed settings file is wrong; the former settings stay."""

    problems: list[str]


@_event
class TableLost(Event):
    """The table does not answer; calls go through peers."""

    detail: str


@_event
class TableRegained(Event):
    """The table answers this instance again."""


@_event
class ConfigurationInForce(Event):
    """A configuration routes requests from now on."""

    version: int


@_event
class ConfigurationUnreadable(Event):
    """A configuration can't be read; the former one stays."""

    why: str


@_event
class EndpointChanged(Event):
    """The view of an endpoint changed."""

    endpoint: str
    service: str
    address: str
    change: str
    versions: abc.Mapping[str, int]


@_event
class EndpointUnreadable(Event):
    """An endpoint's entry can't be read; it gets no work."""

    key: str
    why: str


@_event
class EndpointCrashed(Event):
    """An endpoint refused connections right after it broke off."""

    endpoint: str
    fingerprint: str


@_event
class InstanceFound(Event):
    """An instance has come, or come again."""

    instance: str
    start: str


@_event
class MemberUnreadable(Event):
    """A heartbeat can't be read; it is passed over."""

    key: str


@_event
class RequestEnded(Event):
    """A request ended; the line covers all its attempts.

    A stream may also end as broken-off or caller-left.
    """

    id: str
    route: str
    outcome: str
    status: int
    reason: str
    endpoints: list[str]
    refused_by: list[str]
    may_have_run: int
    took_ms: float
    last_event_id: str | None = None


@_event
class RequestFailed(Event):
    """A fault of the product ended a request: report it."""

    detail: str


@_event
class JobSubmitted(Event):
    """A trainer submitted a job."""

    job: str
    step: int
    total: int
    min_version: int
    outcome: str
    owner: str


@_event
class JobRefused(Event):
    """A submitted job is wrong."""

    job: str
    why: str


@_event
class JobStarted(Event):
    """An instance runs a job that it owns from now on."""

    job: str
    listed: int
    texts: int
    carried: int
    total: int


@_event
class JobAdopted(Event):
    """An instance took over a job whose owner is gone, or tried to."""

    job: str
    applied: bool
    former: str


@_event
class JobHandedOver(Event):
    """An instance that stops left a job to others."""

    job: str
    applied: bool
    texts: int


@_event
class JobChanged(Event):
    """A job's record was changed by another instance or the trainer."""

    job: str
    still_ours: bool


@_event
class JobNotLoaded(Event):
    """The table did not give a job's rows; it is tried again."""

    job: str
    detail: str


@_event
class JobNotRemoved(Event):
    """The table did not remove an old job; it is tried again."""

    job: str
    detail: str


@_event
class JobUnreadable(Event):
    """A job's row can't be read; it is passed over."""

    job: str
    detail: str


@_event
class JobEnded(Event):
    """A trainer ended its job."""

    job: str


@_event
class JobRemoved(Event):
    """An old job's rows are gone."""

    job: str
    rows: int


@_event
class ItemRun(Event):
    """A run of an item at an engine ended."""

    job: str
    id: str
    endpoint: str
    outcome: str
    events: int
    versions: list[int]
    waited_ms: float
    took_ms: float


@_event
class ItemTerminated(Event):
    """An item was given up."""

    job: str
    id: str
    errors: int
    breaks: int


@_event
class ResultsListed(Event):
    """Readers see these results from now on."""

    job: str
    first: int
    items: list[str]


@_event
class TextsNotSaved(Event):
    """The table did not take unfinished texts; it is tried again."""

    job: str
    detail: str


@_event
class VersionNamed(Event):
    """A trainer named a weight version."""

    model: str
    version: int


@_event
class VersionUnreadable(Event):
    """A named version can't be read; it is passed over."""

    key: str
    why: str


@_event
class EngineOrdered(Event):
    """An engine was ordered to a weight version."""

    endpoint: str
    model: str
    version: int
    fence: int
    outcome: str


@_event
class DutyLost(Event):
    """The instance may not order the engines of a service any more."""

    service: str


@_event
class DutyUnconfirmed(Event):
    """The table did not say who orders the engines of a service."""

    service: str
    detail: str


@_event
class TaskFailed(Event):
    """A fault of the product ended a task, which starts again: report it."""

    task: str
    detail: str


@_event
class LinesDropped(Event):
    """Standard output was not read in time; lines were left out."""

    count: int


def get_all_events() -> list[type[Event]]:
    """Return all kinds of events in the order of their definition."""
    # A class with slots is made twice; the second one is in use.
    by_kind = {one.kind: one for one in Event.__subclasses__()}
    return list(by_kind.values())


def get_fields(event: Event) -> dict[str, object]:
    """Return what an event tells by field; a field without a value is out."""
    named = ((name, getattr(event, name)) for name in event.__slots__)
    return {name: value for name, value in named if value is not None}
