"""Test that every reader of untrusted bytes bears odd values."""

import asyncio
import json
import random
import struct

from hypothesis import given
from hypothesis import strategies as st
import orjson
import pytest

from pomelopass.edges import httpclient
from pomelopass.edges import peercall
from pomelopass.edges import peerframe
from pomelopass.fleet import member
from pomelopass.jobs import events
from pomelopass.jobs import progress as progresses
from pomelopass.jobs import rowcodec
from pomelopass.leadership import leader
from pomelopass.limits import book
from pomelopass import message
from pomelopass.origins import origin
from pomelopass.platform import answerdecode
from pomelopass.platform import configdecode
from pomelopass.platform import endpointclient
from pomelopass.platform import endpointdecode
from pomelopass.platform import jobdecode
from pomelopass.platform import rowclient
from pomelopass.registry import endpoint as endpoints
from pomelopass.requests import call as calls
from pomelopass.table import relay
from pomelopass.table import relayserver
from pomelopass.table import rows
from pomelopass.wire.gen.relay import TableRelay
from pomelopass.wire.gen.relay import ttypes
from standins import rowtable
from tests import entrybuilders
from tests import oddvalues


def decode_job(value):
    request = message.Request('POST', '/jobs/x', (), value)
    return jobdecode.decode_submission('j', 'h', request).value_or(None)


def decode_text(value):
    row = rows.Row(rows.Key('t', '', 'job/item'), value, 1)
    return rowcodec.decode_progress(row)


RECORD = {
    'id': 'j',
    'owner': 'a-1',
    'owner_name': 'a',
    'total': 3,
    'chunks': 1,
    'accepted_ms': 5,
}
RESULT = {'item_id': 'i', 'completed': True, 'text': 't', 'versions': [1]}
ENDPOINT_REPORT = {
    'models': [{'name': 'm', 'version': 1}],
    'busy': False,
    'seq': 2,
}
# By name: the decoder, and a value that it accepts.
DECODERS = {
    'entry': (
        lambda value: endpointdecode.decode_endpoint('e', value).value_or(
            None
        ),
        {**oddvalues.ENTRY, 'models': [{'name': 'm', 'version': 1}]},
    ),
    'report': (
        lambda value: (
            endpointdecode.decode_report(value)
            .map(lambda report: report.model_dump())
            .value_or(None)
        ),
        ENDPOINT_REPORT,
    ),
    'configuration': (
        lambda value: configdecode.decode_configuration(value).value_or(None),
        entrybuilders.make_configuration(),
    ),
    'job': (
        decode_job,
        entrybuilders.make_job_body(entrybuilders.make_submission()),
    ),
    'member': (member.decode_member, oddvalues.MEMBER),
    'limits': (
        book.decode_limits,
        {'e': {'per_s': 2.0, 'observed_ms': 5}},
    ),
    'base': (origin.decode_base, {'software': 'v', 'absent_since_ms': 1}),
    'origin': (
        origin.decode_record,
        {'service': 's', 'software': 'v', 'created_ms': 1},
    ),
    'leader': (
        leader.decode_leader,
        {'holder': 'a', 'holder_name': 'b', 'fence': 1, 'confirmations': 2},
    ),
    'record': (rowcodec.decode_record, RECORD),
    'result': (
        lambda value: rowcodec.decode_results(
            [rows.Row(rows.Key('t', '', 'j/000000/000'), value, 1)]
        ),
        RESULT,
    ),
}


def encode_bytes(value):
    if isinstance(value, bytes):
        return value.decode('latin-1')
    return str(value)


def check(decoder, value):
    """Check that a value is decoded into what can be logged, or refused."""
    try:
        decoded = decoder(value)
    except ValueError:
        return None
    orjson.dumps(decoded, default=encode_bytes, option=orjson.OPT_NON_STR_KEYS)
    return decoded


def list_places(value, place=()):
    """Return the place of each value within a JSON value."""
    places = [place]
    children = ()
    if isinstance(value, dict):
        children = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    for key, child in children:
        places.extend(list_places(child, (*place, key)))
    return places


