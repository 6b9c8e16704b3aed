"""Test how the runs of other instances are counted."""

import asyncio

from pomelopass.entry import view as views
from pomelopass.fleet import member
from pomelopass.registry import endpoint as endpoints
from pomelopass.registry import registry as registries
from standins import virtualloop

SILENT_S = 10.0


def make_member(name, runs):
    return member.Member(
        *(name, f'{name}-1', 'north', '10.0.0.1:80', '10.0.0.1:83'),
        *(True, 1, runs),
    )


def make_view():
    registry = registries.Registry(lambda event: None)
    registry.put(
        endpoints.Endpoint(
            *('e0', 'engines', '10.0.0.1:1', 'north', 8, False),
            *({'m': 1}, 1),
        )
    )
    membership = member.Membership('entry-0')
    return views.View(membership, registry, lambda event: None)


# Slots that dead instances seem to use would stay empty, and slots that live
# ones use would be used twice.
def test_runs_of_live_instances_are_counted():
    async def scenario():
        view = make_view()
        membership = view.membership
        state = view.registry.state_by_id['e0']

        def count():
            view.update_in_flight_elsewhere()
            return state.in_flight_elsewhere

        membership.mark_fresh(0.0)
        assert count() == 0
        view.put_member(make_member('entry-1', {'e0': 2}))
        assert count() == 2
        view.put_member(make_member('entry-2', {'e0': 1, 'unknown': 1}))
        assert count() == 3
        view.put_member(make_member('entry-2', {}))
        assert count() == 2
        membership.remove('entry-1')
        assert count() == 0
        view.put_member(make_member('entry-1', {'e0': 2}))
        assert count() == 2
        loop = asyncio.get_running_loop()
        while loop.time() < SILENT_S:
            await asyncio.sleep(0.5)
            membership.record_own_write(1.0, loop.time())
            membership.mark_fresh(loop.time())
            count()
        assert count() == 0

    virtualloop.run(scenario())
