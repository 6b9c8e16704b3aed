"""Define the events that an entry instance logs, and their fields."""

from collections import abc
import dataclasses
import logging
import re
from typing import ClassVar

__all__ = [
    'FIELD_MEANINGS',
    'ClientsLimited',
    'ConfigurationInForce',
    'ConfigurationUnreadable',
    'DutyEnded',
    'DutyLost',
    'DutyTaken',
    'DutyUnconfirmed',
    'EndpointAnswered',
    'EndpointChanged',
    'EndpointChangesOmitted',
    'EndpointCrashed',
    'EndpointLimited',
    'EndpointPath',
    'EndpointUnreadable',
    'EndpointsLost',
    'EndpointsRegained',
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
    'KeysEnded',
    'KeysRefused',
    'LeavingNotReported',
    'LinesDropped',
    'ListenFailed',
    'MemberUnreadable',
    'OriginNotStored',
    'PeerOpenedNoPath',
    'PermitNotReserved',
    'RequestEnded',
    'RequestFailed',
    'ResultsListed',
    'RouteNotFound',
    'RowFailed',
    'ScalingDelayed',
    'ScalingOrdered',
    'SettingsRefused',
    'SettingsReloaded',
    'Started',
    'Stopped',
    'Stopping',
    'TableLost',
    'TableRegained',
    'TaskFailed',
    'TextsNotSaved',
    'UsageClockSet',
    'UsageClosed',
    'UsageDelayed',
    'UsageLate',
    'UsageReported',
    'VersionNamed',
    'VersionUnreadable',
    'WriteEvent',
    'ZoneLeft',
    'get_all_events',
    'get_fields',
]

# A field means the same in every event.
FIELD_MEANINGS = {
    'address': 'IP address and port of an endpoint',
    'attempts': 'how often a report was sent by this holder',
    'age_ms': 'milliseconds since the table confirmed the copy that decided',
    'applied': 'whether the table applied the write',
    'availability_zone': 'availability zone of the engines',
    'bodies_evicted': 'requests that were cut off within their body',
    'bodies_refused': 'requests whose body was refused with 503',
    'bodies_waited': 'requests whose body was not read for a while',
    'breaks': 'runs of an item that were cut off without progress',
    'bytes': 'bytes that crossed zone boundaries, both ways',
    'carried': 'items that start with text from an earlier job',
    'change': 'found, ready, draining, leaving, gone, restarted, version, '
    'lost or regained',
    'committed': 'engines that accepted jobs need to be in time',
    'configuration': 'version of the configuration that decided',
    'connections_evicted': 'idle connections that left for new ones',
    'connections_refused': 'connections refused as too many',
    'count': 'number of dropped lines',
    'counts': 'omitted lines by change',
    'detail': 'message of the error',
    'digest': 'digest of the bytes of a report',
    'duty': 'name of a duty that one instance at a time performs',
    'endpoint': 'id of an endpoint',
    'endpoints': 'ids of the endpoints that may have run it',
    'engines': 'number of engines that was ordered',
    'errors': 'error replies of endpoints',
    'events': 'stream events received so far',
    'fence': 'fencing number of the calls of one holder',
    'fingerprint': 'digest of the content of a request',
    'first': 'index of the first result among those of the job',
    'former': 'start of the instance that owned the job before',
    'granted_by': 'version of the configuration that last granted a key',
    'granted_ms': 'milliseconds from the start of the request to that',
    'held_bytes': 'bytes of clients that are held now',
    'host': 'host that a request names',
    'id': 'id of a request or an item',
    'in_flight': 'requests that had not ended',
    'instance': 'name of an instance',
    'items': 'ids of items',
    'job': 'id of a job',
    'key': 'key of a row',
    'last_event_id': 'id of the last event that a stream passed on',
    'leaving': 'whether the endpoint says that it stops soon',
    'left': 'requests and runs that went to another availability zone',
    'limit': 'requests per second that an endpoint takes from all instances',
    'listed': 'results that are already visible to readers',
    'may_have_run': 'number of endpoints that may have run it',
    'min_version': 'oldest weight version that the job accepts',
    'model': 'name of a model',
    'not_run': 'whether the endpoint reports that it ran nothing',
    'offset_ms': 'true time less the time of the table service',
    'open_items': 'items of recent jobs without a result',
    'outcome': 'result of the operation',
    'owned': 'jobs owned by the instance',
    'owner': 'name of the instance that runs a job',
    'peer': 'name of the instance that was asked',
    'problems': 'validation errors of the settings, each with its place',
    'process': 'process id',
    'reason': 'why the last attempt failed, or why engines were ordered',
    'refusals': 'requests refused since the line before',
    'refused_by': 'ids of the endpoints that reported that they ran nothing',
    'requests': 'number of requests of workspaces',
    'resumed_after': 'id of the event after which a text was to be resumed',
    'resumes': 'id of the request that brought the first event of a stream',
    'route': 'name of the route',
    'rows': 'number of removed or compared rows',
    'runs': 'runs at engines that all instances reported',
    'seen_on_demand': 'on-demand engines that serve and stay',
    'seen_spot': 'spot engines that serve and stay',
    'service': 'name of a service',
    'software': 'software version of an endpoint, empty if unknown',
    'spot': 'whether spot engines were ordered',
    'start': 'name of one start of an instance',
    'status': 'HTTP status; 0 without an answer',
    'step': 'number of the training step',
    'still_ours': 'whether the job still has the same owner and results',
    'subject': 'what a duty is held for',
    'table': 'name of a table',
    'task': 'name of the task',
    'texts': 'unfinished texts that are stored',
    'took_ms': 'duration in milliseconds',
    'total': 'number of items of a job',
    'version': 'weight version, or version of the configuration',
    'versions': 'weight versions, by model or in the order of the text',
    'waited_ms': 'milliseconds until an engine had a free slot',
    'wanted': 'engines for all work that waits or runs',
    'why': 'why it is invalid or ended, or why work left its zone: '
    'no-endpoint, queue, pace, failed, scout or begun-before',
    'window': 'number of a window of usage reports',
    'workspace': 'name of the workspace of the caller or the job',
    'workspace_count': 'number of workspaces in a report',
    'workspaces': 'names of workspaces',
    'zone': 'availability zone of the endpoints',
}


