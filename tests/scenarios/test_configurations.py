"""Test that an accepted configuration takes effect and never reverts."""

import asyncio
import json

import hypothesis
from hypothesis import strategies as st

from standins import cluster
from standins import virtualloop
from tests import builders
from tests.scenarios import faults

KINDS = (
    *('freeze', 'cut', 'table-down', 'table-slow', 'table-loses'),
    *('objects-down', 'list-down', 'clock-jumps'),
)
LATEST_ACTION_MS = 15_000
WATCH_INTERVAL_S = 0.05
IN_FORCE_LIMIT_S = 3.0
ACTIONS_LIMIT_S = 30.0

PROPOSALS = st.lists(
    st.tuples(st.integers(0, LATEST_ACTION_MS), st.integers(0, 2)),
    min_size=1,
    max_size=8,
)
RESTARTS = st.lists(
    st.tuples(st.integers(0, LATEST_ACTION_MS), st.booleans()), max_size=5
)


class ConfigRun:
    """Monitor the configuration version in force on each instance."""

    def __init__(self, sim_cluster: cluster.Cluster):
        self.sim_cluster = sim_cluster
        self.highest_in_force = 1
        self.last_version_by_incarnation: dict[str, int] = {}
        self.digest_by_version: dict[int, str] = {}
        self.accepted: list[tuple[int, str]] = []
        self.min_version_by_incarnation: dict[str, int] = {}
        self.replacement_count = 0

    def check_versions(self) -> None:
        """Assert that no instance reverted to an older version."""
        for member in self.sim_cluster.member_by_name.values():
            head = member.context.adoption.head
            if head is None:
                continue
            name = member.context.incarnation
            assert head.version >= self.last_version_by_incarnation.get(
                name, 0
            )
            if name not in self.last_version_by_incarnation:
                min_version = self.min_version_by_incarnation.get(name, 0)
                assert head.version >= min_version, (head, min_version)
            self.last_version_by_incarnation[name] = head.version
            digest = self.digest_by_version.setdefault(
                head.version, head.digest
            )
            assert digest == head.digest
            self.highest_in_force = max(self.highest_in_force, head.version)

    async def watch(self) -> None:
        """Check the versions periodically."""
        while True:
            self.check_versions()
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def propose(self, at_ms: int, index: int) -> None:
        """Propose a change of the version in force on an instance."""
        await asyncio.sleep(at_ms / 1000)
        names = sorted(self.sim_cluster.member_by_name)
        name = names[index % len(names)]
        head = self.sim_cluster.member_by_name[name].context.adoption.head
        if head is None:
            return
        comment_line = f'// by {name} at {at_ms}\n'
        text = comment_line + builders.make_configuration_text()
        reply = await self.sim_cluster.propose(name, head.version, text)
        body = json.loads(reply.body)
        if reply.status == 200:
            self.accepted.append((body['version'], body['digest']))

    async def restart(self, at_ms: int, restart_all: bool) -> None:
        """Replace one instance, or all of them, by new instances."""
        await asyncio.sleep(at_ms / 1000)
        names = sorted(self.sim_cluster.member_by_name)
        for name in names if restart_all else names[:1]:
            member = self.sim_cluster.member_by_name.pop(name)
            member.kill()
        for name in names if restart_all else names[:1]:
            self.replacement_count += 1
            self.check_versions()
            replacement = self.sim_cluster.add_member(
                f'fresh-{self.replacement_count}', name[-1:] or 'north'
            )
            incarnation = replacement.context.incarnation
            self.min_version_by_incarnation[incarnation] = (
                self.highest_in_force
            )


@hypothesis.given(
    seed=st.integers(0, 1000),
    proposals=PROPOSALS,
    restarts=RESTARTS,
    fault_plan=faults.make_faults(KINDS, LATEST_ACTION_MS, 6),
)
def test_configuration_never_reverts(seed, proposals, restarts, fault_plan):
    async def main() -> None:
        sim_cluster = await builders.start_cluster(seed, engines=1, services=1)
        run = ConfigRun(sim_cluster)
        watch_task = asyncio.ensure_future(run.watch())
        coroutines = [run.propose(*proposal) for proposal in proposals]
        coroutines += [run.restart(*restart) for restart in restarts]
        coroutines += [
            faults.inject(sim_cluster, fault) for fault in fault_plan
        ]
        # A proposal to a killed instance never returns.
        tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
        await asyncio.wait(tasks, timeout=ACTIONS_LIMIT_S)
        for task in tasks:
            if task.done():
                task.result()
        faults.clear_faults(sim_cluster)
        await asyncio.sleep(12)
        watch_task.cancel()
        run.check_versions()
        check_final_state(run)

    virtualloop.run(main())


