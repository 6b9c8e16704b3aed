"""Stand in for model engines and plain services."""

import asyncio
import json
import time

import wire

HEARTBEAT_S = 1.2
LOAD_S = 0.9


def make_piece(item_id, number):
    """Return the data of one event of an item's text."""
    return f'{item_id}/{number}'


def make_text(item_id, count):
    """Return the whole text of an item."""
    return '\n'.join(
        make_piece(item_id, number) for number in range(1, count + 1)
    )


class Endpoint:
    """An engine with a model, or a plain service without one."""

    def __init__(self, store, record, endpoint_id, service, host, port, zone):
        self.store = store
        self.record = record
        self.id = endpoint_id
        self.service = service
        self.address = f'{host}:{port}'
        self.zone = zone
        self.slots = 8
        self.software = '1'
        self.state = 'ready'
        self.version_by_model = {}
        self.seq = 0
        self.fence = 0
        self.loading = None
        self.born = int(time.time() * 1000)
        self.running = 0
        self.report_s = 0.0
        self.work_s = 0.03
        # Events of a text, and the seconds between two of them.
        self.count_events = lambda item_id: 20
        self.pace_s = lambda item_id: 0.03
        self.orders = []
        # Ids of the requests that began to run here, in order.
        self.ran = []
        self.handle_work = None
        # Whether the text shows which software wrote it.
        self.names_software = False
        self.server = wire.Server(self._handle)
        self.beating = None

    async def start(self):
        """Listen and register in the store."""
        host, _, port = self.address.rpartition(':')
        await self.server.start(host, int(port))
        self.register()
        self.beating = asyncio.ensure_future(self._beat())

    def stop(self):
        """Stop listening, reset all connections, send nothing more."""
        self.server.stop()
        for task in (self.beating, self.loading):
            if task is not None:
                task.cancel()

    async def crash(self, down_s):
        """End at once, and start again under the same id some time later."""
        self.stop()
        self.record('crash', engine=self.id)
        await asyncio.sleep(down_s)
        self.seq = 0
        self.fence = 0
        self.running = 0
        self.born = int(time.time() * 1000)
        self.server = wire.Server(self._handle)
        await self.start()
        self.record('back', engine=self.id)

    async def begin_again(self, software, register_s):
        """Start again under the same id, with other software."""
        self.seq = 0
        self.fence = 0
        self.running = 0
        self.software = software
        self.born = int(time.time() * 1000)
        self.server = wire.Server(self._handle)
        host, _, port = self.address.rpartition(':')
        await self.server.start(host, int(port))
        await asyncio.sleep(register_s)
        self.register()
        self.beating = asyncio.ensure_future(self._beat())

    def register(self):
        """Write the entry of this endpoint."""
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.software,
            'slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'seq': self.seq,
            'born': self.born,
        }
        if self.version_by_model:
            entry |= {'stage': 'both', 'models': self._get_models()}
        self.store.put('servers', self.id, entry)

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    def _get_models(self):
        return [
            {'name': name, 'version': version, 'adapters': []}
            for name, version in self.version_by_model.items()
        ]

    async def _handle(self, link, request):
        expected = request.headers.get('expect-instance')
        if expected is not None and expected != self.id:
            return wire.Reply(421, (('Instance-Id', self.id),))
        if request.path == '/-/report':
            return await self._report()
        if request.path == '/-/order':
            return self._take_order(request)
        if self.handle_work is not None:
            reply = await self.handle_work(link, request)
            if reply is not None:
                return reply
        if self.version_by_model:
            return self._generate(request)
        return await self._work(request)

    async def _report(self):
        content = {
            'stage': 'both',
            'models': self._get_models(),
            'busy': self.is_loading(),
            'seq': self.seq,
            'queue_depth': 0,
            'in_flight': self.running,
            'kv_used': 0,
            'kv_total': 90_000,
            'handles': 0,
            'born': self.born,
        }
        await asyncio.sleep(self.report_s)
        return wire.make_json(200, content)

    def _take_order(self, request):
        order = json.loads(request.body)
        status = self._judge_order(order)
        self.orders.append(
            order | {'status': status, 'at_s': round(time.monotonic(), 3)}
        )
        self.record(
            'order',
            engine=self.id,
            holder=order['holder'],
            fence=order['fence'],
            version=order['version'],
            status=status,
        )
        if status == 202:
            self.seq += 1
            self.loading = asyncio.ensure_future(self._load(order))
        return wire.make_json(status, {})

    def _judge_order(self, order):
        if order['fence'] < self.fence:
            return 412
        self.fence = order['fence']
        if self.version_by_model.get(order['model'], 0) >= order['version']:
            return 200
        if self.is_loading():
            return 409
        if order.get('expected', self.seq) != self.seq:
            return 409
        return 202

    def is_loading(self):
        """Return whether an order is in progress."""
        return self.loading is not None and not self.loading.done()

    async def _load(self, order):
        # In the mode 'wait', runs finish first; 'retain' lets them go on.
        while order['mode'] == 'wait' and self.running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(LOAD_S)
        self.version_by_model[order['model']] = order['version']
        self.register()

    def _generate(self, request):
        item_id = request.headers['attempt-id']
        head = (('Attempt-Id', item_id),)
        if self.is_loading() or self.running >= self.slots:
            return wire.Reply(503, (*head, ('Not-Executed', '1')))
        first = int(request.headers.get('last-event-id') or 0) + 1
        model = request.headers.get('model', '')
        version = self.version_by_model.get(model, 0)
        self.ran.append(item_id)
        self.record('run', engine=self.id, item=item_id, first=first)
        head = (
            *head,
            ('Content-Type', 'text/event-stream'),
            ('Server-Stamp', f'{self.id}.{item_id}'),
            ('Weight-Versions', version),
        )
        return wire.Reply(
            200, head, chunks=self._stream(item_id, first, model, version)
        )

    async def _stream(self, item_id, first, model, version):
        self.running += 1
        software = self.software
        try:
            for number in range(first, self.count_events(item_id) + 1):
                await asyncio.sleep(self.pace_s(item_id))
                lines = ''
                current = self.version_by_model.get(model, 0)
                if current != version:
                    version = current
                    lines = f'weight-versions: {version}\n'
                data = make_piece(item_id, number)
                if self.names_software:
                    data += f'/{software}'
                yield f'{lines}id: {number}\ndata: {data}\n\n'.encode()
        finally:
            self.running -= 1

    async def _work(self, request):
        request_id = request.headers.get('attempt-id', '')
        head = (('Attempt-Id', request_id),)
        if self.running >= self.slots:
            return wire.Reply(503, (*head, ('Not-Executed', '1')))
        self.running += 1
        self.ran.append(request_id)
        self.record('run', engine=self.id, request=request_id)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        stamp = ('Server-Stamp', f'{self.id}.{request_id}')
        return wire.Reply(200, (*head, stamp), b'x' * 800)
