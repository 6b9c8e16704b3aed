"""Handle HTTP requests of the platform's callers and trainers."""

import asyncio
from collections import abc
import dataclasses
import math
import urllib.parse

import orjson

from .. import decoding
from .. import message
from ..fleet import directory
from ..fleet import member
from . import jobdecode
from ..jobs import api as jobapi
from . import names
from ..reporting import logevents
from ..requests import call as calls
from ..requests import forward
from ..requests import outcome as outcomes
from ..requests import routes
from ..requests import stopgate
from ..requests import stream as streams
from ..table import rows
from ..workspaces import access as accesses
from ..workspaces import credentials
from ..workspaces import grant as grants
from ..workspaces import refusals

__all__ = ['Ingress', 'make_refusal']

RETRY_AFTER_S = 0.5
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'host',
        'expect',
    )
)
RESERVED_HEADERS = frozenset(
    (
        names.REQUEST_ID,
        names.DEADLINE_MS,
        names.EXPECTED_ENDPOINT,
        names.LAST_EVENT_ID,
    )
)
MAX_WAIT_MS = 1000.0
# Versions of the configuration that may change what a waiting request is
# granted before it is refused.
MAX_DECISIONS = 4
STATUS_BY_ACCEPTANCE = {
    jobapi.Acceptance.ACCEPTED: 202,
    jobapi.Acceptance.NOT_ACCEPTED: 503,
    # 504 leaves the outcome open: the job may still be accepted.
    jobapi.Acceptance.UNKNOWN: 504,
}
STATUS_BY_OUTCOME = {
    outcomes.OutcomeKind.NOT_RUN: 503,
    outcomes.OutcomeKind.MAY_HAVE_RUN: 502,
    outcomes.OutcomeKind.TIMED_OUT: 504,
}


