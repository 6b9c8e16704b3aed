"""Stand in for the platform's store, with one link for each machine."""

import asyncio
import base64
import json
import time
from urllib import parse

import wire

ANSWER_S = 0.004
TRANSACTION_S = 0.005
HISTORY_ROWS = 100_000
MAX_ROWS = 500


class Store:
    """Rows, their history, and the links of the machines to them."""

    def __init__(self):
        self.row_by_name = {}
        self.version = 0
        self.history = []
        self.changed = asyncio.Event()
        self.server_by_machine = {}
        # Called with a machine and a transaction before it is applied;
        # returns '' to go on, 'late:SECONDS' or 'lost'.
        self.judge = lambda machine, transaction: ''
        self.count_by_judgement = {}
        # Called with a machine and each transaction that was applied.
        self.on_applied = lambda machine, transaction: None
        self.answer_s = ANSWER_S

    async def listen(self, machine, host, port):
        """Open the link of a machine."""

        async def handle(link, request):
            return await self._handle(machine, link, request)

        server = wire.Server(handle)
        await server.start(host, port)
        self.server_by_machine[machine] = server

    def put(self, table, key, value, part=''):
        """Write a row as the operator or an engine does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply({'put': [_name(table, part, key) | {'value': text}]})

    def remove(self, table, key):
        """Remove a row."""
        self._apply({'remove': [_name(table, '', key)]})

    def get_value(self, table, part, key):
        """Return the decoded JSON value of a row, or None."""
        row = self.row_by_name.get((table, part, key))
        return None if row is None else decode(row)

    def get_rows(self, table):
        """Return all rows of a table."""
        return [row for row in self.row_by_name.values() if _of(row, table)]

    def get_now_ms(self):
        """Return the steady clock of the store."""
        return int(time.monotonic() * 1000)

    async def _handle(self, machine, link, request):
        query = dict(
            parse.parse_qsl(
                request.target.partition('?')[2], keep_blank_values=True
            )
        )
        if request.path == '/-/rows-tx':
            return await self._transact(machine, link, request)
        if request.path == '/-/rows-get':
            await asyncio.sleep(self.answer_s)
            return self._read(query)
        if request.path == '/-/rows-parts':
            await asyncio.sleep(self.answer_s)
            return self._list_parts(query)
        if request.path == '/-/rows-feed':
            return await self._follow(query)
        return wire.make_json(404, {})

    async def _transact(self, machine, link, request):
        transaction = json.loads(request.body)
        await asyncio.sleep(self.answer_s / 2 + TRANSACTION_S)
        if link.silent:
            return None
        judgement = ''
        if transaction.get('put') or transaction.get('remove'):
            judgement = self.judge(machine, transaction)
            kind = judgement.partition(':')[0]
            count = self.count_by_judgement.get(kind, 0)
            self.count_by_judgement[kind] = count + 1
        if judgement.startswith('late:'):
            loop = asyncio.get_running_loop()
            delay_s = float(judgement.partition(':')[2])
            loop.call_later(delay_s, self._apply, transaction, machine)
            link.silent = True
            return None
        status, content = self._apply(transaction, machine)
        if judgement == 'lost':
            link.silent = True
            return None
        await asyncio.sleep(self.answer_s / 2)
        return wire.make_json(status, content)

    def _apply(self, transaction, machine=''):
        for expected in transaction.get('expected', ()):
            row = self.row_by_name.get(_key(expected))
            if (row['ver'] if row else 0) != expected['ver']:
                present = [
                    self.row_by_name[_key(other)]
                    for other in transaction['expected']
                    if _key(other) in self.row_by_name
                ]
                return 412, self._stamp({'rows': present})
        puts = transaction.get('put', ())
        removes = transaction.get('remove', ())
        if not (puts or removes):
            return 200, self._stamp({})
        self.version += 1
        for put in puts:
            row = _name(put['table'], put.get('part', ''), put['key'])
            row |= {'value': put['value'], 'ver': self.version}
            self.row_by_name[_key(put)] = row
            self.history.append(row)
        for remove in removes:
            if self.row_by_name.pop(_key(remove), None) is not None:
                row = _name(
                    remove['table'], remove.get('part', ''), remove['key']
                )
                row |= {'removed': True, 'ver': self.version}
                self.history.append(row)
        del self.history[:-HISTORY_ROWS]
        self.changed.set()
        self.changed = asyncio.Event()
        self.on_applied(machine, transaction)
        return 200, self._stamp({})

    def _read(self, query):
        limit = min(int(query.get('limit', MAX_ROWS)), MAX_ROWS)
        rows = sorted(
            (
                row
                for row in self.row_by_name.values()
                if _of(row, query['table'])
                and row['part'] == query.get('part', '')
                and row['key'] >= query.get('from', '')
                and (not query.get('to') or row['key'] < query['to'])
            ),
            key=lambda row: row['key'].encode(),
        )
        return wire.make_json(
            200,
            self._stamp({'rows': rows[:limit], 'has_more': len(rows) > limit}),
        )

    def _list_parts(self, query):
        parts = {row['part'] for row in self.get_rows(query['table'])}
        after = query.get('after')
        names = sorted(name for name in parts if after is None or name > after)
        return wire.make_json(200, self._stamp({'parts': names[:1000]}))

    async def _follow(self, query):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(int(query['wait_ms']), 30_000) / 1000
        after = int(query['after'])
        await asyncio.sleep(self.answer_s / 2)
        while True:
            rows = []
            for row in reversed(self.history):
                if row['ver'] <= after:
                    break
                if _of(row, query['table']):
                    rows.append(row)
            remaining_s = deadline - loop.time()
            if rows or remaining_s <= 0:
                break
            try:
                async with asyncio.timeout(remaining_s):
                    await self.changed.wait()
            except TimeoutError:
                continue
        content = self._stamp({'rows': rows[::-1]})
        await asyncio.sleep(self.answer_s / 2)
        return wire.make_json(200, content)

    def _stamp(self, content):
        return content | {'ver': self.version, 'now_ms': self.get_now_ms()}


def decode(row):
    """Return the JSON value of a row."""
    return json.loads(base64.b64decode(row['value']))


def _of(row, table):
    return row['table'] == table


def _name(table, part, key):
    return {'table': table, 'part': part, 'key': key}


def _key(row):
    return row['table'], row.get('part', ''), row['key']
