"""Test that no header of a caller passes for that of an instance."""

import asyncio
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
import orjson

from pomelopass.edges import callerload
from pomelopass.edges import requestreader
from pomelopass.platform import configdecode
from pomelopass.platform import endpointclient
from pomelopass.platform import ingress as ingresses
from pomelopass.registry import endpoint as endpoints
from pomelopass.requests import outcome as outcomes
from pomelopass.requests import stopgate
from tests import entrybuilders
from tests import workspacebuilders as builders

LIMITS = requestreader.Limits(100_000, 100_000, 1000, 1000)
TARGET = endpoints.Endpoint('e0', 'desk', '1.2.3.4:5', 'n', 8, False, {}, 7)
KEYS = ('red-key-1', 'blue-key-1', 'gone-key-1')
SCHEMES = ('Bearer', 'bearer', 'BEARER')

any_case = st.tuples(
    st.sampled_from(('tenant', 'authorization')),
    st.lists(st.booleans(), min_size=13, max_size=13),
).map(
    lambda drawn: ''.join(
        letter.upper() if is_upper else letter
        for letter, is_upper in zip(drawn[0], drawn[1], strict=False)
    )
)
values = st.one_of(
    st.sampled_from(('red', 'blue', '', 'Basic x')),
    st.tuples(st.sampled_from(SCHEMES), st.sampled_from(KEYS)).map(' '.join),
)
headers = st.lists(st.tuples(any_case, values), max_size=6)
options = st.sampled_from(('keep-alive', 'Tenant', 'authorization, tenant'))


class Forwarder:
    """Forwarder that answers each call and records it."""

    def __init__(self):
        self.calls = []

    async def forward(self, call, route):
        self.calls.append(call)
        return outcomes.Outcome(outcomes.OutcomeKind.ANSWERED, status=200)


def make_bytes(head, trailers, connection):
    lines = [
        'POST /scores/1 HTTP/1.1',
        f'Host: {entrybuilders.HOST}',
        'Attempt-Id: r1',
        f'Connection: {connection}',
        *(f'{name}: {value}' for name, value in head),
        'Transfer-Encoding: chunked',
        '',
        '1',
        'x',
        '0',
        *(f'{name}: {value}' for name, value in trailers),
        '',
        '',
    ]
    return '\r\n'.join(lines).encode()


async def serve(data, is_anonymous):
    """Return the status, and the headers that an endpoint gets, if any."""
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    request = await requestreader.RequestReader(
        reader, mock.Mock(), callerload.CallerLoad()
    ).read(LIMITS)
    value = builders.make_configuration(
        anonymous=('scores',) if is_anonymous else ()
    )
    configuration = configdecode.decode_configuration(
        orjson.dumps(value)
    ).unwrap()
    forwarder = Forwarder()
    ingress = ingresses.Ingress(
        lambda: configuration,
        forwarder,
        *(None, None, None, None, 1.0),
        lambda event: None,
        stopgate.StopGate(),
        lambda: 0.0,
    )
    reply = await ingress.handle(request)
    sent = [
        endpointclient.make_headers(TARGET, call) for call in forwarder.calls
    ]
    return reply.status, sent


def get_expected_workspace(head):
    presented = {
        tuple(value.lower().split())
        for name, value in head
        if name.lower() == 'authorization'
    }
    by_credentials = {
        ('bearer', 'red-key-1'): 'red',
        ('bearer', 'blue-key-1'): 'blue',
    }
    if len(presented) != 1:
        return None
    return by_credentials.get(presented.pop())


# One header that slipped through would run under the wrong name.
@given(headers, headers, options, st.booleans())
def test_name_comes_from_the_key_alone_whatever_headers_there_are(
    head, trailers, connection, is_anonymous
):
    data = make_bytes(head, trailers, connection)
    status, sent = asyncio.run(serve(data, is_anonymous))
    workspace = get_expected_workspace(head)
    if workspace is None and not is_anonymous:
        assert (status, sent) == (401, [])
        return
    assert status == 200
    (received,) = sent
    names = [value for name, value in received if name.lower() == 'tenant']
    assert names == ([workspace] if workspace else [])
    assert not [1 for name, _ in received if name.lower() == 'authorization']
    assert not any(key in repr(received) for key in KEYS)
