"""Test the decoder of the list of instances."""

import json

from hypothesis import given
from hypothesis import strategies as st
import pytest

from pomelopass.edges import listing
from tests import oddvalues

ENTRY = {
    'kind': 'entry',
    'id': 'a',
    'address': '127.0.0.1:80',
    'availability_zone': 'north',
}
ENDPOINT = {
    **ENTRY,
    'kind': 'endpoint',
    'id': 'e',
    'incarnation': 'e-1',
    'pool': 'p',
    'leaving': False,
}

# The others make the whole list no JSON.
WHOLE_TEXTS = [
    text
    for text in oddvalues.JSON_TEXTS
    if not text.startswith(('"\\ud', '[['))
]


def read(text):
    return listing.read_listing((200, text.encode()))


# One entry of another writer must not keep the old list in use.
@pytest.mark.parametrize('field', ENDPOINT)
@pytest.mark.parametrize('odd', WHOLE_TEXTS)
def test_odd_entry_leaves_the_others(field, odd):
    marked = json.dumps(
        {'number': 7, 'instances': [ENTRY, {**ENDPOINT, field: 'X'}, ENDPOINT]}
    )
    decoded = read(marked.replace('"X"', odd))
    assert [entry.id for entry in decoded.unwrap().entries] == ['a']
    assert decoded.unwrap().endpoints[-1].id == 'e'


@given(value=st.binary(max_size=80))
def test_list_of_any_bytes_is_refused(value):
    assert listing.read_listing((200, value)).value_or(None) is None
