"""Test that entries are understood alike, however often they are written."""

import json

from hypothesis import given
from hypothesis import strategies as st

from pomelopass.platform import endpointdecode
from pomelopass.platform import rowhandlers
from pomelopass.registry import registry as registries
from pomelopass.table import rows

ENTRY = {
    'service': 'engines',
    'address': '10.0.0.1:8000',
    'zone': 'north',
    'slots': 8,
    'state': 'ready',
    'seq': 1,
    'born': 1,
    'version': '',
    'models': [{'name': 'm', 'version': 1}],
}
NAME = rows.Key('servers', '', 'e0')
CHANGES = st.one_of(
    st.just({}),
    st.just({'state': 'draining'}),
    st.just({'models': [{'name': 'm', 'version': 2, 'seq': 3}]}),
    st.just({'service': '"seq":7,'}),
    st.just({'born': 2}),
    st.just({'seq': '1'}),
    st.just({'seq': 1.5}),
)
# What a row may hold in place of the count.
COUNTS = st.sampled_from(['1', '2', '23', '-4', '01', '', '1}', '5,"slots":9'])


class Handler:
    """Handler of entries and what it last put or removed."""

    def __init__(self):
        self.put = []
        self.handle = rowhandlers.make_endpoint_row_handler(
            self.put.append,
            lambda endpoint_id: self.put.append(None),
            lambda event: None,
        )
        self.version = 0

    def write(self, value):
        self.version += 1
        self.handle(rows.Row(NAME, value, self.version))
        return self.put[-1]


def make_value(changes=None, count='1'):
    """Return an entry with a count that may be malformed."""
    text = json.dumps({**ENTRY, **(changes or {})})
    return text.replace('"seq": 1,', f'"seq": {count},').encode()


# An entry that is taken for the one before would hide that the engine leaves.
@given(st.lists(st.tuples(CHANGES, COUNTS), max_size=8))
def test_each_entry_is_understood_as_if_it_were_the_first(writes):
    handler = Handler()
    for changes, count in writes:
        value = make_value(changes, count)
        decoded = endpointdecode.decode_endpoint('e0', value).value_or(None)
        assert handler.write(value) == decoded


# 3,000 engines write their entries every 1.2 s; decoding each of them took a
# third of an instance's processor time.
def test_entry_of_which_only_the_count_changed_is_not_decoded_again():
    handler = Handler()
    first = handler.write(make_value())
    assert handler.write(make_value(count='2')) is first
    assert handler.write(make_value({'state': 'draining'}, '3')) is not first


# An engine that registers again after an outage must get work again.
def test_unchanged_entry_is_put_again_after_its_removal():
    registry = registries.Registry(lambda event: None)
    handle = rowhandlers.make_endpoint_row_handler(
        registry.put,
        lambda endpoint_id: registry.remove(endpoint_id, 10.0, True),
        lambda event: None,
    )
    handle(rows.Row(NAME, make_value(), 1))
    entry = registry.state_by_id['e0'].endpoint
    handle(rows.Row(NAME, None, 2))
    assert registry.missing_since_by_id
    # Two entries follow each other, of which the first was not received.
    assert registry.put(entry)
    assert not registry.missing_since_by_id
    assert not registry.put(entry)
    registry.remove('e0', 10.0, in_outage=False)
    assert registry.put(entry)
