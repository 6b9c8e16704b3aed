"""Test invariants over random histories of kills, faults and calls."""

import asyncio
import dataclasses

import hypothesis
from hypothesis import strategies as st

from pomelopass.jobs import api as jobapi
from pomelopass.jobs import job as jobs
from pomelopass.table import rows
from standins import entries
from standins import virtualloop
from tests.entry import test_jobs
from tests import entrybuilders

INSTANCES = 3
ENGINES = 3
MODEL = entrybuilders.MODEL
STEPS = (
    *('submit',) * 5,
    *('end',) * 2,
    *('start',) * 2,
    'kill',
    'kill-all',
    'table-down',
    'table-up',
    'lose-answers',
    'late-writes',
    'lose-history',
    'name-version',
    'configure',
    'crash-engine',
    'cut-one',
)
# Late writes of the table arrive up to 6 s after they were sent.
SETTLE_S = 16


@dataclasses.dataclass(slots=True)
class History:
    """State of one random history, with the jobs that were accepted."""

    cluster: entries.EntryCluster
    accepted: dict[str, jobs.Submission] = dataclasses.field(
        default_factory=dict
    )
    ended: set[str] = dataclasses.field(default_factory=set)
    version: int = 1
    configured: int = 1
    count: int = 0

    def get_alive(self) -> list[str]:
        """Return the names of the running instances."""
        return [
            name
            for name, entry in self.cluster.entry_by_name.items()
            if entry.alive
        ]


async def submit(history: History, pick: int) -> None:
    alive = history.get_alive()
    if not alive:
        return
    history.count += 1
    submission = entrybuilders.make_submission(f'job-{history.count}', 2, 3)
    name = alive[pick % len(alive)]
    outcome = await history.cluster.submit(name, submission)
    if outcome is jobapi.Acceptance.ACCEPTED:
        history.accepted[submission.id] = submission


async def end(history: History, pick: int) -> None:
    alive = history.get_alive()
    running = sorted(history.accepted.keys() - history.ended)
    if not alive or not running:
        return
    job_id = running[pick % len(running)]
    job_api = history.cluster.entry_by_name[
        alive[pick % len(alive)]
    ].node.job_api
    # A call that failed may still end the job.
    history.ended.add(job_id)
    try:
        assert await job_api.end(job_id)
    except rows.TableError:
        return


async def take_step(history: History, step: str, pick: int) -> None:
    cluster = history.cluster
    alive = history.get_alive()
    entry = cluster.entry_by_name[f'entry-{pick % INSTANCES}']
    if step == 'submit':
        await submit(history, pick)
    elif step == 'end':
        await end(history, pick)
    elif step == 'kill' and alive:
        cluster.kill(alive[pick % len(alive)])
    elif step == 'kill-all':
        for name in alive:
            cluster.kill(name)
    elif step == 'start' and not entry.alive:
        cluster.start(f'entry-{pick % INSTANCES}')
    elif step in ('table-down', 'table-up'):
        cluster.service.down = step == 'table-down'
    elif step == 'lose-answers':
        entry.client.faults.lose_answers = 0.3
    elif step == 'late-writes':
        entry.client.faults.late_writes = 0.2
    elif step == 'cut-one':
        entry.client.faults.down = True
    elif step == 'lose-history':
        cluster.service.forget_history()
    elif step == 'name-version':
        history.version += 1
        cluster.set_target_version(MODEL, history.version)
    elif step == 'configure':
        history.configured += 1
        value = entrybuilders.make_configuration(history.configured)
        cluster.put_configuration(value)
    elif step == 'crash-engine':
        cluster.pool.crash_and_restart(f'engine-{pick % ENGINES}')


async def heal(history: History) -> None:
    cluster = history.cluster
    cluster.service.down = False
    for entry in cluster.entry_by_name.values():
        entry.client.faults.lose_answers = 0.0
        entry.client.faults.late_writes = 0.0
        entry.client.faults.down = False
    for number in range(INSTANCES):
        if not cluster.entry_by_name[f'entry-{number}'].alive:
            cluster.start(f'entry-{number}')
    await asyncio.sleep(SETTLE_S)


def check_orders(cluster: entries.EntryCluster) -> None:
    for endpoint in cluster.pool.endpoint_by_id.values():
        restarted = endpoint.started_at_ms > 1
        fences = [order.fence for order in endpoint.accepted_orders]
        assert fences == sorted(fences)
        versions = [order.version for order in endpoint.accepted_orders]
        # An engine that crashed during a load needs the order again.
        assert versions == sorted(versions if restarted else set(versions))


def check_configurations(history: History) -> None:
    for entry in history.cluster.entry_by_name.values():
        versions = [
            event['version']
            for event in entry.events
            if event['event'] == 'configuration-in-force'
        ]
        assert versions == sorted(set(versions))
        assert versions[-1] == history.configured


async def check_jobs(history: History) -> None:
    cluster = history.cluster
    for job_id, submission in history.accepted.items():
        if job_id in history.ended:
            continue
        results = await cluster.read_all(job_id, 20)
        test_jobs.check_results(cluster, submission, results)
        for entry in cluster.entry_by_name.values():
            page = await entry.node.job_api.read(job_id, 0, 0)
            assert list(page.results) == results


@hypothesis.given(
    seed=st.integers(0, 10_000),
    steps=st.lists(
        st.tuples(
            st.sampled_from(STEPS),
            st.integers(0, 11),
            st.integers(0, 900),
        ),
        min_size=8,
        max_size=30,
    ),
)
def test_invariants_hold_over_any_history(seed, steps):
    async def scenario():
        cluster = entrybuilders.make_cluster(seed, INSTANCES, ENGINES)
        history = History(cluster)
        await asyncio.sleep(2)
        tasks = []
        for step, pick, pause_ms in steps:
            tasks.append(asyncio.create_task(take_step(history, step, pick)))
            await asyncio.wait(tasks[-1:], timeout=pause_ms / 1000)
        await heal(history)
        for task in tasks:
            # A call to a killed instance never ends.
            task.cancel()
        outcomes = await asyncio.gather(*tasks, return_exceptions=True)
        assert not [
            outcome for outcome in outcomes if isinstance(outcome, Exception)
        ]
        await check_jobs(history)
        check_orders(cluster)
        check_configurations(history)
        loaded_versions = {
            endpoint.version_by_model[MODEL]
            for endpoint in cluster.pool.endpoint_by_id.values()
            if endpoint.version_by_model
        }
        assert loaded_versions == {history.version}
        await cluster.stop()

    virtualloop.run(scenario())