def replace(value, place, marker):
    if not place:
        return marker
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[place[0]] = replace(value[place[0]], place[1:], marker)
    return copy


@pytest.mark.parametrize('name', DECODERS)
def test_decoder_accepts_its_value_and_further_fields(name):
    decoder, value = DECODERS[name]
    assert check(decoder, json.dumps(value).encode())
    if name != 'limits':
        value = {**value, 'field_of_a_newer_build': {'x': [1]}}
        assert check(decoder, json.dumps(value).encode())


@pytest.mark.parametrize('name', DECODERS)
@given(data=st.data())
def test_decoder_refuses_odd_values_without_an_error_of_its_own(name, data):
    decoder, value = DECODERS[name]
    place = data.draw(st.sampled_from(list_places(value)))
    text = data.draw(st.sampled_from(oddvalues.JSON_TEXTS))
    marked = json.dumps(replace(value, place, 'PLACE'))
    check(decoder, marked.replace('"PLACE"', text).encode())


@pytest.mark.parametrize('name', DECODERS)
@given(value=st.binary(max_size=60))
def test_decoder_refuses_any_bytes(name, value):
    check(DECODERS[name][0], value)


@given(value=st.binary(max_size=60))
def test_stored_text_of_any_bytes_is_refused(value):
    check(decode_text, value)


def test_submission_is_stored_and_decoded_unchanged():
    submission = entrybuilders.make_submission()
    values = [value for _, value in rowcodec.encode_submission(submission)]
    assert rowcodec.decode_submission(values) == submission
    snapshot = progresses.Snapshot(('a',), (1,), '1', software='v')
    key, value = rowcodec.encode_progress('j', 'i', snapshot)
    assert rowcodec.decode_progress(rows.Row(key, value, 1)) == ('i', snapshot)


NUMBERS = st.sampled_from(
    ['9' * 5000, '9' * 400, '-1', 'inf', 'nan', '1e999', '', ',', '\u00b2']
)
NUMBER_HEADERS = (
    'instance-load',
    'weight-versions',
    'server-limit',
    'keep-alive',
)


@given(name=st.sampled_from(NUMBER_HEADERS), text=NUMBERS)
def test_head_of_an_answer_with_odd_numbers_is_decoded(name, text):
    for value in (text, f'{text},{text},{text}', f'timeout={text}'):
        reply = message.OpenReply(200, ((name, value),), None, 0, None)
        answer = answerdecode.decode_answer(reply)
        orjson.dumps([answer.weight_version, answer.limit_per_s, answer.load])
        assert httpclient.get_idle_limit_ms(((name, value),)) <= 60_000


@given(event_id=NUMBERS, version=NUMBERS)
def test_event_with_odd_numbers_is_parsed_or_refused(event_id, version):
    parser = events.EventParser('weight-versions', '3')
    data = f'id: {event_id}\nweight-versions: {version}\ndata: x\n\n'
    try:
        parsed = parser.feed(data.encode())
    except events.BadEventError:
        return
    orjson.dumps([event.weight_version for event in parsed])


ADDRESSES = [
    json.loads(value)['address']
    for name, value in oddvalues.ENTRY_BY_NAME.items()
    if name.startswith(('port', 'host', 'address without'))
]


@pytest.mark.parametrize('address', ADDRESSES, ids=range(len(ADDRESSES)))
async def test_call_to_an_odd_address_fails_as_a_connection_does(address):
    client = endpointclient.EndpointClient(httpclient.HttpClient())
    target = endpoints.Endpoint('e', 's', address, 'n', 1, False, {}, 1)
    call = calls.Call('i', 'h', 'POST', '/', (), b'', None)
    with pytest.raises(calls.CallFailedError) as failure:
        await client.open(target, call, 500.0)
    assert not failure.value.may_have_run
    assert await client.fetch_report(target) is None
    with pytest.raises((OSError, TimeoutError)):
        await peercall.connect(address, 200.0)


