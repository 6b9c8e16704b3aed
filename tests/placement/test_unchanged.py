"""Test that choices without the setting are those of before."""

import hypothesis
from hypothesis import strategies

from pomelopass.placement import placer as placers
from pomelopass.registry import choice
from pomelopass.registry import endpoint as endpoints

NOW = 50.0
ZONES = ('east', 'west')


# The choices as they were before placement (commit 6773a2f), word for word.
def choose_call_before(states, avoid, availability_zone, now):
    candidates = [state for state in states if state.endpoint.id not in avoid]
    available = [
        state for state in candidates if not state.is_backing_off(now)
    ]
    if not available:
        return min(
            candidates, key=lambda state: state.backoff_until, default=None
        )

    def get_cost(state):
        waiting = 0.0
        if state.load is not None:
            age_ms = (now - state.load_received_at) * 1000
            waiting = state.load.waiting * max(0.0, 1.0 - age_ms / 1000.0)
        pace_ms = state.pace_ms or 20.0
        slots = max(state.endpoint.slots, 1)
        queue = (state.in_flight + waiting) / slots
        penalty = 1.1
        if state.endpoint.availability_zone == availability_zone:
            penalty = 1.0
        return pace_ms * (1.0 + queue) * penalty

    return min(available, key=get_cost)


def get_free_slots_before(state):
    in_flight_total = state.in_flight + state.in_flight_elsewhere
    if state.consecutive_refusals:
        return 1 - state.in_flight
    return state.endpoint.slots - in_flight_total


def choose_run_before(states, avoid, model, min_version, now):
    free = [
        state
        for state in states
        if state.endpoint.id not in avoid
        and not state.is_backing_off(now)
        and state.get_version(model) >= min_version
        and get_free_slots_before(state) > 0
    ]

    newest = max((state.get_version(model) for state in free), default=0)

    def get_cost(state):
        pace_ms = state.pace_ms or 20.0
        in_flight_total = state.in_flight + state.in_flight_elsewhere
        penalty = 1.4
        if state.get_version(model) == newest:
            penalty = 1.0
        load = in_flight_total / max(state.endpoint.slots, 1)
        return pace_ms * (1.0 + 0.25 * load) * penalty

    return min(free, key=get_cost, default=None)


# Paces are often near each other, so that load and zone decide.
PACES_MS = strategies.one_of(
    strategies.sampled_from((0.0, 20.0, 21.0, 22.0)),
    strategies.floats(0.0, 500.0),
)


@strategies.composite
def draw_state(draw, number):
    small = strategies.integers(0, 9)
    state = endpoints.EndpointState(
        endpoints.Endpoint(
            f'e{number}',
            'desk',
            f'10.0.0.{number}:1',
            draw(strategies.sampled_from(ZONES)),
            # Enough that some runs find a free slot.
            draw(strategies.integers(0, 30)),
            False,
            {},
            1,
        ),
        in_flight=draw(small),
        in_flight_elsewhere=draw(small),
        pace_ms=draw(PACES_MS),
        consecutive_refusals=draw(strategies.integers(0, 1)),
        backoff_until=draw(strategies.sampled_from((0.0, 0.0, 0.0, NOW + 1))),
        version_by_model={'m': draw(strategies.integers(1, 2))},
    )
    if draw(strategies.booleans()):
        report = endpoints.LoadReport(draw(small), draw(small), 6)
        received_at = NOW - draw(strategies.floats(0.0, 2.0))
        endpoints.record_load(state, report, received_at)
    # What only the placement records must not matter.
    pace_ms = draw(strategies.floats(1.0, 500.0))
    endpoints.record_pace(state, 'score', pace_ms, NOW)
    return state


@strategies.composite
def draw_states(draw):
    count = draw(strategies.integers(0, 5))
    return [draw(draw_state(number)) for number in range(count)]


AVOID = strategies.sets(strategies.sampled_from(('e0', 'e1', 'e2')))


@hypothesis.given(draw_states(), AVOID, strategies.booleans())
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
def test_requests_and_hedges_go_where_they_went(states, avoid, is_hedge):
    placer = placers.Placer('east')
    work = placers.CallWork(
        'desk', 'score', 5_000_000, 80.0 if is_hedge else None
    )
    chosen = placer.choose_for_call(states, avoid, work, NOW)
    assert chosen is choose_call_before(states, avoid, 'east', NOW)


@hypothesis.given(draw_states(), AVOID, strategies.integers(0, 2))
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
def test_runs_go_where_they_went(states, avoid, min_version):
    chosen = choice.choose_for_run(states, avoid, 'm', min_version, NOW)
    assert chosen is choose_run_before(states, avoid, 'm', min_version, NOW)


def test_load_decides_between_equal_engines():
    states = []
    for name, in_flight in (('e0', 5), ('e1', 2)):
        endpoint = endpoints.Endpoint(
            *(name, 'engines', f'{name}:1', 'east', 10, False, {'m': 1}, 1)
        )
        state = endpoints.EndpointState(endpoint, version_by_model={'m': 1})
        state.in_flight = in_flight
        states.append(state)
    chosen = choice.choose_for_run(states, (), 'm', 1, NOW)
    assert chosen is choose_run_before(states, (), 'm', 1, NOW)
    assert chosen.endpoint.id == 'e1'


def test_nothing_is_learned_without_the_setting():
    placer = placers.Placer('east')
    endpoint = endpoints.Endpoint('e', 'desk', 'e:1', 'west', 6, False, {}, 1)
    state = endpoints.EndpointState(endpoint)
    work = placers.CallWork('desk', 'score', 10)
    placer.record_answer(state, work, 20.0, 1000)
    placer.record_events(state, 'desk', 20.0, 1000)
    assert not state.pace_by_kind
    assert not list(placer.traffic.take_events())
