"""Generate load at random intervals and record each call."""

import asyncio
import dataclasses
import json
import random

from standins import cluster

__all__ = ['Call', 'Load', 'get_percentile']


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call as observed by its caller."""

    kind: str
    started_ms: float
    took_ms: float
    status: int
    verdict: str


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """One kind of call, chosen in proportion to its weight."""

    kind: str
    weight: float
    target: str
    body: dict | None
    caller: str = 'bench'


class Load:
    """Load generator that records the calls of one run."""

    def __init__(self, sim_cluster: cluster.Cluster, seed: int):
        self.sim_cluster = sim_cluster
        self.rng = random.Random(seed)
        self.calls: list[Call] = []
        self.number = 0

    async def run(
        self, per_s: float, duration_s: float, shapes: list[Shape]
    ) -> None:
        """Send calls at exponential intervals, then wait for all replies."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        weights = [shape.weight for shape in shapes]
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                shape = self.rng.choices(shapes, weights)[0]
                group.create_task(self.call(shape))
                await asyncio.sleep(self.rng.expovariate(per_s))

    async def call(self, shape: Shape) -> None:
        """Send one call to a random instance and record it."""
        loop = asyncio.get_running_loop()
        name = self.rng.choice(list(self.sim_cluster.member_by_name))
        body = None
        if shape.body is not None:
            self.number += 1
            prompt = f'{shape.kind} {self.number}'
            body = {**shape.body, 'prompt': prompt}
        method = 'GET' if body is None else 'POST'
        started_s = loop.time()
        reply = await self.sim_cluster.send_request(
            name, method, shape.target, body, (('x-caller', shape.caller),)
        )
        took_ms = (loop.time() - started_s) * 1000
        verdict = ''
        if reply.status != 200:
            verdict = json.loads(reply.body).get('verdict', '')
        call = Call(
            shape.kind, started_s * 1000, took_ms, reply.status, verdict
        )
        self.calls.append(call)

    def get_latencies(self, kind: str, after_ms: float = 0) -> list[float]:
        """Return the latencies of successful calls of one kind."""
        return [
            call.took_ms
            for call in self.calls
            if call.kind == kind
            and call.status == 200
            and call.started_ms >= after_ms
        ]


def get_percentile(values: list[float], percent: float) -> float:
    """Return a percentile, or infinity when there are no values."""
    if not values:
        return float('inf')
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return ordered[index]
