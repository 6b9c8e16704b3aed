"""Check frames between instances, garbled and whole."""

import asyncio
import struct

import hypothesis
from hypothesis import strategies as st

from pomelopass.edges import peerclient
from pomelopass.edges import peerframe
from pomelopass.edges import peerserver
from pomelopass.wire.gen.peer import Peer
from pomelopass.wire.gen.peer import ttypes


class EchoHandler:
    """Answer with what came."""

    def exchange(self, digest):
        """Return the digest."""
        return digest

    def ask_claim(self, key, fingerprint):
        """Return that the request is in progress."""
        return ttypes.ClaimAnswer(ttypes.ClaimState.IN_PROGRESS)


def make_digest() -> ttypes.Digest:
    """Return a digest with one news item."""
    item = ttypes.News('leaving', 'e@1', '1', 100)
    return ttypes.Digest(
        incarnation='i', config_version=7, news=[item], accepting=True
    )


async def run_with_server(data: bytes | None) -> tuple[int, object]:
    """Send raw bytes, then a good call; return bad frames and answer."""
    bad = []
    server = peerserver.PeerServer(EchoHandler(), lambda: bad.append(1))
    address, listener = await peerserver.start_server(server, '127.0.0.1:0')
    port = int(address.rpartition(':')[2])
    if data is not None:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(data)
        writer.write_eof()
        async with asyncio.timeout(5):
            await reader.read()
        writer.close()
    client = peerclient.PeerClient()
    answer = await client.exchange(address, make_digest())
    await client.close()
    listener.close()
    server.close()
    return len(bad), answer


async def test_digest_comes_back_as_it_went():
    _, answer = await run_with_server(None)
    assert answer.config_version == 7
    assert answer.news[0].key == 'e@1'


async def test_oversized_frame_is_dropped_and_counted():
    size = peerframe.MAX_FRAME_BYTES + 1
    bad, answer = await run_with_server(struct.pack('>I', size))
    assert bad == 1
    assert answer is not None


@hypothesis.given(st.binary(min_size=1, max_size=200))
@hypothesis.settings(max_examples=30)
def test_garbled_frame_never_brings_the_server_down(data):
    frame = peerframe.make_frame(data)
    _, answer = asyncio.run(run_with_server(frame))
    assert answer is not None


def test_truncated_call_is_a_bad_frame():
    protocol = peerframe.make_writer()
    Peer.Client(protocol).send_exchange(make_digest())
    data = protocol.trans.getvalue()
    frame = peerframe.make_frame(data[: len(data) // 2])
    bad, answer = asyncio.run(run_with_server(frame))
    assert bad == 1
    assert answer is not None
