"""Prove that an accepted configuration comes into force and stays."""

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
LAST_MS = 15_000
WATCH_EVERY_S = 0.05
IN_FORCE_S = 3.0
JOBS_LIMIT_S = 30.0

PROPOSALS = st.lists(
    st.tuples(st.integers(0, LAST_MS), st.integers(0, 2)),
    min_size=1,
    max_size=8,
)
RESTARTS = st.lists(
    st.tuples(st.integers(0, LAST_MS), st.booleans()), max_size=5
)


class ConfigRun:
    """Watch the versions in force on every instance."""

    def __init__(self, built: cluster.Cluster):
        self.built = built
        self.highest_in_force = 1
        self.last_by_incarnation: dict[str, int] = {}
        self.digest_by_version: dict[int, str] = {}
        self.accepted: list[tuple[int, str]] = []
        self.floor_by_incarnation: dict[str, int] = {}
        self.next_name = 0

    def look(self) -> None:
        """Assert that no instance went back."""
        for member in self.built.member_by_name.values():
            head = member.context.adoption.head
            if head is None:
                continue
            name = member.context.incarnation
            assert head.version >= self.last_by_incarnation.get(name, 0)
            if name not in self.last_by_incarnation:
                floor = self.floor_by_incarnation.get(name, 0)
                assert head.version >= floor, (head, floor)
            self.last_by_incarnation[name] = head.version
            known = self.digest_by_version.setdefault(
                head.version, head.digest
            )
            assert known == head.digest
            self.highest_in_force = max(self.highest_in_force, head.version)

    async def watch(self) -> None:
        """Look again and again."""
        while True:
            self.look()
            await asyncio.sleep(WATCH_EVERY_S)

    async def propose(self, at_ms: int, number: int) -> None:
        """Propose on top of what one instance has in force."""
        await asyncio.sleep(at_ms / 1000)
        names = sorted(self.built.member_by_name)
        name = names[number % len(names)]
        head = self.built.member_by_name[name].context.adoption.head
        if head is None:
            return
        mark = f'// by {name} at {at_ms}\n'
        text = mark + builders.make_configuration_text()
        reply = await self.built.propose(name, head.version, text)
        body = json.loads(reply.body)
        if reply.status == 200:
            self.accepted.append((body['version'], body['digest']))

    async def restart(self, at_ms: int, everything: bool) -> None:
        """Replace one instance, or all, by fresh ones."""
        await asyncio.sleep(at_ms / 1000)
        names = sorted(self.built.member_by_name)
        for name in names if everything else names[:1]:
            member = self.built.member_by_name.pop(name)
            member.kill()
        for name in names if everything else names[:1]:
            self.next_name += 1
            self.look()
            fresh = self.built.add_member(
                f'fresh-{self.next_name}', name[-1:] or 'north'
            )
            incarnation = fresh.context.incarnation
            self.floor_by_incarnation[incarnation] = self.highest_in_force


@hypothesis.given(
    seed=st.integers(0, 1000),
    proposals=PROPOSALS,
    restarts=RESTARTS,
    plan=faults.make_faults(KINDS, LAST_MS, 6),
)
def test_configuration_never_reverts(seed, proposals, restarts, plan):
    async def main() -> None:
        built = await builders.start_cluster(seed, engines=1, services=1)
        run = ConfigRun(built)
        watch = asyncio.ensure_future(run.watch())
        jobs = [run.propose(*one) for one in proposals]
        jobs += [run.restart(*one) for one in restarts]
        jobs += [faults.inject(built, one) for one in plan]
        # A proposal at an instance that was killed never ends.
        tasks = [asyncio.ensure_future(one) for one in jobs]
        await asyncio.wait(tasks, timeout=JOBS_LIMIT_S)
        for task in tasks:
            if task.done():
                task.result()
        faults.mend(built)
        await asyncio.sleep(12)
        watch.cancel()
        run.look()
        check_end(run)

    virtualloop.run(main())


def check_end(run: ConfigRun) -> None:
    """Assert that all agree and that accepted versions are all kept."""
    versions = {
        one.context.adoption.head.version
        for one in run.built.member_by_name.values()
    }
    row = json.loads(run.built.table.row_by_key['config/head'][0])
    assert versions == {row['version']}
    numbers = [version for version, _ in run.accepted]
    assert len(numbers) == len(set(numbers))
    for version, digest in run.accepted:
        key = f'config/history/{version:010d}'
        kept = json.loads(run.built.table.row_by_key[key][0])
        assert kept['digest'] == digest


def test_accepted_configuration_is_in_force_within_limit():
    async def main() -> None:
        built = await builders.start_cluster(members=12)
        text = '// second\n' + builders.make_configuration_text()
        reply = await built.propose('entry-5', 1, text)
        assert reply.status == 200
        await asyncio.sleep(IN_FORCE_S)
        for member in built.member_by_name.values():
            assert member.context.adoption.head.version == 2

    virtualloop.run(main())


def test_stale_base_is_refused_and_changes_nothing():
    async def main() -> None:
        built = await builders.start_cluster()
        text = '// other\n' + builders.make_configuration_text()
        reply = await built.propose('entry-1', 0, text)
        assert reply.status == 409
        body = json.loads(reply.body)
        assert body['code'] == 'config-conflict'
        assert body['verdict'] == 'not-run'
        row = json.loads(built.table.row_by_key['config/head'][0])
        assert row['version'] == 1

    virtualloop.run(main())


def test_bad_configuration_is_refused_whole_with_every_problem():
    async def main() -> None:
        built = await builders.start_cluster()
        value = json.loads(builders.make_configuration_text())
        value['services']['stock']['pool'] = 'desc'
        value['pools']['desk']['slots'] = 3
        reply = await built.propose('entry-1', 1, json.dumps(value))
        assert reply.status == 422
        body = json.loads(reply.body)
        found = {(one['code'], one['nearest']) for one in body['problems']}
        assert found == {
            ('unknown-name', 'desk'),
            ('unknown-field', 'slots_per_endpoint'),
        }
        head = built.member_by_name['entry-1'].context.adoption.head
        assert head.version == 1

    virtualloop.run(main())


def test_version_without_a_kept_marker_is_not_in_force():
    async def main() -> None:
        built = await builders.start_cluster()
        built.objects.app.faults['refuse_prefix'] = 'config/accepted/'
        text = '// second\n' + builders.make_configuration_text()
        reply = await built.propose('entry-0', 1, text)
        assert reply.status == 200
        assert json.loads(reply.body)['in_force_here'] is False
        await asyncio.sleep(5)
        built.table.app.faults['down'] = 1
        fresh = built.add_member('fresh', 'north')
        await asyncio.sleep(5)
        members = built.member_by_name.values()
        versions = {one.context.adoption.head.version for one in members}
        assert versions == {1}
        faults.mend(built)
        await asyncio.sleep(5)
        assert fresh.context.adoption.head.version == 2

    virtualloop.run(main())


def test_fresh_fleet_starts_while_the_table_service_is_down():
    async def main() -> None:
        built = await builders.start_cluster()
        text = '// second\n' + builders.make_configuration_text()
        await built.propose('entry-0', 1, text)
        built.table.app.faults['down'] = 1
        for name in list(built.member_by_name):
            built.member_by_name.pop(name).kill()
        fresh = built.add_member('fresh', 'north')
        await asyncio.sleep(5)
        assert fresh.context.adoption.head.version == 2

    virtualloop.run(main())