class Event:
    """Base class of all events; the kind derives from the class name."""

    __slots__ = ()
    kind: ClassVar[str] = ''
    # Level of the log line; frequent events are written only when debugging.
    level: ClassVar[int] = logging.INFO

    def __init_subclass__(cls) -> None:
        """Derive the kind, in lower case with hyphens."""
        words = re.findall('[A-Z][a-z]*', cls.__name__)
        cls.kind = '-'.join(words).lower()


WriteEvent = abc.Callable[[Event], None]
# Events are created often and never compared.
_event = dataclasses.dataclass(slots=True, kw_only=True, eq=False, repr=False)


@_event
class Started(Event):
    """The process accepts requests."""

    start: str
    process: int


@_event
class ListenFailed(Event):
    """An address is in use; the process exits with status 3."""

    detail: str


@_event
class Stopping(Event):
    """The process leaves the directory and hands over its jobs."""

    owned: int


@_event
class Stopped(Event):
    """The process exits."""

    in_flight: int


@_event
class SettingsReloaded(Event):
    """A changed settings file is in force."""


@_event
class SettingsRefused(Event):
    """A changed settings file is invalid; the old settings stay in force."""

    problems: list[str]


@_event
class TableLost(Event):
    """The table does not answer; calls are relayed by peers."""

    detail: str


@_event
class TableRegained(Event):
    """The table answers this instance again."""


@_event
class ConfigurationInForce(Event):
    """A configuration is in force and routes requests."""

    version: int


@_event
class ConfigurationUnreadable(Event):
    """A configuration is invalid; the old one stays in force."""

    why: str


@_event
class EndpointChanged(Event):
    """The local view of an endpoint changed."""

    endpoint: str
    service: str
    address: str
    change: str
    versions: abc.Mapping[str, int]
    software: str


@_event
class EndpointChangesOmitted(Event):
    """More endpoints were found, or changed versions, than are logged."""

    counts: abc.Mapping[str, int]


