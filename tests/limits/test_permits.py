"""Test the permits that an instance holds for limited endpoints."""

import asyncio

from pomelopass.limits import allocator
from pomelopass.limits import book as books
from pomelopass.limits import permits as permitpools
from pomelopass.registry import endpoint as endpoints
from standins import virtualloop


def make_state(name='e'):
    return endpoints.EndpointState(
        endpoints.Endpoint(
            *(name, 'engines', '10.0.0.1:1', 'north', 8, False, {}, 1)
        )
    )


def make_pool(reservation, asked):
    book = books.LimitBook()
    book.observe('e', 2.0, 0)

    async def acquire(endpoint_id, per_s, count):
        asked.append(endpoint_id)
        return reservation

    return permitpools.PermitPool(book, acquire, lambda: 0)


def run(scenario):
    virtualloop.run(scenario())


def test_permit_is_good_for_one_request():
    async def scenario():
        pool = make_pool(allocator.Reservation(1, 100.0), [])
        state = make_state()
        assert pool.split([state]) == ([], [state])
        pool.request('e')
        await asyncio.sleep(0.2)
        assert pool.split([state]) == ([state], [])
        pool.take('e')
        assert pool.split([state]) == ([], [state])

    run(scenario)


def test_permit_lapses_unused():
    async def scenario():
        pool = make_pool(allocator.Reservation(1, 0.0), [])
        state = make_state()
        pool.request('e')
        await asyncio.sleep(permitpools.HOLD_MS / 1000 + 0.1)
        assert pool.split([state]) == ([], [state])

    run(scenario)


def test_endpoint_without_a_limit_needs_no_permit():
    async def scenario():
        pool = make_pool(allocator.Reservation(1, 0.0), [])
        state = make_state('other')
        assert pool.split([state]) == ([state], [])

    run(scenario)


def test_allocator_is_asked_once_at_a_time_and_not_before_it_has_any():
    async def scenario():
        asked = []
        wait_ms = allocator.MAX_WAIT_MS + 500
        pool = make_pool(allocator.Reservation(0, wait_ms), asked)
        for _ in range(4):
            pool.request('e')
        await asyncio.sleep(0.1)
        pool.request('e')
        assert asked == ['e']
        await asyncio.sleep(0.5)
        pool.request('e')
        await asyncio.sleep(0.1)
        assert asked == ['e', 'e']

    run(scenario)
