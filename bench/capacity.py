"""Measure the slopes that docs/CAPACITY.md is worked out from."""

import random
import sys
import time

from bench import deployment
from bench import documents
from bench import slope
from bench import training
from pomelopass.callers import reservation
from pomelopass.core import attemptend
from pomelopass.core import endpoint
from pomelopass.core import health
from pomelopass.core import membership
from pomelopass.core import peers
from pomelopass.core import workclass
from pomelopass.edges import peerframe
from pomelopass.running import context as contexts
from pomelopass.running import gossip
from pomelopass.wire.gen.peer import Peer
from standins import virtualloop

__all__ = ['main']

ENDPOINTS = (10, 100, 1000, 10_000)
INSTANCES = (12, 150, 1500)
ZONES = 11
DECISIONS = 2000
GOSSIP_PER_S = 2
FRAME_EXTRA_BYTES = 4
FLEETS = (3, 6, 12, 24)
REST_S = 20.0


def main() -> int:
    """Print every slope at several sizes."""
    measures = (
        measure_endpoint_bytes,
        measure_peer_bytes,
        measure_decision_time,
        measure_gossip_bytes,
        documents.measure_batch,
        documents.measure_listing,
        documents.measure_configuration,
        documents.measure_claims,
        measure_rest_time,
    )
    for measure in measures:
        for point in measure():
            print(
                f'{point.name}, at {point.size}:'
                f' {point.value:.1f} {point.unit}',
                flush=True,
            )
    return 0


def measure_endpoint_bytes() -> list[slope.Point]:
    """Return the memory of one endpoint in list and health."""
    points = []
    for size in ENDPOINTS:

        def build(size=size):
            state = membership.MembershipState()
            membership.apply_list(state, 1, _make_endpoints(size), 0.0)
            known = {
                key: health.EndpointHealth()
                for key in list(state.by_key)[: membership.MAX_SUBSET]
            }
            return state, known

        value = slope.measure_bytes(build) / size
        points.append(
            slope.Point('memory for each endpoint', size, value, 'bytes')
        )
    return points


def measure_peer_bytes() -> list[slope.Point]:
    """Return the memory of one peer."""
    points = []
    for size in INSTANCES:

        def build(size=size):
            state = peers.PeerState()
            for number in range(size):
                peers.record_heard(state, _make_view(number))
            return state

        value = slope.measure_bytes(build) / size
        points.append(
            slope.Point('memory for each peer', size, value, 'bytes')
        )
    return points


def measure_decision_time() -> list[slope.Point]:
    """Return the processor time of one endpoint choice."""
    points = []
    for size in ENDPOINTS:
        value = virtualloop.run(_time_decisions(size))
        name = 'processor time of one endpoint choice'
        points.append(slope.Point(name, size, value, 'us'))
    return points


def measure_gossip_bytes() -> list[slope.Point]:
    """Return the bytes of digests that one instance sends and gets."""
    points = []
    for size in INSTANCES:
        zones: dict[str, list[str]] = {}
        for number in range(size):
            zone = zones.setdefault(f'z{number % ZONES}', [])
            zone.append(f'10.0.{number // 250}.{number % 250}:7000')
        partners = peers.choose_partners('i', 'z0', zones)
        frame = virtualloop.run(_get_digest_bytes())
        each = min(len(partners), gossip.PARTNERS_PER_ROUND)
        # Digests go both ways, and others start as many exchanges.
        both = 2 * 2 * each * GOSSIP_PER_S * frame
        name = 'control bytes between instances a second'
        points.append(slope.Point(name, size, both, 'bytes/s'))
    return points


def measure_rest_time() -> list[slope.Point]:
    """Return the processor time at rest of whole instances."""
    points = []
    for size in FLEETS:
        used = virtualloop.run(_run_rest(size))
        value = 100 * used / REST_S / size
        name = 'processor time at rest with in-memory ports, of a core'
        points.append(slope.Point(name, size, value, '%'))
    return points


async def _run_rest(size: int) -> float:
    value = training.read_example({})
    built = await deployment.build(
        'sinaleira',
        value,
        {'part-engines': 4, 'spares-engines': 3},
        {'order-desk': 2},
        1,
        entries=size,
    )
    began = time.process_time()
    await built.member_by_name['entry-0'].clock.sleep(REST_S * 1000)
    return time.process_time() - began


async def _time_decisions(size: int) -> float:
    built = await deployment.build(
        'sinaleira', training.read_example({}), {}, {}, 1, entries=1
    )
    context = built.member_by_name['entry-0'].context
    number = context.membership.list_number + 1000
    membership.apply_list(
        context.membership, number, _make_endpoints(size), 0.0
    )
    state = contexts.get_pool_state(context, 'part-engines')
    slot_request = reservation.SlotRequest('r', 1.0, workclass.WorkClass.SHORT)
    reservation.reserve_slot(context, state, slot_request)
    began = time.perf_counter()
    for index in range(DECISIONS):
        slot_request = reservation.SlotRequest(
            str(index), 1.0, workclass.WorkClass.SHORT
        )
        slot = reservation.reserve_slot(context, state, slot_request)
        end = attemptend.AttemptEnd.CANCELLED
        one = slot.candidate.health
        health.record_finished(one, slot.attempt_id, 1.0, end, 0.0)
    return (time.perf_counter() - began) * 1e6 / DECISIONS


async def _get_digest_bytes() -> int:
    built = await deployment.build(
        'sinaleira', training.read_example({}), {}, {}, 1, entries=1
    )
    context = built.member_by_name['entry-0'].context
    digest, _ = gossip.make_digest(context, 'peer')
    protocol = peerframe.make_writer()
    Peer.Client(protocol).send_exchange(digest)
    return len(protocol.trans.getvalue()) + FRAME_EXTRA_BYTES


def _make_endpoints(size: int) -> list[endpoint.Endpoint]:
    rng = random.Random(1)
    return [
        endpoint.Endpoint(
            f'engine-{number}',
            '1',
            'part-engines',
            f'10.1.{number // 250}.{number % 250}:8000',
            f'z{rng.randrange(ZONES)}',
        )
        for number in range(size)
    ]


def _make_view(number: int) -> peers.EntryView:
    return peers.EntryView(
        f'entry-{number}.0123456789',
        f'10.0.{number // 250}.{number % 250}:7000',
        f'10.0.{number // 250}.{number % 250}:7001',
        f'10.0.{number // 250}.{number % 250}:7002',
        f'z{number % ZONES}',
        True,
        False,
        1,
        0.0,
    )


if __name__ == '__main__':
    sys.exit(main())
