"""Measure resource costs by size, the input of docs/CAPACITY.md."""

import random
import sys
import time

from bench import deployment
from bench import documents
from bench import slope
from bench import training
from bench import tunnels
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

ENDPOINT_COUNTS = (10, 100, 1000, 10_000)
INSTANCE_COUNTS = (12, 150, 1500)
ZONES = 11
DECISIONS = 2000
GOSSIP_PER_S = 2
FRAME_EXTRA_BYTES = 4
FLEET_SIZES = (3, 6, 12, 24)
IDLE_S = 20.0


def main() -> int:
    """Print each cost at several sizes."""
    measures = (
        measure_endpoint_bytes,
        measure_peer_bytes,
        measure_decision_time,
        measure_gossip_bytes,
        documents.measure_batch,
        documents.measure_listing,
        documents.measure_configuration,
        documents.measure_claims,
        measure_idle_time,
        tunnels.measure_tunnels,
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
    """Return the memory of one endpoint in the list and health state."""
    points = []
    for size in ENDPOINT_COUNTS:

        def build(size=size):
            state = membership.MembershipState()
            membership.apply_list(state, 1, _make_endpoints(size), 0.0)
            health_by_key = {
                key: health.EndpointHealth()
                for key in list(state.by_key)[: membership.MAX_SUBSET]
            }
            return state, health_by_key

        value = slope.measure_bytes(build) / size
        points.append(
            slope.Point('memory for each endpoint', size, value, 'bytes')
        )
    return points


def measure_peer_bytes() -> list[slope.Point]:
    """Return the memory of one peer."""
    points = []
    for size in INSTANCE_COUNTS:

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
    for size in ENDPOINT_COUNTS:
        value = virtualloop.run(_time_decisions(size))
        name = 'processor time of one endpoint choice'
        points.append(slope.Point(name, size, value, 'us'))
    return points


def measure_gossip_bytes() -> list[slope.Point]:
    """Return the digest bytes a second that one instance exchanges."""
    points = []
    for size in INSTANCE_COUNTS:
        zones: dict[str, list[str]] = {}
        for number in range(size):
            zone = zones.setdefault(f'z{number % ZONES}', [])
            zone.append(f'10.0.{number // 250}.{number % 250}:7000')
        partners = peers.choose_partners('i', 'z0', zones)
        frame = virtualloop.run(_get_digest_bytes())
        partner_count = min(len(partners), gossip.PARTNERS_PER_ROUND)
        # Each exchange sends a digest both ways; peers start as many.
        bytes_per_s = 2 * 2 * partner_count * GOSSIP_PER_S * frame
        name = 'control bytes between instances a second'
        points.append(slope.Point(name, size, bytes_per_s, 'bytes/s'))
    return points


def measure_idle_time() -> list[slope.Point]:
    """Return the processor time of idle instances."""
    points = []
    for size in FLEET_SIZES:
        used_s = virtualloop.run(_run_idle(size))
        value = 100 * used_s / IDLE_S / size
        name = 'processor time at rest with in-memory ports, of a core'
        points.append(slope.Point(name, size, value, '%'))
    return points


async def _run_idle(size: int) -> float:
    value = training.read_example({})
    sim_cluster = await deployment.build(
        'sinaleira',
        value,
        {'part-engines': 4, 'spares-engines': 3},
        {'order-desk': 2},
        1,
        entries=size,
    )
    started_s = time.process_time()
    await sim_cluster.member_by_name['entry-0'].clock.sleep(IDLE_S * 1000)
    return time.process_time() - started_s


async def _time_decisions(size: int) -> float:
    sim_cluster = await deployment.build(
        'sinaleira', training.read_example({}), {}, {}, 1, entries=1
    )
    context = sim_cluster.member_by_name['entry-0'].context
    number = context.membership.list_number + 1000
    membership.apply_list(
        context.membership, number, _make_endpoints(size), 0.0
    )
    state = contexts.get_pool_state(context, 'part-engines')
    slot_request = reservation.SlotRequest('r', 1.0, workclass.WorkClass.SHORT)
    reservation.reserve_slot(context, state, slot_request)
    started_s = time.perf_counter()
    for index in range(DECISIONS):
        slot_request = reservation.SlotRequest(
            str(index), 1.0, workclass.WorkClass.SHORT
        )
        slot = reservation.reserve_slot(context, state, slot_request)
        end = attemptend.AttemptEnd.CANCELLED
        endpoint_health = slot.candidate.health
        health.record_finished(endpoint_health, slot.attempt_id, 1.0, end, 0.0)
    return (time.perf_counter() - started_s) * 1e6 / DECISIONS


async def _get_digest_bytes() -> int:
    sim_cluster = await deployment.build(
        'sinaleira', training.read_example({}), {}, {}, 1, entries=1
    )
    context = sim_cluster.member_by_name['entry-0'].context
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