@_event
class EndpointAnswered(Event):
    """The head of an answer arrived, or none did; logged when debugging."""

    level: ClassVar[int] = logging.DEBUG

    id: str
    endpoint: str
    status: int
    not_run: bool
    limit: float | None
    took_ms: float
    software: str
    resumed_after: str | None
    resumes: str | None
    # Empty if an answer arrived.
    reason: str = ''
    # The instance over which it went; empty for own links.
    peer: str = ''
    leaving: bool = False


@_event
class EndpointLimited(Event):
    """An endpoint named another request limit; 0 stands for none."""

    endpoint: str
    limit: float


@_event
class EndpointPath(Event):
    """The link to one endpoint was lost while a peer's works, or regained."""

    endpoint: str
    change: str


@_event
class PeerOpenedNoPath(Event):
    """A peer opened no connection to an endpoint; logged when debugging."""

    level: ClassVar[int] = logging.DEBUG

    peer: str
    endpoint: str
    reason: str


@_event
class EndpointsLost(Event):
    """The links to all endpoints are lost; peers pass requests on."""

    endpoints: list[str]


@_event
class EndpointsRegained(Event):
    """A link to an endpoint works again."""


@_event
class ZoneLeft(Event):
    """Work left the availability zone in the last ten seconds.

    One line for each service, zone and reason.
    """

    service: str
    zone: str
    why: str
    left: int
    bytes: int


@_event
class EndpointUnreadable(Event):
    """An endpoint's entry is invalid; the endpoint gets no work."""

    key: str
    why: str


@_event
class EndpointCrashed(Event):
    """An endpoint refused connections right after it cut off a request."""

    endpoint: str
    fingerprint: str


@_event
class InstanceFound(Event):
    """An instance joined or restarted."""

    instance: str
    start: str


@_event
class MemberUnreadable(Event):
    """A heartbeat is invalid and is ignored."""

    key: str


@_event
class OriginNotStored(Event):
    """The software version that began a stream could not be stored."""

    id: str
    detail: str


@_event
class PermitNotReserved(Event):
    """Another instance did not answer a reservation for an endpoint."""

    endpoint: str
    peer: str
    detail: str


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
    resumes: str | None = None
    software: str | None = None
    configuration: int | None = None
    # Only of a stream: requests for the same one share it.
    fingerprint: str | None = None
    workspace: str | None = None
    # Only of a workspace: the last check of its key before a send.
    granted_by: int | None = None
    granted_ms: float | None = None


@_event
class RouteNotFound(Event):
    """A request matches no route of the configuration in force."""

    id: str
    host: str
    status: int
    configuration: int
    age_ms: float


@_event
class KeysEnded(Event):
    """A version of the configuration took keys from workspaces."""

    version: int
    workspaces: list[str]


@_event
class KeysRefused(Event):
    """Requests had no valid key; the id is that of the first of them."""

    id: str
    refusals: int
    status: int
    configuration: int
    age_ms: float


@_event
class RequestFailed(Event):
    """An internal error ended a request; please report it."""

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
    workspace: str | None = None


@_event
class JobRefused(Event):
    """A submitted job is invalid."""

    job: str
    why: str


@_event
class JobStarted(Event):
    """An instance started to run a job that it owns."""

    job: str
    listed: int
    texts: int
    carried: int
    total: int


@_event
class JobAdopted(Event):
    """An instance tried to take over a job whose owner is gone."""

    job: str
    applied: bool
    former: str


@_event
class JobHandedOver(Event):
    """A stopping instance handed a job over to others."""

    job: str
    applied: bool
    texts: int


@_event
class JobChanged(Event):
    """Another instance or the trainer changed a job's record."""

    job: str
    still_ours: bool


@_event
class JobNotLoaded(Event):
    """A job's rows could not be read from the table; retried."""

    job: str
    detail: str


@_event
class JobNotRemoved(Event):
    """An old job could not be removed from the table; retried."""

    job: str
    detail: str


@_event
class JobUnreadable(Event):
    """A job's row is invalid and is ignored."""

    job: str
    detail: str


