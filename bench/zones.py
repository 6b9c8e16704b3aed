"""Replay requests and steps of several zones on a virtual clock."""

import asyncio
import dataclasses
import math
import random
import sys

from bench import report
from bench import stepdata
from bench import target
from bench import zonedata
from bench import zonefleet
from bench import zonepolicies
from pomelopass.requests import call as calls
from pomelopass.requests import routes
from standins import entries
from standins import virtualloop

__all__ = ['ZoneCounts', 'measure_zones', 'replay']

SETTLE_S = 2.0
END_S = 3.0
STEP_LIMIT_S = 30.0
# Share of time in which a decision can be seen to swing.
WINDOW_S = 0.3
PRODUCT = 'this product'
UNPRICED = 'without the setting'
SINGLE_PACE = 'one pace for all work'
COST_TARGET = target.Target(
    'waiting and price of bytes over those with full knowledge', 1.2, 'x'
)
STEP_TARGET = target.Target(
    'step time and price of bytes over those without the setting', 1.0, 'x'
)


@dataclasses.dataclass(slots=True)
class ZoneCounts:
    """What callers waited for and what left their zone."""

    took_ms: list[float] = dataclasses.field(default_factory=list)
    failed: int = 0
    left: int = 0
    bytes_left: float = 0.0
    step_s: list[float] = dataclasses.field(default_factory=list)
    transfer_ms_per_mb: float = 0.0
    # Requests of each zone and those that left it, by window.
    windows: dict[tuple[str, int], list[int]] = dataclasses.field(
        default_factory=dict
    )
    # Those that went from one zone to another, in all and by window.
    left_by_window: dict[tuple[str, str, int], int] = dataclasses.field(
        default_factory=dict
    )
    left_by_zone: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )

    @property
    def count(self) -> int:
        """Return the number of requests or runs."""
        return len(self.took_ms) + self.failed

    @property
    def left_share(self) -> float:
        """Return the share of requests or runs that left their zone."""
        return self.left / max(self.count, 1)

    @property
    def cost_ms(self) -> float:
        """Return the mean waiting with the price of the bytes."""
        waits = [second * 1000 for second in self.step_s] or self.took_ms
        price_ms = self.bytes_left / 1e6 * self.transfer_ms_per_mb
        return (sum(waits) + price_ms) / max(len(waits), 1)

    def get_percentile_ms(self, share: float) -> float:
        """Return the time within which a share of requests was answered."""
        ordered = sorted(self.took_ms)
        if not ordered:
            return math.inf
        return ordered[min(int(share * len(ordered)), len(ordered) - 1)]

    def get_swing(self, zone: str) -> float:
        """Return the mean change of the share that leaves, by window."""
        shares = [
            left / total
            for (name, _), (left, total) in sorted(self.windows.items())
            if name == zone and total
        ]
        changes = [
            abs(later - earlier)
            for earlier, later in zip(shares, shares[1:], strict=False)
        ]
        return sum(changes) / max(len(changes), 1)


def replay(
    pattern: zonedata.ZonePattern, policy: str, seed: int
) -> ZoneCounts:
    """Return the counts of a pattern under a policy."""
    return virtualloop.run(_replay(pattern, policy, seed))


async def _replay(
    pattern: zonedata.ZonePattern, policy: str, seed: int
) -> ZoneCounts:
    has_price = policy in (PRODUCT, SINGLE_PACE)
    cluster = zonefleet.make_cluster(pattern, seed, has_price)
    for entry in cluster.entry_by_name.values():
        _set_policy(cluster, pattern, entry, policy)
    await asyncio.sleep(SETTLE_S)
    demand_by_zone = {zone.name: zone.per_s for zone in pattern.zones}
    background = [
        asyncio.ensure_future(zonefleet.inject(cluster, fault, demand_by_zone))
        for fault in pattern.faults
    ]
    if pattern.turns is not None:
        turns = zonefleet.run_turns(
            cluster, pattern.turns, random.Random(f'{seed} turns')
        )
        background.append(asyncio.ensure_future(turns))
    counts = ZoneCounts(transfer_ms_per_mb=pattern.transfer_ms_per_mb)
    started_at = asyncio.get_running_loop().time()
    if pattern.steps is not None:
        await _train(cluster, pattern, pattern.steps, counts, seed)
    await asyncio.gather(
        *(
            _send(cluster, pattern, zone, demand_by_zone, seed)
            for zone in pattern.zones
            if zone.per_s
        )
    )
    for task in background:
        task.cancel()
    await asyncio.gather(*background, return_exceptions=True)
    _count_events(cluster, pattern, counts, started_at)
    await cluster.stop()
    return counts