def check_final_state(run: ConfigRun) -> None:
    """Assert equal versions and a complete history of accepted versions."""
    versions = {
        member.context.adoption.head.version
        for member in run.sim_cluster.member_by_name.values()
    }
    row = json.loads(run.sim_cluster.table.row_by_key['config/head'][0])
    assert versions == {row['version']}
    numbers = [version for version, _ in run.accepted]
    assert len(numbers) == len(set(numbers))
    for version, digest in run.accepted:
        key = f'config/history/{version:010d}'
        history_row = json.loads(run.sim_cluster.table.row_by_key[key][0])
        assert history_row['digest'] == digest


def test_accepted_configuration_takes_effect_within_the_limit():
    async def main() -> None:
        sim_cluster = await builders.start_cluster(members=12)
        text = '// second\n' + builders.make_configuration_text()
        reply = await sim_cluster.propose('entry-5', 1, text)
        assert reply.status == 200
        await asyncio.sleep(IN_FORCE_LIMIT_S)
        for member in sim_cluster.member_by_name.values():
            assert member.context.adoption.head.version == 2

    virtualloop.run(main())


def test_stale_base_is_refused_and_changes_nothing():
    async def main() -> None:
        sim_cluster = await builders.start_cluster()
        text = '// other\n' + builders.make_configuration_text()
        reply = await sim_cluster.propose('entry-1', 0, text)
        assert reply.status == 409
        body = json.loads(reply.body)
        assert body['code'] == 'config-conflict'
        assert body['verdict'] == 'not-run'
        row = json.loads(sim_cluster.table.row_by_key['config/head'][0])
        assert row['version'] == 1

    virtualloop.run(main())


def test_invalid_configuration_is_refused_with_all_problems():
    async def main() -> None:
        sim_cluster = await builders.start_cluster()
        value = json.loads(builders.make_configuration_text())
        value['services']['stock']['pool'] = 'desc'
        value['pools']['desk']['slots'] = 3
        reply = await sim_cluster.propose('entry-1', 1, json.dumps(value))
        assert reply.status == 422
        body = json.loads(reply.body)
        problems = {
            (problem['code'], problem['nearest'])
            for problem in body['problems']
        }
        assert problems == {
            ('unknown-name', 'desk'),
            ('unknown-field', 'slots_per_endpoint'),
        }
        head = sim_cluster.member_by_name['entry-1'].context.adoption.head
        assert head.version == 1

    virtualloop.run(main())


def test_version_without_a_stored_marker_is_not_adopted():
    async def main() -> None:
        sim_cluster = await builders.start_cluster()
        sim_cluster.objects.app.faults['refuse_prefix'] = 'config/accepted/'
        text = '// second\n' + builders.make_configuration_text()
        reply = await sim_cluster.propose('entry-0', 1, text)
        assert reply.status == 200
        assert json.loads(reply.body)['in_force_here'] is False
        await asyncio.sleep(5)
        sim_cluster.table.app.faults['down'] = 1
        replacement = sim_cluster.add_member('fresh', 'north')
        await asyncio.sleep(5)
        members = sim_cluster.member_by_name.values()
        versions = {member.context.adoption.head.version for member in members}
        assert versions == {1}
        faults.clear_faults(sim_cluster)
        await asyncio.sleep(5)
        assert replacement.context.adoption.head.version == 2

    virtualloop.run(main())


def test_new_fleet_starts_while_the_table_service_is_down():
    async def main() -> None:
        sim_cluster = await builders.start_cluster()
        text = '// second\n' + builders.make_configuration_text()
        await sim_cluster.propose('entry-0', 1, text)
        sim_cluster.table.app.faults['down'] = 1
        for name in list(sim_cluster.member_by_name):
            sim_cluster.member_by_name.pop(name).kill()
        replacement = sim_cluster.add_member('fresh', 'north')
        await asyncio.sleep(5)
        assert replacement.context.adoption.head.version == 2

    virtualloop.run(main())
