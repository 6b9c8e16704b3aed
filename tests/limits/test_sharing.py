"""Test which instance allots an endpoint's requests, also unreachable."""

import asyncio
import dataclasses

from pomelopass.core import rendezvous
from pomelopass.fleet import member
from pomelopass.limits import book as books
from pomelopass.limits import sharing
from standins import virtualloop

RATE = 4.0
WINDOW_S = 4.0
NAMES = tuple(f'entry-{number}' for number in range(6))


@dataclasses.dataclass(slots=True)
class FakePeers:
    """Calls between instances; those of some pairs fail."""

    sharing_by_name: dict
    own_name: str
    unreachable: set[tuple[str, str]]

    async def reserve(self, peer, endpoint_id, limit, count):
        """Reserve at a peer; raise PeerFailedError if cut off."""
        await asyncio.sleep(0.01)
        if (self.own_name, peer.name) in self.unreachable:
            raise sharing.PeerFailedError('cut off')
        shared = self.sharing_by_name[peer.name]
        return shared.allot(endpoint_id, limit, count)


def make_membership(own_name, names):
    membership = member.Membership(own_name)
    now = asyncio.get_running_loop().time()
    membership.mark_fresh(now)
    for name in names:
        membership.put(
            member.Member(name, f'{name}-1', 'n', name, name, True, 1, {}), now
        )
    return membership


def make_fleet(unreachable, names_by_viewer=None):
    """Return the sharing of each instance, by name."""
    sharing_by_name = {}
    for name in NAMES:
        book = books.LimitBook()
        book.observe('e', RATE, 0)
        names = (names_by_viewer or {}).get(name, NAMES)
        sharing_by_name[name] = sharing.LimitSharing(
            book,
            make_membership(name, names),
            FakePeers(sharing_by_name, name, unreachable),
            lambda: 0,
            lambda event: None,
        )
    return sharing_by_name


async def run_demand(sharing_by_name, duration_s):
    """Let all instances send as often as they may; return the times."""
    loop = asyncio.get_running_loop()
    end = loop.time() + duration_s
    sent = []

    async def send(shared):
        while loop.time() < end:
            reservation = await shared.acquire('e', RATE, 1)
            await asyncio.sleep(max(reservation.wait_ms / 1000, 0.001))
            if reservation.count and loop.time() < end:
                sent.append(loop.time())

    await asyncio.gather(*(send(item) for item in sharing_by_name.values()))
    return sent


def count_worst_window(sent):
    return max(sum(at <= x < at + WINDOW_S for x in sent) for at in sent)


def run(unreachable=(), names_by_viewer=None, duration_s=20.0):
    async def scenario():
        fleet = make_fleet(set(unreachable), names_by_viewer)
        return await run_demand(fleet, duration_s)

    return virtualloop.run(scenario())


ALLOWED = 1.5 * WINDOW_S * RATE + 5
FIRST, SECOND = rendezvous.rank('e', list(NAMES))[:2]
OTHERS = [name for name in NAMES if name not in (FIRST, SECOND)]


def test_all_instances_together_get_the_limit():
    sent = run()
    assert 0.95 * RATE * 20 <= len(sent) <= RATE * 20 + 3
    assert count_worst_window(sent) <= ALLOWED


def test_instances_that_cannot_reach_the_first_one_ask_the_second():
    cut = [(name, FIRST) for name in OTHERS]
    sent = run(cut)
    assert count_worst_window(sent) <= ALLOWED
    assert len(sent) >= 0.95 * RATE * 20


def test_instances_without_peers_stay_within_the_bound():
    cut = [(name, other) for name in NAMES for other in NAMES]
    sent = run(cut)
    assert count_worst_window(sent) <= ALLOWED
    # The first two allot to themselves.
    assert len(sent) >= RATE * 20


def test_instances_with_different_views_stay_within_the_bound():
    views = {name: [x for x in NAMES if x != FIRST] for name in OTHERS}
    sent = run(names_by_viewer=views)
    assert count_worst_window(sent) <= ALLOWED


def test_peer_that_fails_is_not_asked_for_a_while():
    async def scenario():
        fleet = make_fleet({(OTHERS[0], FIRST)})
        shared = fleet[OTHERS[0]]
        await shared.acquire('e', RATE, 1)
        started_at = asyncio.get_running_loop().time()
        await shared.acquire('e', RATE, 1)
        assert asyncio.get_running_loop().time() - started_at < 0.011

    virtualloop.run(scenario())