class ReplyingHttp:
    """HTTP client whose replies have a given body."""

    def __init__(self, body):
        self.body = body
        self.pool = httpclient.HttpClient().pool

    async def open(self, address, request, timeout_ms, fresh=False):
        async def read():
            yield self.body

        return message.OpenReply(200, (), read(), 1, lambda: None)


REPLY = {
    'rows': [
        {'table': 't', 'part': '', 'key': 'k', 'value': 'eA==', 'ver': 3},
        {'table': 't', 'part': '', 'key': 'l', 'removed': True, 'ver': 4},
    ],
    'parts': ['a'],
    'has_more': False,
    'ver': 5,
    'now_ms': 6,
}
TABLE_CALLS = (
    lambda table: table.read(rows.Range('t', '')),
    lambda table: table.list_parts('t'),
    lambda table: table.follow('t', 0, 0),
    lambda table: table.transact(rows.Transaction()),
)


@given(data=st.data())
def test_odd_reply_of_the_table_is_an_error_of_the_table(data):
    place = data.draw(st.sampled_from(list_places(REPLY)))
    text = data.draw(st.sampled_from(oddvalues.JSON_TEXTS))
    call = data.draw(st.sampled_from(TABLE_CALLS))
    marked = json.dumps(replace(REPLY, place, 'PLACE'))
    body = marked.replace('"PLACE"', text).encode()

    async def scenario():
        client = rowclient.RowClient(ReplyingHttp(body), 'a')
        try:
            await call(client)
        except rows.TableError as error:
            assert error.detail

    asyncio.run(scenario())


def make_frame(name='follow'):
    protocol = peerframe.make_writer()
    TableRelay.Client(protocol).send_follow('t', 0, 0)
    return protocol.trans.getvalue().replace(b'follow', name.encode())


@given(
    position=st.integers(0, 40), value=st.binary(max_size=3), cut=st.booleans()
)
def test_odd_frame_of_a_peer_gets_no_answer_or_one(position, value, cut):
    frame = make_frame()
    frame = frame[:position] + value + (b'' if cut else frame[position:])

    async def scenario():
        service = rowtable.RowService()
        server = relayserver.RelayServer(
            rowtable.RowClient(service, random.Random(1))
        )
        try:
            async with asyncio.timeout(5):
                await server.process(frame)
        except (*peercall.CALL_ERRORS, TimeoutError):
            return

    asyncio.run(scenario())


# The depth of unknown fields is up to the sender.
def test_deeply_nested_frame_of_a_peer_is_refused():
    frame = make_frame()[:-1] + b'\x9c' * 100_000
    service = rowtable.RowService()

    async def scenario():
        server = relayserver.RelayServer(
            rowtable.RowClient(service, random.Random(1))
        )
        with pytest.raises(peercall.CALL_ERRORS):
            await server.process(frame)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'rows_left_out',
    [
        ttypes.Rows(),
        ttypes.Rows([ttypes.RowValue()], False, 1, 1),
        ttypes.Rows([], False),
        ttypes.Rows([ttypes.RowValue(ttypes.RowName('t', '', 'k'))], False, 1),
        ttypes.Rows(
            [ttypes.RowValue(ttypes.RowName('t', '', 'k'), b'v')], False, 1, 1
        ),
    ],
)
async def test_answer_of_a_peer_without_its_fields_is_an_error(rows_left_out):
    async def serve(reader, writer):
        await peerframe.read_frame(reader)
        protocol = peerframe.make_writer()
        protocol.writeMessageBegin('follow', 2, 0)
        TableRelay.follow_result(success=rows_left_out).write(protocol)
        protocol.writeMessageEnd()
        writer.write(peerframe.make_frame(protocol.trans.getvalue()))
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    table = relay.RelayedTable(lambda: [f'{host}:{port}'], random.Random(1))
    with pytest.raises(rows.TableError):
        await table.follow('t', 0, 0)
    server.close()


def test_frame_longer_than_the_limit_is_refused():
    async def scenario():
        reader = asyncio.StreamReader()
        reader.feed_data(struct.pack('>I', 2**31))
        with pytest.raises(peerframe.FrameError):
            await peerframe.read_frame(reader)

    asyncio.run(scenario())
