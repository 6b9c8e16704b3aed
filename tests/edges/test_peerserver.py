"""Test the exchange of valid and malformed frames between instances."""

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
    """Echo digests and report each claim as in progress."""

    def exchange(self, digest):
        """Return the digest."""
        return digest

    def ask_claim(self, key, fingerprint):
        """Return a claim in progress."""
        return ttypes.ClaimAnswer(ttypes.ClaimState.IN_PROGRESS)


def make_digest() -> ttypes.Digest:
    """Return a digest with one news item."""
    news_item = ttypes.News('leaving', 'e@1', '1', 100)
    return ttypes.Digest(
        incarnation='i', config_version=7, news=[news_item], accepting=True
    )


async def run_with_server(data: bytes | None) -> tuple[int, object]:
    """Send raw bytes, then a valid call; return bad frames and reply."""
    bad_frames = []
    server = peerserver.PeerServer(EchoHandler(), lambda: bad_frames.append(1))
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
    reply = await client.exchange(address, make_digest())
    await client.close()
    listener.close()
    server.close()
    return len(bad_frames), reply


async def test_digest_is_transferred_unchanged():
    _, reply = await run_with_server(None)
    assert reply.config_version == 7
    assert reply.news[0].key == 'e@1'


async def test_oversized_frame_is_dropped_and_counted():
    size = peerframe.MAX_FRAME_BYTES + 1
    bad_frame_count, reply = await run_with_server(struct.pack('>I', size))
    assert bad_frame_count == 1
    assert reply is not None


@hypothesis.given(st.binary(min_size=1, max_size=200))
@hypothesis.settings(max_examples=30)
def test_malformed_frame_does_not_stop_the_server(data):
    frame = peerframe.make_frame(data)
    _, reply = asyncio.run(run_with_server(frame))
    assert reply is not None


def test_truncated_call_is_a_bad_frame():
    protocol = peerframe.make_writer()
    Peer.Client(protocol).send_exchange(make_digest())
    data = protocol.trans.getvalue()
    frame = peerframe.make_frame(data[: len(data) // 2])
    bad_frame_count, reply = asyncio.run(run_with_server(frame))
    assert bad_frame_count == 1
    assert reply is not None