@_event
class JobEnded(Event):
    """A trainer ended its job."""

    job: str


@_event
class JobRemoved(Event):
    """An old job's rows were removed."""

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
    software: str
    resumed_after: str | None
    waited_ms: float
    took_ms: float
    configuration: int | None = None


@_event
class ItemTerminated(Event):
    """An item was terminated without a complete result."""

    job: str
    id: str
    errors: int
    breaks: int


@_event
class ResultsListed(Event):
    """Results became visible to readers."""

    job: str
    first: int
    items: list[str]


@_event
class TextsNotSaved(Event):
    """Unfinished texts could not be stored in the table; retried."""

    job: str
    detail: str


@_event
class VersionNamed(Event):
    """A trainer announced a weight version."""

    model: str
    version: int


@_event
class VersionUnreadable(Event):
    """An announced weight version is invalid and is ignored."""

    key: str
    why: str


@_event
class EngineOrdered(Event):
    """An engine was ordered to load a weight version."""

    endpoint: str
    model: str
    version: int
    fence: int
    outcome: str


@_event
class DutyLost(Event):
    """The instance lost the duty to order the engines of a service."""

    service: str


@_event
class DutyUnconfirmed(Event):
    """The table did not confirm which instance orders a service's engines."""

    service: str
    detail: str


@_event
class DutyTaken(Event):
    """The instance became the holder of a duty for a subject."""

    duty: str
    subject: str
    fence: int


@_event
class DutyEnded(Event):
    """The instance no longer holds a duty for a subject."""

    duty: str
    subject: str
    fence: int
    why: str


@_event
class UsageClockSet(Event):
    """The instances agreed on the time of the windows of usage reports."""

    offset_ms: int
    rows: int


@_event
class UsageClosed(Event):
    """The holder summed a window and stored its report."""

    window: int
    fence: int
    requests: int
    workspace_count: int
    digest: str


@_event
class UsageReported(Event):
    """The holder sent a stored report; a repeat sends the same bytes."""

    window: int
    fence: int
    outcome: str
    attempts: int
    digest: str
    took_ms: float


@_event
class UsageLate(Event):
    """Requests of a window that no report has: counted late, or dropped."""

    window: int
    requests: int


@_event
class UsageDelayed(Event):
    """The table service did not answer; usage is reported later."""

    detail: str


@_event
class ScalingOrdered(Event):
    """The holder ordered a number of engines, by demand and engines seen."""

    service: str
    availability_zone: str
    spot: bool
    engines: int
    reason: str
    outcome: str
    fence: int
    seen_on_demand: int
    seen_spot: int
    open_items: int
    runs: int
    wanted: float
    committed: float
    took_ms: float


@_event
class ScalingDelayed(Event):
    """The table service did not answer; engines are ordered later."""

    detail: str


@_event
class RowFailed(Event):
    """An internal error left a changed row unused; please report it."""

    table: str
    key: str
    detail: str


@_event
class TaskFailed(Event):
    """An internal error ended a task, which restarts; please report it."""

    task: str
    detail: str


@_event
class LeavingNotReported(Event):
    """A peer did not hear that an endpoint leaves; it will by itself."""

    peer: str
    endpoint: str
    detail: str


@_event
class ClientsLimited(Event):
    """Clients exceeded a limit in the last 5 s; counts of all addresses."""

    connections_refused: int
    connections_evicted: int
    bodies_waited: int
    bodies_refused: int
    bodies_evicted: int
    held_bytes: int


@_event
class LinesDropped(Event):
    """Standard output was not read in time; log lines were dropped."""

    count: int


def get_all_events() -> list[type[Event]]:
    """Return all kinds of events in the order of their definition."""
    # dataclass(slots=True) creates a second class; that one is in use.
    by_kind = {
        event_class.kind: event_class for event_class in Event.__subclasses__()
    }
    return list(by_kind.values())


def get_fields(event: Event) -> dict[str, object]:
    """Return the values of an event by field, without those that are None."""
    values = ((name, getattr(event, name)) for name in event.__slots__)
    return {name: value for name, value in values if value is not None}
