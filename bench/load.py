"""Send requests at random moments and keep what callers saw."""

import asyncio
import dataclasses
import json
import random

from standins import cluster

__all__ = ['Call', 'Load', 'get_percentile']


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Hold one call as its caller saw it."""

    kind: str
    began_ms: float
    took_ms: float
    status: int
    verdict: str


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Describe one kind of call."""

    kind: str
    weight: float
    target: str
    body: dict | None
    caller: str = 'bench'


class Load:
    """Hold the calls of one run."""

    def __init__(self, built: cluster.Cluster, seed: int):
        self.built = built
        self.rng = random.Random(seed)
        self.calls: list[Call] = []
        self.number = 0

    async def run(
        self, per_s: float, duration_s: float, shapes: list[Shape]
    ) -> None:
        """Send calls with random gaps, then wait for all of them."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        weights = [one.weight for one in shapes]
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                shape = self.rng.choices(shapes, weights)[0]
                group.create_task(self.call(shape))
                await asyncio.sleep(self.rng.expovariate(per_s))

    async def call(self, shape: Shape) -> None:
        """Send one call through a random instance."""
        loop = asyncio.get_running_loop()
        name = self.rng.choice(list(self.built.member_by_name))
        body = None
        if shape.body is not None:
            self.number += 1
            prompt = f'{shape.kind} {self.number}'
            body = {**shape.body, 'prompt': prompt}
        method = 'GET' if body is None else 'POST'
        began = loop.time()
        reply = await self.built.send_request(
            name, method, shape.target, body, (('x-caller', shape.caller),)
        )
        took_ms = (loop.time() - began) * 1000
        verdict = ''
        if reply.status != 200:
            verdict = json.loads(reply.body).get('verdict', '')
        call = Call(shape.kind, began * 1000, took_ms, reply.status, verdict)
        self.calls.append(call)

    def get_latencies(self, kind: str, after_ms: float = 0) -> list[float]:
        """Return the latencies of whole answers of one kind."""
        return [
            one.took_ms
            for one in self.calls
            if one.kind == kind
            and one.status == 200
            and one.began_ms >= after_ms
        ]


def get_percentile(values: list[float], percent: float) -> float:
    """Return a percentile, or infinity when there are no values."""
    if not values:
        return float('inf')
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return ordered[index]
