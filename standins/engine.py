"""Stand in for a model engine with continuous batching."""

import asyncio
from collections import abc
import heapq
import itertools
import json
import os
import random

from pomelopass import message
from standins import enginetext
from standins import server

__all__ = ['Engine', 'main']

STRAGGLE_FACTOR = 8.0
EVENT_END = '\n\n'
CRASH_STATUS = 70


class Engine:
    """Weights, slots and injected faults of an engine.

    Faults: slow_factor, truncate, end_early, mix_up, stall_s, swap_fail,
    swap_lose_answer, leaving, fail_share, crash_on (a substring of prompts).
    """

    def __init__(self, app: server.App, arguments):
        self.app = app
        self.incarnation = arguments.incarnation
        self.token_ms = arguments.token_ms
        self.slots = arguments.slots
        self.checks_fencing = arguments.checks_fencing
        self.weight_store = arguments.weight_store
        self.load_ms = arguments.load_ms
        self.load_lag_ms = arguments.load_lag_ms
        self.straggle_share = arguments.straggle_share
        self.rng = random.Random(arguments.name)
        self.version_by_model: dict[str, int] = {}
        self.fence_by_model: dict[str, int] = {}
        self.crash = lambda: os._exit(CRASH_STATUS)
        self.running = 0
        self.queue: list[tuple[int, int, asyncio.Future]] = []
        self.sequence = itertools.count()
        self.reported_load = 0
        self.versions_by_request: dict[str, list[int | None]] = {}
        self.started_ms_by_request: dict[str, float] = {}
        self.ran: list[str] = []
        app.routes.update(
            {
                ('POST', '/v1/completions'): self.complete,
                ('POST', '/v1/*'): self.complete,
                ('GET', '/state'): self.get_state,
                ('POST', '/orders/weights'): self.order_weights,
                ('GET', '/ran'): self.get_ran,
            }
        )

    async def get_state(self, request, query) -> message.Reply:
        """Return the incarnation, the versions and a delayed load."""
        state = {
            'incarnation': self.incarnation,
            'versions': self.version_by_model,
            'load': self.reported_load,
            'load_age_ms': self.load_lag_ms,
            'leaving': bool(self.app.faults.get('leaving')),
        }
        return server.make_json(state)

    async def get_ran(self, request, query) -> message.Reply:
        """Return the requests run and the weight versions they used."""
        record = {'ran': self.ran, 'versions': self.versions_by_request}
        return server.make_json(record)

    async def order_weights(self, request, query) -> message.Reply:
        """Load a weight version; idempotent."""
        order = json.loads(request.body)
        model = order['model']
        fence = self.fence_by_model.get(model, 0)
        if self.checks_fencing and order['fence'] < fence:
            return server.make_json({'error': 'old fence'}, 409)
        self.fence_by_model[model] = max(fence, order['fence'])
        if self.version_by_model.get(model) != order['version']:
            await self._load(order)
        if self.app.take_fault('swap_fail'):
            return server.make_json({'error': 'swap failed'}, 500)
        self.version_by_model[model] = order['version']
        detail = f'{model} {order["version"]}'
        self.app.record_event('weights-loaded', self.app.name, detail)
        if self.app.take_fault('swap_lose_answer'):
            return server.make_json({'error': 'lost'}, 504)
        return server.make_json({'version': order['version']})

    async def _load(self, order: dict) -> None:
        await asyncio.sleep(self.load_ms / 1000)
        if self.weight_store:
            await enginetext.fetch_weights(self.weight_store, order['object'])

    async def complete(self, request, query) -> message.Reply:
        """Stream a completion as server-sent events."""
        body = json.loads(request.body)
        prompt = enginetext.get_prompt(body)
        crash_on = self.app.faults.get('crash_on') or 'POISON'
        if crash_on in prompt:
            self.crash()
        request_id = message.find_header(request.headers, 'x-request-id')
        priority = message.find_header(request.headers, 'x-priority')
        tokens = enginetext.make_tokens(body, prompt)
        chunks = self._generate(
            request_id or 'none',
            tokens,
            int(priority or 5),
            body.get('model', ''),
            'chat' in request.target,
        )
        headers = (
            ('content-type', 'text/event-stream'),
            ('x-request-id', request_id or 'none'),
        )
        return message.Reply(200, headers, chunks=chunks)

    async def _generate(
        self,
        request_id: str,
        tokens: list[str],
        priority: int,
        model: str,
        is_chat: bool,
    ) -> abc.AsyncGenerator[bytes, None]:
        await self._acquire_slot(priority)
        self.ran.append(request_id)
        self._record_start(request_id)
        is_straggler = self.rng.random() < self.straggle_share
        pace = STRAGGLE_FACTOR if is_straggler else 1.0
        produced = self.versions_by_request.setdefault(request_id, [])
        if self.rng.random() < self.app.faults.get('fail_share', 0):
            self._release_slot()
            raise ConnectionResetError
        if self.app.take_fault('mix_up'):
            request_id = f'{request_id}-other'
            tokens = ['other ', *tokens]
        try:
            for index, token in enumerate(tokens):
                await asyncio.sleep(self._get_token_s() * pace)
                if self.app.take_fault('truncate'):
                    raise ConnectionResetError
                if index and self.app.take_fault('end_early'):
                    return
                is_last = index == len(tokens) - 1
                version = self.version_by_model.get(model)
                produced.append(version)
                event = enginetext.make_event(
                    request_id, token, version, is_last, is_chat
                )
                yield f'data: {json.dumps(event)}{EVENT_END}'.encode()
            yield f'data: [DONE]{EVENT_END}'.encode()
        finally:
            self._release_slot()

    def _record_start(self, request_id: str) -> None:
        now_ms = asyncio.get_running_loop().time() * 1000
        self.started_ms_by_request[request_id] = now_ms

    def _get_token_s(self) -> float:
        factor = self.app.faults.get('slow_factor', 1.0)
        return self.token_ms * factor / 1000

    async def _acquire_slot(self, priority: int) -> None:
        self._schedule_load_report()
        if self.running < self.slots:
            self.running += 1
            return
        slot_future = asyncio.get_running_loop().create_future()
        heapq.heappush(
            self.queue, (priority, next(self.sequence), slot_future)
        )
        try:
            await slot_future
        except asyncio.CancelledError:
            if slot_future.done() and not slot_future.cancelled():
                self._release_slot()
            raise

    def _release_slot(self) -> None:
        self._schedule_load_report()
        while self.queue:
            slot_future = heapq.heappop(self.queue)[2]
            if not slot_future.done():
                slot_future.set_result(None)
                return
        self.running -= 1

    def _schedule_load_report(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self.load_lag_ms / 1000, self._update_reported_load)

    def _update_reported_load(self) -> None:
        self.reported_load = self.running + len(self.queue)


def main() -> None:
    """Run an engine."""
    parser = server.make_parser(__doc__)
    parser.add_argument('--incarnation', default='1')
    parser.add_argument('--token-ms', type=float, default=5.0)
    parser.add_argument('--load-ms', type=float, default=200.0)
    parser.add_argument('--load-lag-ms', type=float, default=1000.0)
    parser.add_argument('--straggle-share', type=float, default=0.0)
    parser.add_argument('--slots', type=int, default=8)
    parser.add_argument('--checks-fencing', action='store_true')
    parser.add_argument('--weight-store', default='')
    arguments = parser.parse_args()
    app = server.App(arguments.name)
    Engine(app, arguments)
    asyncio.run(server.run_app(app, arguments.address))


if __name__ == '__main__':
    main()
