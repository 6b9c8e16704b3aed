"""Replay trainers' steps on entry instances and a virtual clock."""

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

GROUPS_TIMEOUT_S = 12.0
SETTLE_S = 2.0
GROUPS_TARGET = target.Target(
    'groups whole in 7.5 s, of those that trainers wait for', 0.95, '', True
)
Policy = abc.Callable[[entries.EntryCluster], None]


@dataclasses.dataclass(slots=True)
class StepCounts:
    """Groups, step times, refusals and weight loads of one replay."""

    awaited: int = 0
    in_time: int = 0
    step_s: list[float] = dataclasses.field(default_factory=list)
    refusals: int = 0
    loads: int = 0

    @property
    def share(self) -> float:
        """Return the share of groups that were complete in time."""
        return self.in_time / max(self.awaited, 1)


def use_own_decisions(cluster: entries.EntryCluster) -> None:
    """Keep the product's own decisions."""


def use_arrival_order(cluster: entries.EntryCluster) -> None:
    """Run items in the order of their deadlines (first come, first served)."""
    for entry in cluster.entry_by_name.values():
        entry.node.scheduler.get_order = lambda item: item.deadline_ms


def use_least_load(cluster: entries.EntryCluster) -> None:
    """Send each item to the engine with the lowest reported load."""
    for entry in cluster.entry_by_name.values():
        entry.node.scheduler.get_order = lambda item: item.deadline_ms
        entry.node.scheduler.choose_for_run = _choose_least_loaded


def use_loads_at_once(cluster: entries.EntryCluster) -> None:
    """Don't protect weights that the next step may still use."""
    for entry in cluster.entry_by_name.values():
        node = entry.node
        get_demand = node.versions.get_demand
        node.versions.get_demand = lambda get=get_demand: {
            model: assignment.Demand(demand.tokens)
            for model, demand in get().items()
        }


POLICIES: dict[str, Policy] = {
    'first come first served': use_arrival_order,
    'least reported load': use_least_load,
    'all load at once': use_loads_at_once,
}


def measure_steps(seed: int) -> list[target.Outcome]:
    """Replay each pattern with the product and with each baseline."""
    outcomes = []
    for pattern in stepdata.read_patterns():
        pattern_target = dataclasses.replace(
            GROUPS_TARGET, name=f'{pattern.name}: {GROUPS_TARGET.name}'
        )
        baselines = {
            name: replay(pattern, policy, seed).share
            for name, policy in POLICIES.items()
        }
        value = replay(pattern, use_own_decisions, seed).share
        outcomes.append(target.Outcome(pattern_target, value, baselines))
    return outcomes


def replay(pattern: stepdata.Pattern, policy: Policy, seed: int) -> StepCounts:
    """Return the counts of a pattern's trainers under a policy."""
    return virtualloop.run(_replay(pattern, policy, seed))


async def _replay(
    pattern: stepdata.Pattern, policy: Policy, seed: int
) -> StepCounts:
    cluster = stepfleet.make_cluster(pattern, seed)
    policy(cluster)
    await asyncio.sleep(SETTLE_S)
    counts = StepCounts()
    faults = [
        asyncio.ensure_future(stepfleet.inject(cluster, fault))
        for fault in pattern.faults
    ]
    # A random generator per trainer: equal steps under all policies.
    await asyncio.gather(
        *(
            _train(
                cluster,
                trainer,
                pattern.steps,
                counts,
                random.Random(f'{seed} {trainer.model}'),
            )
            for trainer in pattern.trainers
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
    started_at = loop.time()
    for step in range(steps):
        due_at = started_at + trainer.start_s + step * trainer.every_s
        await asyncio.sleep(max(0.0, due_at - loop.time()))
        if step > 1:
            cluster.set_target_version(trainer.model, step)
        submission = stepdata.make_step(
            trainer, step, max(1, step - 1), cluster.pool.events_by_item, rng
        )
        submitted_at = loop.time()
        name = rng.choice(list(cluster.entry_by_name))
        await cluster.submit(name, submission)
        group_delays_s = await _wait_for_groups(cluster, submission)
        counts.awaited += submission.target_groups
        counts.in_time += sum(
            delay_s <= stepdata.GROUP_DEADLINE_S for delay_s in group_delays_s
        )
        counts.step_s.append(loop.time() - submitted_at)
        await cluster.entry_by_name[name].node.job_api.end(submission.id)
        await asyncio.sleep(trainer.train_s)


async def _wait_for_groups(cluster, submission) -> list[float]:
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    remaining_by_group: dict[str, int] = {}
    group_by_item = {item.id: item.group for item in submission.items}
    for item in submission.items:
        remaining_by_group[item.group] = (
            remaining_by_group.get(item.group, 0) + 1
        )
    group_delays_s: list[float] = []
    read_count = 0
    job_api = next(iter(cluster.entry_by_name.values())).node.job_api
    while len(group_delays_s) < submission.target_groups:
        if loop.time() - started_at > GROUPS_TIMEOUT_S:
            break
        page = await job_api.read(
            submission.id, read_count, entries.READ_WAIT_MS
        )
        read_count += len(page.results)
        for result in page.results:
            group = group_by_item[result.item_id]
            remaining_by_group[group] -= 1
            if not remaining_by_group[group]:
                group_delays_s.append(loop.time() - started_at)
    return group_delays_s[: submission.target_groups]


def _choose_least_loaded(
    states, avoid, model, min_version, now
) -> endpoints.EndpointState | None:
    free = [
        state
        for state in states
        if state.endpoint.id not in avoid
        and state.get_version(model) >= min_version
        and state.in_flight_elsewhere < state.endpoint.slots
        and state.in_flight < state.endpoint.slots
    ]
    return min(free, key=lambda state: state.in_flight_elsewhere, default=None)


def _count_events(cluster: entries.EntryCluster, counts: StepCounts) -> None:
    for entry in cluster.entry_by_name.values():
        for event in entry.events:
            counts.refusals += (
                event['event'] == 'item-run'
                and event['outcome'] == 'endpoint-refused'
            )
            counts.loads += event['event'] == 'engine-ordered'


def main() -> int:
    """Print the counts by pattern and policy; optional argument: seed."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    policies = {'this product': use_own_decisions, **POLICIES}
    for pattern in stepdata.read_patterns():
        print(pattern.name)
        for name, policy in policies.items():
            counts = replay(pattern, policy, seed)
            mean_s = sum(counts.step_s) / len(counts.step_s)
            print(
                f'  {name:28s} groups in time {counts.share:.3f}'
                f'  step {mean_s:.2f} s  refused {counts.refusals}'
                f'  loads {counts.loads}',
                flush=True,
            )
    return 0


if __name__ == '__main__':
    sys.exit(main())