def _set_policy(
    cluster: entries.EntryCluster,
    pattern: zonedata.ZonePattern,
    entry: entries.Entry,
    policy: str,
) -> None:
    node = entry.node
    zone = node.settings.availability_zone
    make_choose = zonepolicies.POLICIES.get(policy)
    if make_choose is not None:
        choose = make_choose(cluster, pattern, zone)
        placer = zonepolicies.PolicyPlacer(zone, choose)
        node.forwarder.placer = placer
    elif policy == SINGLE_PACE:
        placer = zonepolicies.SinglePacePlacer(
            zone, pattern.transfer_ms_per_mb
        )
        placer.latencies = node.placer.latencies
        node.forwarder.placer = placer
        node.forwarder.attempts = dataclasses.replace(
            node.forwarder.attempts, placer=placer
        )


async def _send(
    cluster: entries.EntryCluster,
    pattern: zonedata.ZonePattern,
    zone: zonedata.Zone,
    demand_by_zone: dict[str, float],
    seed: int,
) -> None:
    """Send the requests of a zone's callers to its instances."""
    loop = asyncio.get_running_loop()
    # A random generator per zone: equal requests under all policies.
    rng = random.Random(f'{seed} {zone.name}')
    ends_at = loop.time() + pattern.seconds
    tasks = []
    number = 0
    while loop.time() < ends_at:
        await asyncio.sleep(rng.expovariate(demand_by_zone[zone.name]))
        work = rng.choices(
            pattern.work, [work.share for work in pattern.work]
        )[0]
        name = f'{zone.name}-{rng.randrange(zone.instances)}'
        number += 1
        call = calls.Call(
            f'{zone.name}.{number}',
            stepdata.HOST,
            'POST',
            f'/{work.route}/x',
            (),
            b'x' * work.body_bytes,
            None,
        )
        node = cluster.entry_by_name[name].node
        route = routes.find_route(
            node.view.configuration, call.host, call.target
        )
        tasks.append(
            asyncio.ensure_future(node.forwarder.forward(call, route))
        )
    await asyncio.wait(tasks, timeout=END_S)


async def _train(
    cluster: entries.EntryCluster,
    pattern: zonedata.ZonePattern,
    steps: zonedata.Steps,
    counts: ZoneCounts,
    seed: int,
) -> None:
    """Run the steps of a trainer, one after the other."""
    loop = asyncio.get_running_loop()
    rng = random.Random(f'{seed} steps')
    trainer = stepdata.TrainerLoad(
        model=zonefleet.MODEL,
        groups=steps.groups,
        group_size=steps.group_size,
        wanted=1.0,
    )
    # An instance of the first zone owns the jobs.
    name = next(iter(cluster.entry_by_name))
    for step in range(steps.count):
        submission = stepdata.make_step(
            trainer, step, 1, cluster.pool.events_by_item, rng
        )
        submitted_at = loop.time()
        await cluster.submit(name, submission)
        await cluster.read_all(submission.id, STEP_LIMIT_S)
        counts.step_s.append(loop.time() - submitted_at)


