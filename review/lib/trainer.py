"""Stand in for a trainer: submit, read and end batch jobs."""

import asyncio
import base64
import json

import wire

HOST = 'r.example'
MODEL = 'm0'


def make_items(job_id, group, count):
    """Return the items of a group, as a trainer submits them."""
    return [
        {
            'id': f'{group}i{number}',
            'path': f'/rollouts/{group}/{number}',
            'headers': {
                'Model': MODEL,
                'Token-Counts': '1016,600',
                'Prompt-Prefix': f'{_hash(group)}:1000,{number:x}f:16',
            },
            'body': base64.b64encode(b'prompt ' + group.encode()).decode(),
            'tokens': 1616,
            'group': group,
            'scorer': {
                'id': f'{job_id}s{group}i{number}',
                'hostname': HOST,
                'path': '/lookups/score',
                'body': base64.b64encode(b'score').decode(),
            },
        }
        for number in range(count)
    ]


def _hash(text):
    return text.encode().hex()


class Trainer:
    """Client of the machines, which writes down all that it sees."""

    def __init__(self, fleet):
        self.fleet = fleet

    async def submit(self, machine, job_id, step, min_version, groups, items):
        """Submit a batch job; return the status."""
        content = {
            'step': step,
            'model': MODEL,
            'min_version': min_version,
            'target_groups': groups,
            'items': items,
        }
        status, _ = await wire.send(
            self.fleet.get_address(machine),
            'POST',
            f'/rollouts/{job_id}',
            (
                ('Host', HOST),
                ('Attempt-Id', job_id),
                ('Content-Type', 'application/json'),
            ),
            json.dumps(content).encode(),
        )
        self.fleet.record(
            'submit', machine=machine, job=job_id, step=step, status=status
        )
        return status

    async def read(self, machine, job_id, after=0, wait_ms=0):
        """Return the status and the results of a batch job from a position."""
        headers = [('Host', HOST)]
        if wait_ms:
            headers.append(('Wait-Ms', wait_ms))
        status, body = await wire.send(
            self.fleet.get_address(machine),
            'GET',
            f'/-/lots/{job_id}?after={after}',
            headers,
        )
        if status != 200:
            return status, None
        return status, json.loads(body)

    async def end(self, machine, job_id):
        """End a batch job; return the status."""
        status, _ = await wire.send(
            self.fleet.get_address(machine),
            'DELETE',
            f'/-/lots/{job_id}',
            (('Host', HOST),),
        )
        self.fleet.record('end', machine=machine, job=job_id, status=status)
        return status

    async def collect(self, machine, job_id, is_enough, timeout_s):
        """Read about twice a second until there is enough, or no more time.

        Return the results in their order.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        results = []
        while loop.time() < deadline and not is_enough(results):
            _, page = await self.read(machine, job_id, len(results))
            if page is not None:
                results.extend(page['results'])
                for result in page['results']:
                    self.fleet.record('result', job=job_id, **result)
            remaining_s = max(deadline - loop.time(), 0.0)
            await asyncio.sleep(min(0.5, remaining_s))
        return results

    def name_version(self, version):
        """Name the next version of the weights."""
        self.fleet.store.put(
            'op', f'version/{MODEL}', {'model': MODEL, 'version': version}
        )
        self.fleet.record('name-version', version=version)
