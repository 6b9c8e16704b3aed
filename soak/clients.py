"""Send requests as callers and trainers do and record the replies."""

import asyncio
from collections import abc
import dataclasses
import json
import random

from pomelopass.edges import httpclient
from pomelopass.jobs import job as jobs
from pomelopass import message

__all__ = ['Clients', 'ObservedJob']

CALL_TIMEOUT_MS = 4000.0
JOB_EVERY_S = 1.2
ORDER_EVERY_S = 0.15
REQUEST_EVERY_S = 0.2
STOLEN_EVERY_S = 0.3
MAX_REPLY_BYTES = 2_000_000
RESUMABLE_SHARE = 0.7
# Requests with which a caller takes a broken stream up again.
MAX_RESUMPTIONS = 3
RESUME_PAUSE_S = 0.5
LOST_SHARE = 0.5
NO_ID_SHARE = 0.5
LOST_AFTER_EVENTS = 3
# What two software versions write does not fit together.
OLD_SOFTWARE = 'v1'
SOFTWARE_BY_ENGINE = {
    'engine-0': OLD_SOFTWARE,
    'engine-1': 'v1.1',
    'engine-2': OLD_SOFTWARE,
}


@dataclasses.dataclass(slots=True)
class ObservedJob:
    """A job as its trainer observes it: reply statuses and results."""

    submission: jobs.Submission
    body: dict
    statuses: list[int] = dataclasses.field(default_factory=list)
    accepted: bool = False
    result_by_position: dict[int, dict] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Clients:
    """The callers' connections and the replies to be checked."""

    address_by_name: dict[str, str]
    host: str
    model: str
    rng: random.Random
    fail: abc.Callable[[str], None]
    make_job: abc.Callable[[str], tuple[jobs.Submission, dict]]
    http: httpclient.HttpClient = dataclasses.field(
        default_factory=httpclient.HttpClient
    )
    job_by_id: dict[str, ObservedJob] = dataclasses.field(default_factory=dict)
    status_by_order: dict[str, int] = dataclasses.field(default_factory=dict)
    # Orders whose connection ended without an answer in a planned stop.
    cut_orders: list[str] = dataclasses.field(default_factory=list)
    # Orders to instances that were stopping.
    stayed: int = 0
    # Number of events of each stream that ended without an error.
    events_by_stream: dict[str, int] = dataclasses.field(default_factory=dict)
    # Streams that must not be resumed at another endpoint.
    non_resumable_streams: set[str] = dataclasses.field(default_factory=set)
    answered: int = 0
    counter: int = 0
    # Whether some callers resume a stream without the id that began it.
    omits_ids: bool = True
    # Instance that gets all requests, for checks of one at a time.
    pinned: str | None = None
    # Key of a request by its id; None where there are no workspaces.
    get_key: abc.Callable[[str], str] | None = None
    # Requests with a key that no version has.
    stolen: int = 0
    # Streams that were asked for again after a break, and that went on.
    taken_up: int = 0
    resumed: int = 0

    async def run(self, seconds: float) -> None:
        """Send all kinds of requests for a time."""
        async with asyncio.TaskGroup() as group:
            for send in (
                self._submit,
                self._send_order,
                self._send_score_request,
                self.read,
                self._stream,
                *((self._send_stolen,) if self.get_key is not None else ()),
            ):
                group.create_task(self._repeat(send, seconds))

    def count_served(self) -> dict[str, int]:
        """Return how many requests of each kind were served."""
        return {
            'jobs': sum(job.accepted for job in self.job_by_id.values()),
            'orders': sum(
                status == 200 for status in self.status_by_order.values()
            ),
            'requests': self.answered,
            'streams': len(self.events_by_stream),
        }

    async def ask_each(self) -> list[str]:
        """Send each kind to each instance; return what was not served."""
        unserved = []
        # Beside engines of two versions a resume without an id is refused.
        self.omits_ids = False
        for name in self.address_by_name:
            self.pinned = name
            before = self.count_served()
            await self._send_score_request()
            await self._send_order()
            await self._stream()
            await self._submit()
            unserved += [
                f'{kind} at {name}'
                for kind, count in self.count_served().items()
                if count == before[kind]
            ]
        self.pinned = None
        return unserved

    async def call(
        self,
        name: str,
        method: str,
        target: str,
        body: bytes = b'',
        **headers: str,
    ) -> tuple[int, message.Headers, bytes]:
        """Return an instance's reply; status 0 if the exchange failed."""
        if 'authorization' not in headers and 'attempt_id' in headers:
            headers |= dict(self.make_credentials(headers['attempt_id']))
        extra_headers = tuple(
            (key.replace('_', '-'), value) for key, value in headers.items()
        )
        request = message.Request(
            method, target, (('host', self.host), *extra_headers), body
        )
        try:
            reply = await self.http.open(
                self.address_by_name[name], request, CALL_TIMEOUT_MS
            )
            return (
                reply.status,
                reply.headers,
                await reply.read(MAX_REPLY_BYTES),
            )
        except message.ExchangeError:
            return 0, (), b''

    def make_credentials(self, request_id: str) -> message.Headers:
        """Return the header with the key of a request, if it has one."""
        if self.get_key is None:
            return ()
        return (('authorization', f'Bearer {self.get_key(request_id)}'),)

    async def read(self, job_id: str | None = None) -> None:
        """Read a job from a random position; compare with earlier reads."""
        accepted = [job for job in self.job_by_id.values() if job.accepted]
        if not accepted:
            return
        job = self.job_by_id[job_id] if job_id else self.rng.choice(accepted)
        job_id = job.submission.id
        first = self.rng.randint(0, len(job.result_by_position))
        status, _, body = await self.call(
            self._choose_instance(),
            'GET',
            f'/-/lots/{job_id}?after={first}',
            **dict(self.make_credentials(job_id)),
        )
        if status == 404:
            self.fail(f'{job_id} was accepted but is unknown (404)')
        if status != 200:
            return
        page = json.loads(body)
        if page['total'] != len(job.submission.items):
            self.fail(f'{job_id}: total {page["total"]}')
        for position, result in enumerate(page['results'], first):
            earlier = job.result_by_position.setdefault(position, result)
            if earlier != result:
                self.fail(f'{job_id}: position {position} changed')

    async def _repeat(self, send, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        pause_by_sender = {
            self._submit: JOB_EVERY_S,
            self._send_order: ORDER_EVERY_S,
            self._send_stolen: STOLEN_EVERY_S,
        }
        while loop.time() < end:
            await send()
            await asyncio.sleep(pause_by_sender.get(send, REQUEST_EVERY_S))

    def _choose_instance(self) -> str:
        return self.pinned or self.rng.choice(sorted(self.address_by_name))

    async def _submit(self) -> None:
        self.counter += 1
        submission, body = self.make_job(f'job-{self.counter}')
        job = ObservedJob(submission, body)
        self.job_by_id[submission.id] = job
        for _ in range(2):
            status, _, _ = await self.call(
                self._choose_instance(),
                'POST',
                submission.target,
                json.dumps(body).encode(),
                attempt_id=submission.id,
            )
            job.statuses.append(status)
            if status == 202:
                job.accepted = True
                return

    async def _send_order(self) -> None:
        self.counter += 1
        order = f'order-{self.counter}'
        status, _, _ = await self.call(
            self._choose_instance(),
            'POST',
            '/orders/1',
            b'{}',
            attempt_id=order,
        )
        self.status_by_order[order] = status

    async def _send_score_request(self) -> None:
        self.counter += 1
        request_id = f'ask-{self.counter}'
        status, headers, body = await self.call(
            self._choose_instance(),
            'POST',
            '/scores/1',
            b'{}',
            attempt_id=request_id,
        )
        if status != 200:
            return
        self.answered += 1
        signature = message.find_header(headers, 'server-stamp')
        if signature != f's-{request_id}' or body != b'done':
            self.fail(f'{request_id}: wrong reply: {signature} {body!r}')

    async def _send_stolen(self) -> None:
        self.stolen += 1
        names = sorted(self.address_by_name)
        status, _, _ = await self.call(
            names[self.stolen % len(names)],
            'POST',
            '/scores/1',
            b'{}',
            attempt_id=f'stolen-{self.stolen}',
        )
        if status == 200:
            self.fail(f'stolen-{self.stolen} was served')

    async def _stream(self) -> None:
        self.counter += 1
        resumable = self.rng.random() < RESUMABLE_SHARE
        stream_id = f'stream-{self.counter}'
        if not resumable:
            self.non_resumable_streams.add(stream_id)
        received: list[str] = []
        target = '/chats/1' if resumable else '/talks/1'
        # Some callers lose their connection after a few events.
        is_lost = resumable and self.rng.random() < LOST_SHARE
        is_complete = await self._read_stream(
            target, stream_id, received, LOST_AFTER_EVENTS if is_lost else None
        )
        for _ in range(MAX_RESUMPTIONS if resumable and received else 0):
            if is_complete:
                break
            await asyncio.sleep(RESUME_PAUSE_S)
            self.taken_up += 1
            count = len(received)
            is_complete = await self._read_stream(target, stream_id, received)
            self.resumed += is_complete or len(received) > count
        self._check_events(stream_id, received)
        if is_complete:
            self.events_by_stream[stream_id] = len(received)

    async def _read_stream(
        self,
        target: str,
        stream_id: str,
        received: list[str],
        lost_after: int | None = None,
    ) -> bool:
        """Append the data of a stream's events; return whether it is whole."""
        headers = [
            ('host', self.host),
            ('attempt-id', stream_id),
            ('model', self.model),
            *self.make_credentials(stream_id),
        ]
        if received:
            self.counter += 1
            headers[1] = ('attempt-id', f'{stream_id}-{self.counter}')
            headers.append(('last-event-id', str(len(received))))
            headers.append(('stream-text', stream_id))
            if not (self.omits_ids and self.rng.random() < NO_ID_SHARE):
                headers.append(('resumes', stream_id))
        request = message.Request('POST', target, tuple(headers), b'{}')
        address = self.address_by_name[self._choose_instance()]
        unread = b''
        try:
            reply = await self.http.open(address, request, CALL_TIMEOUT_MS)
            if reply.status != 200:
                await reply.close()
                return False
            async for chunk in reply.chunks:
                *blocks, unread = (unread + chunk).split(b'\n\n')
                received.extend(
                    line.removeprefix('data: ')
                    for block in blocks
                    for line in block.decode().splitlines()
                    if line.startswith('data: ')
                )
                if lost_after is not None and len(received) >= lost_after:
                    await reply.close()
                    return False
        except message.ExchangeError:
            return False
        return True

    def _check_events(self, stream_id: str, received: list[str]) -> None:
        softwares = {data.partition('@')[2] for data in received}
        if len(softwares) > 1:
            self.fail(f'{stream_id} is joined from {sorted(softwares)}')
        expected = [
            f'{stream_id}.{number}' for number in range(1, len(received) + 1)
        ]
        if [data.partition('@')[0] for data in received] != expected:
            self.fail(
                f'{stream_id}: events are missing, repeated or out of order'
            )
