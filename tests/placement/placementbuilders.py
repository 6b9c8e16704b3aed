"""Build endpoints and work for tests of the placement."""

from pomelopass.placement import placer as placers
from pomelopass.registry import endpoint as endpoints

OWN = 'east'
OTHER = 'west'
NOW = 100.0


def make_state(name, zone=OWN, pace_ms=20.0, slots=6, kind='short'):
    state = endpoints.EndpointState(
        endpoints.Endpoint(
            *(name, 'desk', f'{name}:1', zone, slots, False, {'m': 1}, 1)
        ),
        version_by_model={'m': 1},
    )
    if pace_ms is not None:
        endpoints.record_success(state, pace_ms, NOW)
        endpoints.record_pace(state, kind, pace_ms, NOW)
    return state


def make_placer(price=1000.0, way_ms=4.0, zone=OWN):
    placer = placers.Placer(zone, price)
    placer.latencies.record(zone, 0.0)
    for _ in range(60):
        placer.latencies.record(OTHER, way_ms)
    placer.sizes.record_answer('short', 1000)
    return placer


def make_work(body_bytes=1000, route='short', **changes):
    return placers.CallWork('desk', route, body_bytes, **changes)


def choose(placer, states, work=None, avoid=(), now=NOW):
    state = placer.choose_for_call(states, avoid, work or make_work(), now)
    return None if state is None else state.endpoint.id
