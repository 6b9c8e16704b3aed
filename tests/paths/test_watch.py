"""Test probes of links that are silent or lost."""

import asyncio
import random

from pomelopass.paths import book as books
from pomelopass.paths import watch as watches
from pomelopass.registry import registry as registries
from standins import virtualloop
from tests import pathbuilders


class Links:
    """Own links with a silent request to one endpoint."""

    def __init__(self, is_cut):
        self.is_cut = is_cut
        self.received_at = 0.0
        self.broken = []

    async def can_connect(self, target):
        return not self.is_cut

    def get_silent_ids(self, silent_ms):
        return set() if self.broken else {'e0'}

    def break_silent(self, target, silent_ms):
        self.broken.append(target.id)


def watch_silence(is_cut):
    links = Links(is_cut)
    # Too many endpoints for one failure to count as lost links.
    book = books.PathBook(lambda: 8, lambda event: None)
    registry = registries.Registry(lambda event: None)
    registry.put(pathbuilders.make_endpoint('e0'))
    watch = watches.PathWatch(book, links, registry, random.Random(1))

    async def run():
        task = asyncio.ensure_future(watch.run())
        watch.wake()
        await asyncio.sleep(2.0)
        task.cancel()

    virtualloop.run(run())
    return links, book


def test_silent_request_over_a_lost_link_is_aborted():
    links, book = watch_silence(is_cut=True)
    assert 'e0' in links.broken
    assert 'e0' in book.failed_ids


def test_silent_request_to_a_slow_endpoint_goes_through():
    links, book = watch_silence(is_cut=False)
    assert links.broken == []
    assert not book.failed_ids