def _count_events(
    cluster: entries.EntryCluster,
    pattern: zonedata.ZonePattern,
    counts: ZoneCounts,
    started_at: float,
) -> None:
    work_by_route = {work.route: work for work in pattern.work}
    for entry in cluster.entry_by_name.values():
        zone = entry.node.settings.availability_zone
        for event in entry.events:
            if event['event'] == 'request-ended':
                work = work_by_route[event['route']]
                ids = event['endpoints']
                size = work.body_bytes + work.answer_bytes
                is_done = event['outcome'] == 'answered'
            elif event['event'] == 'item-run':
                ids = [event['endpoint']]
                size = event['events'] * EVENT_BYTES
                is_done = event['outcome'] in ('done', 'moved')
            else:
                continue
            if is_done:
                counts.took_ms.append(event['took_ms'])
            else:
                counts.failed += 1
            _count_zones(cluster, counts, zone, ids, size, event, started_at)


def _count_zones(
    cluster: entries.EntryCluster,
    counts: ZoneCounts,
    zone: str,
    ids: list[str],
    size: int,
    event: dict,
    started_at: float,
) -> None:
    others = [
        cluster.pool.find(endpoint_id).availability_zone
        for endpoint_id in ids
        if cluster.pool.find(endpoint_id).availability_zone != zone
    ]
    counts.left += bool(others)
    counts.bytes_left += size * len(others)
    begun_at = event['at'] - event['took_ms'] / 1000
    window = int((begun_at - started_at) / WINDOW_S)
    for other in others:
        pair = (zone, other)
        counts.left_by_zone[pair] = counts.left_by_zone.get(pair, 0) + 1
        key = (zone, other, window)
        counts.left_by_window[key] = counts.left_by_window.get(key, 0) + 1
    total = counts.windows.setdefault((zone, window), [0, 0])
    total[0] += bool(others)
    total[1] += 1


# An event of a stream with its id, as the stand-in writes it.
EVENT_BYTES = 30


def get_policies(pattern: zonedata.ZonePattern) -> list[str]:
    """Return the policies that a pattern is replayed with."""
    if pattern.steps is not None:
        return [PRODUCT, UNPRICED]
    single = [SINGLE_PACE] if len(pattern.work) > 1 else []
    return [PRODUCT, UNPRICED, *single, *zonepolicies.POLICIES]


def measure_zones(seed: int) -> list[target.Outcome]:
    """Replay each pattern with the product and with each baseline."""
    outcomes = []
    for pattern in zonedata.read_patterns():
        cost_by_policy = {
            policy: replay(pattern, policy, seed).cost_ms
            for policy in get_policies(pattern)
        }
        value = cost_by_policy.pop(PRODUCT)
        bound = cost_by_policy.pop('full knowledge', None)
        pattern_target = COST_TARGET
        if bound is None:
            bound = cost_by_policy.pop(UNPRICED)
            pattern_target = STEP_TARGET
        name = f'{pattern.name}: {pattern_target.name}'
        outcomes.append(
            target.Outcome(
                dataclasses.replace(pattern_target, name=name),
                value / bound,
                {
                    policy: cost / bound
                    for policy, cost in cost_by_policy.items()
                },
            )
        )
    return outcomes


def print_counts(pattern: zonedata.ZonePattern, seed: int) -> None:
    """Print the counts of a pattern under each policy."""
    print(pattern.name)
    for policy in get_policies(pattern):
        counts = replay(pattern, policy, seed)
        waits = ''
        if counts.step_s:
            mean_s = sum(counts.step_s) / len(counts.step_s)
            waits = f'  step {mean_s:.2f} s'
        print(
            f'  {policy:24s} cost {counts.cost_ms:7.1f} ms'
            f'  p50 {counts.get_percentile_ms(0.5):6.1f}'
            f'  p99 {counts.get_percentile_ms(0.99):7.1f}'
            f'  left {counts.left_share:.3f}  failed {counts.failed}'
            f'  swing {counts.get_swing(pattern.zones[0].name):.3f}{waits}',
            flush=True,
        )


def main() -> int:
    """Print counts by pattern and policy, or write results with --write.

    Optional argument: seed.
    """
    arguments = [text for text in sys.argv[1:] if text != '--write']
    seed = int(arguments[0]) if arguments else 1
    if '--write' in sys.argv:
        report.write_results(measure_zones(seed), 'zones')
        return 0
    for pattern in zonedata.read_patterns():
        print_counts(pattern, seed)
    return 0


if __name__ == '__main__':
    sys.exit(main())