@dataclasses.dataclass(slots=True)
class Ingress:
    """HTTP handlers of an instance and what they depend on."""

    get_configuration: abc.Callable[[], routes.Configuration | None]
    forwarder: forward.Forwarder
    streams: streams.StreamForwarder
    job_api: jobapi.JobApi
    get_members: abc.Callable[[], list[member.Member]]
    is_ready: abc.Callable[[], bool]
    directory_ttl_s: float
    write_event: logevents.WriteEvent
    stop_gate: stopgate.StopGate
    # Time since the table confirmed the configuration, in milliseconds.
    get_configuration_age_ms: abc.Callable[[], float]
    refusal_log: refusals.RefusalLog = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Create the log of refused keys."""
        self.refusal_log = refusals.RefusalLog(self.write_event)

    async def handle_readiness(
        self, request: message.Request
    ) -> message.Reply:
        """Answer a readiness check of the platform."""
        if _get_path(request) != names.READINESS_PATH:
            return make_refusal(404, 'There is no such path.')
        if not self.is_ready():
            return make_refusal(503, 'The instance is not ready.')
        return _make_json({})

    async def handle_directory(
        self, request: message.Request
    ) -> message.Reply:
        """Return the instance addresses that a caller should use."""
        if _get_path(request) != names.DIRECTORY_PATH:
            return make_refusal(404, 'There is no such path.')
        query = _get_query(request)
        addresses = directory.choose_addresses(
            self.get_members(), query.get('zone', '')
        )
        if not addresses:
            return make_refusal(503, 'No instance is known yet.')
        return _make_json(
            {'addresses': addresses, 'ttl_s': self.directory_ttl_s}
        )

    async def handle(self, request: message.Request) -> message.Reply:
        """Answer a request of a caller or a trainer."""
        if not self.stop_gate.has_time(0.0):
            return make_refusal(503, 'The instance stops.')
        try:
            async with self.stop_gate.limit():
                return await self._handle(request)
        except stopgate.InstanceStopsError:
            # It may have run: this status promises nothing.
            return make_refusal(502, 'The instance stops.')

    async def _handle(self, request: message.Request) -> message.Reply:
        path = _get_path(request)
        if path.startswith(names.JOB_PATH):
            return await self._handle_job(request, path)
        if path.startswith(names.ITEM_PATH):
            return await self._read_item(request, path)
        deadline_at = _get_deadline(request)
        for _ in range(MAX_DECISIONS):
            reply = await self._handle_routed(request, path, deadline_at)
            if reply is not None:
                return reply
        return make_refusal(503, 'The configuration keeps changing.')

    async def _handle_routed(
        self, request: message.Request, path: str, deadline_at: float | None
    ) -> message.Reply | None:
        """Return the answer, or None if the request must be decided again.

        In that case nothing was sent, and the newest configuration grants the
        request something else.
        """
        configuration = self.get_configuration()
        if configuration is None:
            return make_refusal(503, 'No configuration is known yet.')
        host = message.find_header(request.headers, 'host') or ''
        route = routes.find_route(configuration, host, path)
        request_id = message.find_header(request.headers, names.REQUEST_ID)
        if route is None:
            return self._refuse_unrouted(
                request_id or '', host, configuration.version
            )
        access = _decide(request, configuration, route)
        if not access.is_granted:
            return self._refuse_key(request_id or '', configuration.version)
        if request_id is None:
            return make_refusal(400, 'The request has no id.')
        if route.route_type is routes.RouteType.JOBS:
            return await self._submit(request, request_id, host, access)

        def decide_again() -> tuple[accesses.Access, int]:
            newest = self.get_configuration()
            if newest is configuration:
                return access, newest.version
            # A waiting request is still served after its route was removed.
            newest_route = routes.find_route(newest, host, path) or route
            return _decide(request, newest, newest_route), newest.version

        now = asyncio.get_running_loop().time()
        grant = grants.Grant(access, configuration.version, decide_again, now)
        call = _make_call(request, request_id, host, deadline_at, grant)
        return await self._forward(call, route)

    def _refuse_key(
        self, request_id: str, configuration_version: int
    ) -> message.Reply:
        age_ms = self.get_configuration_age_ms()
        # A key may have been added after an old copy: the caller can retry.
        status = 401 if routes.proves_absence(age_ms) else 503
        self.refusal_log.record(
            request_id, status, configuration_version, age_ms
        )
        return make_refusal(status, 'The request has no valid key.')

    def _refuse_unrouted(
        self, request_id: str, host: str, configuration_version: int
    ) -> message.Reply:
        age_ms = self.get_configuration_age_ms()
        # A route may have been added after an old copy: the caller can retry.
        status = 404 if routes.proves_absence(age_ms) else 503
        self.write_event(
            logevents.RouteNotFound(
                id=request_id,
                host=host,
                status=status,
                configuration=configuration_version,
                age_ms=round(age_ms, 1),
            )
        )
        return make_refusal(status, 'No route matches.')

    async def _forward(
        self, call: calls.Call, route: routes.Route
    ) -> message.Reply | None:
        if not self.stop_gate.admits(route, _get_time_limit(call, route)):
            return make_refusal(503, 'The instance stops before the deadline.')
        if route.route_type is routes.RouteType.STREAMING:
            outcome = await self.streams.open_stream(call, route)
            if isinstance(outcome, message.Reply):
                return outcome
        else:
            outcome = await self.forwarder.forward(call, route)
        if outcome.kind is outcomes.OutcomeKind.ANSWERED:
            return message.Reply(
                outcome.status,
                outcome.headers,
                outcome.body,
                kept=outcome.kept,
            )
        if outcome.kind is outcomes.OutcomeKind.WITHDRAWN:
            return None
        if outcome.kind is outcomes.OutcomeKind.FOREIGN:
            return self._refuse_foreign(
                call.workspace, 'There is no such stream.'
            )
        status = STATUS_BY_OUTCOME[outcome.kind]
        return make_refusal(
            status,
            f'No answer: {outcome.reason}.',
            outcome.retry_after_ms / 1000 or RETRY_AFTER_S,
        )

    async def _submit(
        self,
        request: message.Request,
        job_id: str,
        host: str,
        access: accesses.Access,
    ) -> message.Reply:
        if request.method != 'POST':
            return make_refusal(405, 'Submit a job with POST.')
        decoded = jobdecode.decode_submission(job_id, host, request, access)
        submission = decoded.value_or(None)
        if submission is None:
            self.write_event(
                logevents.JobRefused(job=job_id, why=decoded.failure())
            )
            return make_refusal(400, decoded.failure())
        if not self.stop_gate.has_time(jobapi.WRITE_TIMEOUT_MS):
            return make_refusal(503, 'The instance stops.')
        # Acceptance is completed even if the trainer disconnects.
        outcome = await asyncio.shield(
            asyncio.ensure_future(self.job_api.accept(submission, access))
        )
        if outcome is jobapi.Acceptance.FOREIGN:
            return self._refuse_foreign(
                access.workspace, 'There is no such job.'
            )
        status = STATUS_BY_ACCEPTANCE[outcome]
        if status == 202:
            return _make_json({}, 202)
        return make_refusal(status, 'The table service did not answer.')

    async def _handle_job(
        self, request: message.Request, path: str
    ) -> message.Reply:
        job_id = urllib.parse.unquote(path.removeprefix(names.JOB_PATH))
        try:
            refusal = await self._check_job(request, job_id)
            if refusal is not None:
                return refusal
            if request.method == 'DELETE':
                if await self.job_api.end(job_id):
                    return _make_json({})
                return make_refusal(404, 'There is no such job.')
            first_index = int(_get_query(request).get('after', '0'))
            wait = message.find_header(request.headers, names.WAIT_MS)
            wait_ms = float(wait or 0)
            if not math.isfinite(wait_ms):
                raise ValueError(f'a wait of {wait_ms} ms')
            page = await self.job_api.read(
                job_id, max(first_index, 0), min(wait_ms, MAX_WAIT_MS)
            )
            # The key may have been removed meanwhile.
            refusal = await self._check_job(request, job_id)
            if refusal is not None:
                return refusal
        except ValueError:
            return make_refusal(400, 'A number is not a number.')
        except rows.TableError as error:
            return make_refusal(503, f'The state is unknown: {error.detail}.')
        if page is None:
            return make_refusal(404, 'There is no such job.')
        return message.Reply(
            200,
            (('content-type', 'application/json'),),
            jobdecode.encode_page(page),
        )

    async def _check_job(
        self, request: message.Request, job_id: str
    ) -> message.Reply | None:
        """Return a refusal unless the caller may use a job.

        Without a valid key it is the same whether there is such a job or not.
        Raise TableError.
        """
        configuration = self.get_configuration()
        if configuration is None:
            if message.find_header(request.headers, names.AUTHORIZATION):
                return make_refusal(503, 'No configuration is known yet.')
            return None
        access = _decide(request, configuration)
        if not access.checks_keys:
            return None
        record = await self.job_api.find(job_id)
        if record is None and access.workspace:
            return make_refusal(404, 'There is no such job.')
        if record is not None and accesses.may_use(access, record.workspace):
            return None
        return self._refuse_foreign(access.workspace, 'There is no such job.')

    def _refuse_foreign(self, workspace: str, detail: str) -> message.Reply:
        """Refuse what belongs to another workspace as if it did not exist."""
        if not workspace:
            configuration = self.get_configuration()
            return self._refuse_key('', configuration.version)
        # An old copy may name a workspace that the key no longer belongs to.
        is_absent = routes.proves_absence(self.get_configuration_age_ms())
        return make_refusal(404 if is_absent else 503, detail)

    async def _read_item(
        self, request: message.Request, path: str
    ) -> message.Reply:
        job_id = urllib.parse.unquote(path.removeprefix(names.ITEM_PATH))
        item_id = _get_query(request).get('id', '')
        try:
            refusal = await self._check_job(request, job_id)
            if refusal is not None:
                return refusal
            body = await self.job_api.read_item(job_id, item_id)
        except rows.TableError as error:
            return make_refusal(503, f'The state is unknown: {error.detail}.')
        if body is None:
            return make_refusal(404, 'There is no such item.')
        headers = (('content-type', 'application/octet-stream'),)
        return message.Reply(200, headers, body)


def _get_time_limit(call: calls.Call, route: routes.Route) -> float:
    # The route's time bounds only the first event of a stream.
    if (
        route.route_type is routes.RouteType.STREAMING
        and call.deadline_at is not None
    ):
        return call.deadline_at
    return routes.get_time_limit(route, call.deadline_at)


def make_refusal(
    status: int, detail: str, retry_after_s: float = RETRY_AFTER_S
) -> message.Reply:
    """Return an error reply of the instance itself."""
    headers = [('content-type', 'application/json')]
    if status in (429, 503):
        headers.append(('retry-after', f'{retry_after_s:.2f}'))
    if status == 401:
        headers.append(('www-authenticate', 'Bearer'))
    return message.Reply(
        status, tuple(headers), orjson.dumps({'error': detail})
    )


def _decide(
    request: message.Request,
    configuration: routes.Configuration,
    route: routes.Route | None = None,
) -> accesses.Access:
    digest = None
    if configuration.workspaces is not None:
        digest = credentials.find_key_digest(
            value
            for name, value in request.headers
            if name == names.AUTHORIZATION
        )
    return accesses.decide(
        configuration.workspaces,
        digest,
        route is not None and route.is_anonymous,
    )


def _get_deadline(request: message.Request) -> float | None:
    deadline_ms = decoding.parse_count(
        message.find_header(request.headers, names.DEADLINE_MS)
    )
    if deadline_ms is None:
        return None
    return asyncio.get_running_loop().time() + deadline_ms / 1000


def _make_call(
    request: message.Request,
    request_id: str,
    host: str,
    deadline_at: float | None,
    grant: grants.Grant,
) -> calls.Call:
    access = grant.access
    connection_options = (
        message.find_header(request.headers, 'connection') or ''
    )
    hop_by_hop_names = {
        option.strip().lower() for option in connection_options.split(',')
    }
    return calls.Call(
        id=request_id,
        host=host,
        method=request.method,
        target=request.target,
        headers=tuple(
            header
            for header in request.headers
            if header[0] not in HOP_BY_HOP_HEADERS
            and header[0] not in RESERVED_HEADERS
            and header[0] not in hop_by_hop_names
            and not (access.checks_keys and header[0] in names.CREDENTIALS)
        ),
        body=request.body,
        deadline_at=deadline_at,
        last_event_id=message.find_header(
            request.headers, names.LAST_EVENT_ID
        ),
        resumes=message.find_header(request.headers, names.RESUMED_REQUEST_ID),
        workspace=access.workspace,
        drops_credentials=access.checks_keys,
        grant=grant,
    )


def _make_json(value: object, status: int = 200) -> message.Reply:
    headers = (('content-type', 'application/json'),)
    return message.Reply(status, headers, orjson.dumps(value))


def _get_path(request: message.Request) -> str:
    return request.target.partition('?')[0]


def _get_query(request: message.Request) -> dict[str, str]:
    query = request.target.partition('?')[2]
    return dict(urllib.parse.parse_qsl(query))
