"""Replay the steps of trainers on whole instances and a virtual clock."""

import asyncio
from collections import abc
import dataclasses
import random
import sys

from bench import stepdata
from bench import stepfleet
from bench import target
from pomelopass.registry import endpoint as endpoints
from pomelopass.versions import assignment
from standins import entries
from standins import virtualloop

__all__ = ['StepCounts', 'measure_steps', 'replay']

GIVE_UP_S = 12.0
SETTLE_S = 2.0
GROUPS_TARGET = target.Target(
    'groups whole in 7.5 s, of those that trainers wait for', 0.95, '', True
)
Policy = abc.Callable[[entries.EntryCluster], None]


@dataclasses.dataclass(slots=True)
class StepCounts:
    """Count what trainers got."""

    waited: int = 0
    in_time: int = 0
    step_s: list[float] = dataclasses.field(default_factory=list)
    refused: int = 0
    loads: int = 0

    @property
    def share(self) -> float:
        """Return the share of groups that were whole in time."""
        return self.in_time / max(self.waited, 1)


def use_product(cluster: entries.EntryCluster) -> None:
    """Leave all decisions as they are."""


def use_arrival_order(cluster: entries.EntryCluster) -> None:
    """Serve items first come, first served."""
    for entry in cluster.entry_by_name.values():
        entry.node.scheduler.get_order = lambda one: one.deadline_ms


def use_least_load(cluster: entries.EntryCluster) -> None:
    """Send each item to the engine with the least reported load."""
    for entry in cluster.entry_by_name.values():
        entry.node.scheduler.get_order = lambda one: one.deadline_ms
        entry.node.scheduler.choose_for_run = _choose_least_loaded


def use_loads_at_once(cluster: entries.EntryCluster) -> None:
    """Replace weights that the next step may still use like any others."""
    for entry in cluster.entry_by_name.values():
        node = entry.node
        get_demand = node.versions.get_demand
        node.versions.get_demand = lambda get=get_demand: {
            model: assignment.Demand(one.tokens)
            for model, one in get().items()
        }


POLICIES: dict[str, Policy] = {
    'first come first served': use_arrival_order,
    'least reported load': use_least_load,
    'all load at once': use_loads_at_once,
}


def measure_steps(seed: int) -> list[target.Outcome]:
    """Replay each pattern with the product's decisions and baselines."""
    outcomes = []
    for pattern in stepdata.read_patterns():
        named = dataclasses.replace(
            GROUPS_TARGET, name=f'{pattern.name}: {GROUPS_TARGET.name}'
        )
        baselines = {
            name: replay(pattern, policy, seed).share
            for name, policy in POLICIES.items()
        }
        value = replay(pattern, use_product, seed).share
        outcomes.append(target.Outcome(named, value, baselines))
    return outcomes


def replay(pattern: stepdata.Pattern, policy: Policy, seed: int) -> StepCounts:
    """Return what the trainers of a pattern got under a policy."""
    return virtualloop.run(_replay(pattern, policy, seed))


async def _replay(
    pattern: stepdata.Pattern, policy: Policy, seed: int
) -> StepCounts:
    cluster = stepfleet.make_cluster(pattern, seed)
    policy(cluster)
    await asyncio.sleep(SETTLE_S)
    counts = StepCounts()
    faults = [
        asyncio.ensure_future(stepfleet.inject(cluster, one))
        for one in pattern.faults
    ]
    # Each trainer asks the same of all policies, whatever their pace.
    await asyncio.gather(
        *(
            _train(
                cluster,
                one,
                pattern.steps,
                counts,
                random.Random(f'{seed} {one.model}'),
            )
            for one in pattern.trainers
        )
    )
    await asyncio.gather(*faults)
    _count_events(cluster, counts)
    await cluster.stop()
    return counts


async def _train(
    cluster: entries.EntryCluster,
    trainer: stepdata.TrainerLoad,
    steps: int,
    counts: StepCounts,
    rng: random.Random,
) -> None:
    loop = asyncio.get_running_loop()
    began = loop.time()
    for step in range(steps):
        due_at = began + trainer.start_s + step * trainer.every_s
        await asyncio.sleep(max(0.0, due_at - loop.time()))
        if step > 1:
            cluster.set_target_version(trainer.model, step)
        built = stepdata.make_step(
            trainer, step, max(1, step - 1), cluster.pool.events_by_item, rng
        )
        asked_at = loop.time()
        name = rng.choice(list(cluster.entry_by_name))
        await cluster.submit(name, built)
        whole_s = await _wait_for_groups(cluster, built)
        counts.waited += built.target_groups
        counts.in_time += sum(one <= stepdata.DUE_S for one in whole_s)
        counts.step_s.append(loop.time() - asked_at)
        await cluster.entry_by_name[name].node.job_api.end(built.id)
        await asyncio.sleep(trainer.train_s)


async def _wait_for_groups(cluster, built) -> list[float]:
    loop = asyncio.get_running_loop()
    began = loop.time()
    left_by_group: dict[str, int] = {}
    group_by_item = {one.id: one.group for one in built.items}
    for one in built.items:
        left_by_group[one.group] = left_by_group.get(one.group, 0) + 1
    whole_s: list[float] = []
    read = 0
    job_api = next(iter(cluster.entry_by_name.values())).node.job_api
    while len(whole_s) < built.target_groups:
        if loop.time() - began > GIVE_UP_S:
            break
        page = await job_api.read(built.id, read, entries.READ_WAIT_MS)
        read += len(page.results)
        for one in page.results:
            group = group_by_item[one.item_id]
            left_by_group[group] -= 1
            if not left_by_group[group]:
                whole_s.append(loop.time() - began)
    return whole_s[: built.target_groups]


def _choose_least_loaded(
    states, avoid, model, min_version, now
) -> endpoints.EndpointState | None:
    free = [
        one
        for one in states
        if one.endpoint.id not in avoid
        and one.get_version(model) >= min_version
        and one.in_flight_elsewhere < one.endpoint.slots
        and one.in_flight < one.endpoint.slots
    ]
    return min(free, key=lambda one: one.in_flight_elsewhere, default=None)


def _count_events(cluster: entries.EntryCluster, counts: StepCounts) -> None:
    for entry in cluster.entry_by_name.values():
        for event in entry.events:
            counts.refused += (
                event['event'] == 'item-run'
                and event['outcome'] == 'endpoint-refused'
            )
            counts.loads += event['event'] == 'engine-ordered'


def main() -> int:
    """Print each pattern and policy; the seed may be given."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    policies = {'this product': use_product, **POLICIES}
    for pattern in stepdata.read_patterns():
        print(pattern.name)
        for name, policy in policies.items():
            counts = replay(pattern, policy, seed)
            mean_s = sum(counts.step_s) / len(counts.step_s)
            print(
                f'  {name:28s} groups in time {counts.share:.3f}'
                f'  step {mean_s:.2f} s  refused {counts.refused}'
                f'  loads {counts.loads}',
                flush=True,
            )
    return 0


if __name__ == '__main__':
    sys.exit(main())
