"""Act as callers and trainers and remember what they were told."""

import asyncio
from collections import abc
import dataclasses
import json
import random

from pomelopass.edges import httpclient
from pomelopass.jobs import job as jobs
from pomelopass import message

__all__ = ['Clients', 'JobSeen']

CALL_TIMEOUT_MS = 4000.0
JOB_EVERY_S = 1.2
ORDER_EVERY_S = 0.15
PROBE_EVERY_S = 0.2
MAX_REPLY_BYTES = 2_000_000
RESUMABLE_SHARE = 0.7


@dataclasses.dataclass(slots=True)
class JobSeen:
    """Hold what a trainer was told of one job."""

    submission: jobs.Submission
    body: dict
    statuses: list[int] = dataclasses.field(default_factory=list)
    accepted: bool = False
    result_by_position: dict[int, dict] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Clients:
    """Hold the callers' connections and all answers that matter."""

    address_by_name: dict[str, str]
    host: str
    model: str
    rng: random.Random
    fail: abc.Callable[[str], None]
    make_job: abc.Callable[[str], tuple[jobs.Submission, dict]]
    http: httpclient.HttpClient = dataclasses.field(
        default_factory=httpclient.HttpClient
    )
    job_by_id: dict[str, JobSeen] = dataclasses.field(default_factory=dict)
    status_by_order: dict[str, int] = dataclasses.field(default_factory=dict)
    # How many events a stream brought that ended as whole.
    events_by_stream: dict[str, int] = dataclasses.field(default_factory=dict)
    # Streams that may not go on elsewhere.
    single_streams: set[str] = dataclasses.field(default_factory=set)
    answered: int = 0
    counter: int = 0

    async def run(self, seconds: float) -> None:
        """Send work for a time."""
        async with asyncio.TaskGroup() as group:
            for work in (
                self._submit,
                self._send_order,
                self._ask,
                self.read,
                self._stream,
            ):
                group.create_task(self._repeat(work, seconds))

    async def call(
        self,
        name: str,
        method: str,
        target: str,
        body: bytes = b'',
        **headers: str,
    ) -> tuple[int, message.Headers, bytes]:
        """Return the answer of an instance; status 0 without one."""
        given = tuple(
            (key.replace('_', '-'), value) for key, value in headers.items()
        )
        request = message.Request(
            method, target, (('host', self.host), *given), body
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

    async def read(self, job_id: str | None = None) -> None:
        """Read a job from a random position and compare with before."""
        known = [one for one in self.job_by_id.values() if one.accepted]
        if not known:
            return
        seen = self.job_by_id[job_id] if job_id else self.rng.choice(known)
        job_id = seen.submission.id
        first = self.rng.randint(0, len(seen.result_by_position))
        status, _, body = await self.call(
            self._choose(), 'GET', f'/-/lots/{job_id}?after={first}'
        )
        if status == 404:
            self.fail(f'{job_id} was accepted and is not known')
        if status != 200:
            return
        found = json.loads(body)
        if found['total'] != len(seen.submission.items):
            self.fail(f'{job_id}: total {found["total"]}')
        for position, one in enumerate(found['results'], first):
            before = seen.result_by_position.setdefault(position, one)
            if before != one:
                self.fail(f'{job_id}: position {position} changed')

    async def _repeat(self, work, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        pauses = {self._submit: JOB_EVERY_S, self._send_order: ORDER_EVERY_S}
        while loop.time() < end:
            await work()
            await asyncio.sleep(pauses.get(work, PROBE_EVERY_S))

    def _choose(self) -> str:
        return self.rng.choice(sorted(self.address_by_name))

    async def _submit(self) -> None:
        self.counter += 1
        submission, body = self.make_job(f'job-{self.counter}')
        seen = JobSeen(submission, body)
        self.job_by_id[submission.id] = seen
        for _ in range(2):
            status, _, _ = await self.call(
                self._choose(),
                'POST',
                submission.target,
                json.dumps(body).encode(),
                attempt_id=submission.id,
            )
            seen.statuses.append(status)
            if status == 202:
                seen.accepted = True
                return

    async def _send_order(self) -> None:
        self.counter += 1
        order = f'order-{self.counter}'
        status, _, _ = await self.call(
            self._choose(), 'POST', '/orders/1', b'{}', attempt_id=order
        )
        self.status_by_order[order] = status

    async def _ask(self) -> None:
        self.counter += 1
        request_id = f'ask-{self.counter}'
        status, headers, body = await self.call(
            self._choose(), 'POST', '/scores/1', b'{}', attempt_id=request_id
        )
        if status != 200:
            return
        self.answered += 1
        signature = message.find_header(headers, 'server-stamp')
        if signature != f's-{request_id}' or body != b'done':
            self.fail(f'{request_id}: another answer: {signature} {body!r}')

    async def _stream(self) -> None:
        self.counter += 1
        resumable = self.rng.random() < RESUMABLE_SHARE
        stream_id = f'stream-{self.counter}'
        if not resumable:
            self.single_streams.add(stream_id)
        status, _, body = await self.call(
            self._choose(),
            'POST',
            '/chats/1' if resumable else '/talks/1',
            b'{}',
            attempt_id=stream_id,
            model=self.model,
        )
        if status != 200:
            return
        told = [
            line.removeprefix('data: ')
            for line in body.decode().splitlines()
            if line.startswith('data: ')
        ]
        wanted = [f'{stream_id}.{one}' for one in range(1, len(told) + 1)]
        if told != wanted:
            self.fail(f'{stream_id}: events are missing or come twice')
        self.events_by_stream[stream_id] = len(told)
