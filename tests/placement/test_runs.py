"""Test when runs of items leave their zone, wait or move."""

from pomelopass.placement import placer as placers
from pomelopass.placement import runs
from pomelopass.placement import spill
from tests.placement import placementbuilders as builders


def make_engine(name, zone, pace_ms, in_flight=0):
    state = builders.make_state(name, zone, pace_ms, kind=runs.ITEM_KIND)
    state.in_flight = in_flight
    return state


def make_item(**changes):
    return placers.ItemWork(
        **{
            'service': 'desk',
            'model': 'm',
            'min_version': 1,
            'body_bytes': 1000,
            'expected_length': 20.0,
            **changes,
        }
    )


def place(states, item=None, price=1000.0):
    placer = builders.make_placer(price=price, way_ms=2.0)
    return placer.choose_for_run(states, (), item or make_item(), builders.NOW)


def get_name(placed):
    return placed.decision.candidate.state.endpoint.id


def test_item_goes_to_a_fast_engine_elsewhere():
    states = [
        make_engine('a', 'east', 30 / 0.7),
        make_engine('b', 'west', 30 / 1.7),
    ]
    placed = place(states)
    assert get_name(placed) == 'b'
    assert placed.decision.reason is spill.Reason.PACE
    # 5 KB at a price of 200 s for a megabyte cost more than 25 ms an event.
    assert get_name(place(states, price=200_000.0)) == 'a'


# Items went to slow engines of other zones while fast ones were nearly done.
def test_item_waits_for_its_zone_as_long_as_leaving_costs():
    busy = make_engine('a', 'east', 30 / 1.7, in_flight=6)
    slow = make_engine('b', 'west', 30 / 0.7)
    placed = place([busy, slow])
    assert placed.decision is None
    assert placed.wait_ms > 100.0
    # Half a second later the estimate is known to be wrong.
    waited = place([busy, slow], make_item(waited_ms=placed.wait_ms + 1.0))
    assert get_name(waited) == 'b'
    assert waited.decision.reason is spill.Reason.QUEUE


def test_items_beyond_what_the_zone_serves_in_time_leave():
    busy = make_engine('a', 'east', 30.0, in_flight=6)
    other = make_engine('b', 'west', 45.0)
    assert place([busy, other]).decision is None
    assert get_name(place([busy, other], make_item(ahead=4))) == 'b'


def test_item_of_a_zone_without_engines_leaves_at_once():
    other = make_engine('b', 'west', 60.0)
    placed = place([other])
    assert get_name(placed) == 'b'
    assert placed.decision.reason is spill.Reason.NO_ENDPOINT


def test_item_waits_without_an_end_of_its_own_while_all_are_full():
    busy = make_engine('a', 'east', 30.0, in_flight=6)
    full = make_engine('b', 'west', 30.0, in_flight=6)
    placed = place([busy, full])
    assert placed == runs.RunDecision(None)


def test_resumed_text_stays_in_the_zone_of_its_cache():
    states = [
        make_engine('a', 'east', 30.0),
        make_engine('b', 'west', 30.0),
    ]
    cached = make_item(events_done=5, cache_zone='west', prompt_ms=300.0)
    assert get_name(place(states)) == 'a'
    assert get_name(place(states, cached)) == 'b'


def pays(events_done, price=1000.0, **changes):
    placer = builders.make_placer(price=price, way_ms=2.0)
    here = make_engine('a', 'east', 90.0)
    there = make_engine('b', 'west', 30.0)
    item = make_item(events_done=events_done, **changes)
    return placer.pays_to_move(here, there, item, builders.NOW)


# A text with one event left was moved and its prompt read again.
def test_run_changes_its_zone_only_while_much_is_left():
    prompt = {'cache_zone': 'east', 'prompt_ms': 700.0}
    assert pays(2, **prompt)
    assert not pays(19, **prompt)
    assert not pays(2, price=500_000.0, **prompt)
    assert pays(19, price=None, **prompt)


def test_text_beyond_its_expected_length_is_not_taken_for_done():
    placer = builders.make_placer()
    assert placer.sizes.count_events_left('m', 20.0, 19) == 9.5
    assert placer.sizes.count_events_left('m', 20.0, 100) == 50.0
    assert placer.sizes.count_events_left('m', 20.0, 0) == 20.0


def test_sizes_of_texts_are_learned():
    placer = builders.make_placer()
    for _ in range(60):
        placer.sizes.record_text('m', 10.0, 30, 3000)
    assert 29.0 < placer.sizes.count_events_left('m', 10.0, 0) < 30.1
    moved_mb = placer.sizes.get_run_mb('m', 0, 30.0)
    assert 0.0029 < moved_mb < 0.0031
