"""Stand in for plain services: orders, stock, ledger and scoring."""

import asyncio
import json

import xxhash

from pomelopass import message
from standins import server

__all__ = ['Service', 'main']


class Service:
    """Plain service that counts the calls that ran.

    Faults: work_ms, hang, reset_after_run, mix_up, leaving.
    """

    def __init__(self, app: server.App, incarnation: str, work_ms: float):
        self.app = app
        self.incarnation = incarnation
        self.work_ms = work_ms
        self.count_by_key: dict[str, int] = {}
        self.ran: list[str] = []
        app.routes.update(
            {
                ('GET', '/state'): self.get_state,
                ('GET', '/ran'): self.get_ran,
                ('POST', '/orders'): self.order,
                ('POST', '/charges'): self.order,
                ('GET', '/stock'): self.look_up,
                ('GET', '/members/*'): self.look_up,
                ('POST', '/score'): self.score,
            }
        )

    async def get_state(self, request, query) -> message.Reply:
        """Return the incarnation and whether the service is leaving."""
        state = {
            'incarnation': self.incarnation,
            'load': 0,
            'leaving': bool(self.app.faults.get('leaving')),
        }
        return server.make_json(state)

    async def get_ran(self, request, query) -> message.Reply:
        """Return the calls run, and the run count of each order."""
        body = {'counts': self.count_by_key, 'ran': self.ran}
        return server.make_json(body)

    async def order(self, request, query) -> message.Reply:
        """Run an order or a charge; not idempotent."""
        value = json.loads(request.body)
        key = value['order']
        self.count_by_key[key] = self.count_by_key.get(key, 0) + 1
        self.app.record_event('order-ran', key, str(self.count_by_key[key]))
        if 'POISON' in key:
            raise SystemExit(70)
        await self._work()
        if self.app.take_fault('reset_after_run'):
            raise ConnectionResetError
        body = {'order': key, 'accepted': True, 'by': self.app.name}
        return self._answer(request, body)

    async def look_up(self, request, query) -> message.Reply:
        """Answer a read; idempotent."""
        await self._work()
        body = {'asked': request.target, 'by': self.app.name}
        return self._answer(request, body)

    async def score(self, request, query) -> message.Reply:
        """Score a sample."""
        await self._work()
        value = json.loads(request.body)
        digest = xxhash.xxh3_64_intdigest(value['text'].encode())
        body = {'id': value['id'], 'score': digest % 1000 / 1000}
        return self._answer(request, body)

    async def _work(self) -> None:
        factor = self.app.faults.get('slow_factor', 1.0)
        work_ms = self.app.faults.get('work_ms', self.work_ms) * factor
        await asyncio.sleep(work_ms / 1000)
        while self.app.faults.get('hang'):
            await asyncio.sleep(0.02)

    def _answer(self, request, body) -> message.Reply:
        request_id = message.find_header(request.headers, 'x-request-id')
        self.ran.append(request_id or '')
        if self.app.take_fault('mix_up'):
            request_id = f'{request_id}-other'
            body = {**body, 'asked': '/other', 'order': 'other'}
        headers = (('x-request-id', request_id or 'none'),)
        return server.make_json(body, 200, headers)


def main() -> None:
    """Run a plain service."""
    parser = server.make_parser(__doc__)
    parser.add_argument('--incarnation', default='1')
    parser.add_argument('--work-ms', type=float, default=5.0)
    arguments = parser.parse_args()
    app = server.App(arguments.name)
    Service(app, arguments.incarnation, arguments.work_ms)
    asyncio.run(server.run_app(app, arguments.address))


if __name__ == '__main__':
    main()
