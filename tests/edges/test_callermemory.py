"""Test which bytes of callers are held where memory is short."""

import asyncio
import types

import pytest

from pomelopass.edges import callermemory
from pomelopass.edges import connectionlimit
from pomelopass.entry import clientwatch


def make_memory(max_bytes, monkeypatch):
    monkeypatch.setattr(callermemory, 'WAIT_MS', 20.0)
    clock = types.SimpleNamespace(now=0.0)
    return callermemory.CallerMemory(max_bytes, lambda: clock.now), clock


# Bodies that never end kept what whole ones need.
async def test_the_share_that_progresses_least_is_evicted(monkeypatch):
    memory, clock = make_memory(100, monkeypatch)
    evicted = []
    shares = []
    for number in range(2):
        share = memory.open(lambda number=number: evicted.append(number))
        await share.resize(50)
        shares.append(share)
    clock.now = 2.0
    shares[1].record_progress(10)
    later = memory.open(lambda: evicted.append('later'))
    await later.resize(50)
    assert evicted == [0]
    assert memory.total == 100
    with pytest.raises(callermemory.MemoryShortError):
        await shares[0].resize(60)


# What runs already can't be refused any more.
async def test_bytes_in_use_are_kept_and_new_ones_refused(monkeypatch):
    memory, clock = make_memory(100, monkeypatch)
    running = memory.open(lambda: None)
    await running.resize(80)
    running.evict = None
    clock.now = 60.0
    later = memory.open(lambda: None)
    with pytest.raises(callermemory.MemoryShortError):
        await later.resize(30)
    assert memory.total == 80
    assert not memory.waiting


# A refusal where a short wait helps costs an honest caller its request.
async def test_a_share_waits_for_room_in_the_order_of_arrival(monkeypatch):
    memory, _ = make_memory(100, monkeypatch)
    monkeypatch.setattr(callermemory, 'WAIT_MS', 5000.0)
    first = memory.open(lambda: None)
    await first.resize(90)
    large, small = memory.open(lambda: None), memory.open(lambda: None)
    waiting = [
        asyncio.ensure_future(large.resize(80)),
        asyncio.ensure_future(small.resize(5)),
    ]
    await asyncio.sleep(0)
    assert (large.size, small.size) == (0, 0)
    first.close()
    await asyncio.gather(*waiting)
    assert (large.size, small.size, memory.total) == (80, 5, 85)


# Those behind a connection that closed were refused although they fit.
async def test_a_cancelled_wait_admits_those_behind_it(monkeypatch):
    memory, _ = make_memory(100, monkeypatch)
    monkeypatch.setattr(callermemory, 'WAIT_MS', 5000.0)
    await memory.open(lambda: None).resize(90)
    large, small = memory.open(lambda: None), memory.open(lambda: None)
    cancelled = asyncio.ensure_future(large.resize(80))
    waiting = asyncio.ensure_future(small.resize(5))
    await asyncio.sleep(0)
    cancelled.cancel()
    await asyncio.wait((cancelled,))
    assert (small.size, memory.total) == (5, 95)
    await waiting


# A line for each refused client would fill the log.
def test_limited_clients_are_reported_in_one_line():
    memory = callermemory.CallerMemory(100)
    limit = connectionlimit.ConnectionLimit(2)
    events = []
    watch = clientwatch.ClientWatch(memory, [limit], events.append)
    watch.report()
    assert events == []
    limit.count_by_outcome['refused'] += 300
    memory.count_by_outcome['evicted'] += 7
    watch.report()
    watch.report()
    assert len(events) == 1
    assert events[0].connections_refused == 300
    assert events[0].bodies_evicted == 7


# Among progressing bodies, the fastest was as likely to be evicted as the
# slowest.
async def test_the_slowest_of_those_that_go_on_is_evicted(monkeypatch):
    memory, clock = make_memory(100, monkeypatch)
    evicted = []
    shares = []
    for number in range(2):
        share = memory.open(lambda number=number: evicted.append(number))
        await share.resize(50)
        shares.append(share)
    clock.now = 2.0
    shares[0].record_progress(40)
    shares[1].record_progress(10)
    await memory.open(lambda: None).resize(50)
    assert evicted == [1]
