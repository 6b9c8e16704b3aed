"""Stand in for a trainer that requests batches and publishes weights."""

import argparse
import asyncio
import json
import time

from pomelopass.edges import httpclient
from pomelopass import message

__all__ = ['Trainer', 'main']

CALL_TIMEOUT_MS = 30_000
MAX_REPLY_BYTES = 268_435_456
RETRY_PAUSE_S = 0.2


class Trainer:
    """Trainer that requests a batch per step and measures its idle time."""

    def __init__(self, arguments: argparse.Namespace):
        self.name = arguments.trainer
        self.addresses = arguments.entries.split(',')
        self.zone = arguments.zone
        self.prompts = arguments.prompts
        self.train_ms = arguments.train_ms
        self.weight_store = arguments.weight_store
        self.http = httpclient.HttpClient()
        self.idle_ms = 0.0

    async def call(
        self, method: str, target: str, value: object
    ) -> tuple[int, bytes]:
        """Call an instance, failing over to the next on an error."""
        body = b'' if value is None else json.dumps(value).encode()
        for _ in range(100):
            address = self.addresses[0]
            try:
                reply = await self.http.open(
                    address,
                    message.Request(method, target, (), body),
                    CALL_TIMEOUT_MS,
                )
                data = await reply.read(MAX_REPLY_BYTES)
                if reply.status < 500:
                    return reply.status, data
            except message.ExchangeError:
                pass
            self.addresses.append(self.addresses.pop(0))
            await asyncio.sleep(RETRY_PAUSE_S)
        raise RuntimeError('no instance answered')

    async def refresh_entries(self) -> None:
        """Fetch the addresses of the instances to use."""
        _, data = await self.call('GET', f'/entries?zone={self.zone}', None)
        addresses = [entry['address'] for entry in json.loads(data)['entries']]
        self.addresses = addresses or self.addresses

    async def get_batch(self, step: int) -> dict:
        """Request the batch of a step until it is ready."""
        target = f'/trainers/{self.name}/batches/{step}'
        request_body = {
            'prompts': [
                f'step {step} part {index}' for index in range(self.prompts)
            ]
        }
        started_at_s = time.monotonic()
        while True:
            status, data = await self.call('POST', target, request_body)
            if status == 200:
                self.idle_ms += (time.monotonic() - started_at_s) * 1000
                return json.loads(data)
            if status != 202:
                raise RuntimeError(f'status {status}: {data[:200]!r}')

    async def publish(self, version: int) -> None:
        """Upload weights to the weight store and publish them."""
        key = f'{self.name}-{version}'
        if self.weight_store:
            reply = await self.http.open(
                self.weight_store,
                message.Request('PUT', f'/objects/{key}', (), b'w' * 4096),
                CALL_TIMEOUT_MS,
            )
            await reply.read(MAX_REPLY_BYTES)
        value = {'version': version, 'object': key}
        target = f'/trainers/{self.name}/weights'
        status, data = await self.call('POST', target, value)
        if status != 200:
            raise RuntimeError(f'status {status}: {data[:200]!r}')

    async def run(self, steps: int, first_version: int) -> None:
        """Train for a number of steps, printing a JSON line for each."""
        await self.refresh_entries()
        started_at_s = time.monotonic()
        for step in range(1, steps + 1):
            batch = await self.get_batch(step)
            repeated_batch = await self.get_batch(step)
            report = {
                'trainer': self.name,
                'step': step,
                'same_again': repeated_batch == batch,
                'published_version': batch['published_version'],
                'samples': [
                    [sample['id'], sample['weight_versions']]
                    for group in batch['groups']
                    for sample in group['samples']
                ],
            }
            print(json.dumps(report), flush=True)
            await asyncio.sleep(self.train_ms / 1000)
            await self.publish(first_version + step)
        total_ms = (time.monotonic() - started_at_s) * 1000
        summary = {'idle_ms': self.idle_ms, 'total_ms': total_ms}
        print(json.dumps(summary), flush=True)
        await self.http.close()


def main() -> None:
    """Run a trainer."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--trainer', required=True)
    parser.add_argument('--entries', required=True)
    parser.add_argument('--zone', default='')
    parser.add_argument('--prompts', type=int, default=4)
    parser.add_argument('--steps', type=int, default=3)
    parser.add_argument('--train-ms', type=float, default=200.0)
    parser.add_argument('--first-version', type=int, default=1)
    parser.add_argument('--weight-store', default='')
    arguments = parser.parse_args()
    trainer = Trainer(arguments)
    asyncio.run(trainer.run(arguments.steps, arguments.first_version))


if __name__ == '__main__':
    main()
