"""Test that explanations are the decisions of a running placement."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from pomelopass import command
from pomelopass.commands import where
from pomelopass.placement import explain
from pomelopass.placement import placer as placers
from pomelopass.placement import runs
from pomelopass.placement import snapshot as snapshots
from pomelopass.registry import endpoint as endpoints
from tests.placement import placementbuilders as builders

ROUTES = [
    snapshots.RouteServices(name='short', services=['desk']),
    snapshots.RouteServices(name='jobs', services=['desk'], is_jobs=True),
]


def save(placer, states):
    """Return the state as it comes back from a file."""
    taken = snapshots.take(
        'entry-0', placer, states, ROUTES, {'desk': 2}, builders.NOW
    )
    return snapshots.Snapshot.model_validate_json(taken.model_dump_json())


@hypothesis.given(
    strategies.floats(20.0, 120.0),
    strategies.integers(0, 8),
    strategies.integers(0, 100_000),
    strategies.booleans(),
    strategies.booleans(),
)
@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
def test_request_goes_where_the_explanation_says(
    pace_ms, in_flight, body_bytes, is_away, has_price
):
    placer = builders.make_placer(price=1000.0 if has_price else None)
    states = [
        builders.make_state('a', pace_ms=60.0),
        builders.make_state('b', 'west', pace_ms),
    ]
    states[0].in_flight = in_flight
    if is_away:
        placer.set_away('desk')
    work = builders.make_work(body_bytes)
    explained = explain.explain_call(save(placer, states), work)
    assert explained.endpoint == builders.choose(placer, states, work)


def make_item(**changes):
    return placers.ItemWork('desk', 'm', 1, 1000, 20.0, **changes)


def make_engines(in_flight):
    own = builders.make_state('a', 'east', 20.0, kind=runs.ITEM_KIND)
    other = builders.make_state('b', 'west', 60.0, kind=runs.ITEM_KIND)
    own.in_flight = in_flight
    return [own, other]


def test_item_is_sent_waits_or_finds_no_engine():
    placer = builders.make_placer()
    sent = explain.explain_item(save(placer, make_engines(0)), make_item())
    assert (sent.outcome, sent.endpoint) == ('sent', 'a')
    waits = explain.explain_item(save(placer, make_engines(6)), make_item())
    assert (waits.outcome, waits.reason) == ('waits', 'own-zone')
    assert waits.wait_ms > 100.0
    assert {row.endpoint: row.condition for row in waits.rows} == {
        'a': 'full',
        'b': 'open',
    }
    full = make_engines(6)
    full[1].in_flight = 6
    nowhere = explain.explain_item(save(placer, full), make_item())
    assert (nowhere.outcome, nowhere.reason) == ('waits', 'no-free-slot')
    new = dataclasses.replace(make_item(), min_version=5)
    unfit = explain.explain_item(save(placer, full), new)
    assert (unfit.outcome, unfit.reason) == ('waits', 'no-endpoint')


def test_request_without_endpoints_is_refused():
    placer = builders.make_placer()
    refused = explain.explain_call(save(placer, []), builders.make_work())
    assert (refused.outcome, refused.reason) == ('refused', 'no-endpoint')


def test_endpoint_in_backoff_is_shown_without_a_cost():
    placer = builders.make_placer()
    states = [builders.make_state('a'), builders.make_state('b', 'west')]
    endpoints.record_failure(states[0], builders.NOW)
    explained = explain.explain_call(
        save(placer, states), builders.make_work()
    )
    assert explained.endpoint == 'b'
    assert [row.condition for row in explained.rows] == ['open', 'backs off']


# Endpoints' addresses are nobody's business on the metrics address.
def test_state_holds_no_addresses():
    taken = snapshots.take(
        *('entry-0', builders.make_placer(), [builders.make_state('a')]),
        *(ROUTES, {}, builders.NOW),
    )
    assert 'a:1' not in taken.model_dump_json()


def run_where(tmp_path, capsys, **changes):
    path = tmp_path / 'state.json'
    states = [
        builders.make_state('a', pace_ms=90.0),
        builders.make_state('b', 'west', 30.0),
    ]
    snapshot = save(builders.make_placer(), states)
    path.write_text(snapshot.model_dump_json())
    where.Where('short', state=str(path), **changes).run(None)
    return capsys.readouterr().out


def test_table_shows_the_decision_and_each_part(tmp_path, capsys):
    lines = run_where(tmp_path, capsys).splitlines()
    assert lines[0] == 'sent to b: pace'
    assert lines[1].split()[-6:] == list(where.PARTS)
    assert [line.split()[0] for line in lines[2:]] == ['b', 'a']
    # 2 KB at 1,000 ms for a megabyte.
    assert lines[2].split()[3:] == [
        *('32.0', '26.0', '0.0', '4.0', '2.0', '0.0', '0.0')
    ]


def test_json_holds_the_same(tmp_path, capsys):
    text = run_where(tmp_path, capsys, json=True)
    assert '"endpoint": "b"' in text
    assert '"bytes": 2.0' in text


def get_refusal(**arguments):
    with pytest.raises(command.CommandError) as caught:
        where.Where('short', **arguments).run(None)
    return caught.value.message


def test_wrong_input_is_named(tmp_path):
    assert 'either --metrics or --state' in get_refusal()
    missing = str(tmp_path / 'none')
    assert 'cannot be read' in get_refusal(state=missing)
    path = tmp_path / 'bad.json'
    path.write_text('{}')
    assert 'This is no state' in get_refusal(state=str(path))
    assert 'does not answer' in get_refusal(metrics='127.0.0.1:9')
