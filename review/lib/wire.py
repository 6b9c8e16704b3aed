"""Serve and send HTTP/1.1 for stand-ins, with the standard library only."""

import asyncio
import dataclasses
import json
import socket

READ_BYTES = 65_536


@dataclasses.dataclass
class Request:
    """A request as it came in."""

    method: str
    target: str
    headers: dict
    body: bytes

    @property
    def path(self):
        """Return the target without its query."""
        return self.target.partition('?')[0]


@dataclasses.dataclass
class Reply:
    """A reply; the chunks, if any, are an async generator of bytes."""

    status: int
    headers: tuple = ()
    body: bytes = b''
    chunks: object = None


class Link:
    """One connection that a server accepted."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.buffer = b''
        # Nothing more passes over a silent connection, in either direction.
        self.silent = False
        # Target of the call that awaits its answer, or empty.
        self.pending = ''

    def reset(self):
        """Reset the connection."""
        self.writer.transport.abort()


def make_json(status, value):
    """Return a reply with a JSON body."""
    body = json.dumps(value, separators=(',', ':')).encode()
    return Reply(status, (('Content-Type', 'application/json'),), body)


class Server:
    """HTTP server; a handler that returns None leaves a call unanswered."""

    def __init__(self, handler):
        self.handler = handler
        self.links = set()
        self.listener = None
        self.tasks = set()

    async def start(self, host, port):
        """Listen on an address."""
        self.listener = await asyncio.start_server(
            self._serve, host, port, limit=READ_BYTES
        )

    def stop(self):
        """Stop listening and reset all connections."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for link in list(self.links):
            link.reset()

    async def _serve(self, reader, writer):
        link = Link(reader, writer)
        self.links.add(link)
        try:
            while True:
                request = await _read_request(link)
                if request is None:
                    return
                if link.silent:
                    await asyncio.Event().wait()
                link.pending = request.target
                if not await self._answer(link, request):
                    return
                link.pending = ''
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.links.discard(link)
            writer.close()

    async def _answer(self, link, request):
        """Handle a request unless the caller closes before."""
        handling = asyncio.ensure_future(self._handle(link, request))
        self.tasks.add(handling)
        closing = asyncio.ensure_future(_buffer_more(link))
        try:
            await asyncio.wait(
                (handling, closing), return_when=asyncio.FIRST_COMPLETED
            )
            return handling.result() if handling.done() else False
        finally:
            self.tasks.discard(handling)
            for task in (handling, closing):
                task.cancel()
            await asyncio.gather(handling, closing, return_exceptions=True)

    async def _handle(self, link, request):
        reply = await self.handler(link, request)
        if reply is None or link.silent:
            await asyncio.Event().wait()
        head = [f'HTTP/1.1 {reply.status} X']
        head += [f'{name}: {value}' for name, value in reply.headers]
        if reply.chunks is None:
            head.append(f'Content-Length: {len(reply.body)}')
        else:
            head.append('Transfer-Encoding: chunked')
        data = '\r\n'.join([*head, '', '']).encode()
        link.writer.write(data + reply.body)
        if reply.chunks is not None:
            async for chunk in reply.chunks:
                if link.silent:
                    await asyncio.Event().wait()
                link.writer.write(b'%x\r\n%s\r\n' % (len(chunk), chunk))
            link.writer.write(b'0\r\n\r\n')
        await link.writer.drain()
        return True


async def _buffer_more(link):
    """Buffer what comes during a reply; return when the caller closes."""
    while True:
        data = await link.reader.read(READ_BYTES)
        if not data:
            return
        link.buffer += data


async def _fill(link):
    data = await link.reader.read(READ_BYTES)
    if not data:
        raise ConnectionResetError
    link.buffer += data


async def _read_request(link):
    while b'\r\n\r\n' not in link.buffer:
        await _fill(link)
    head, _, link.buffer = link.buffer.partition(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    method, target, _ = first.split(' ', 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.lower()] = value.strip()
    size = int(headers.get('content-length', '0'))
    while len(link.buffer) < size:
        await _fill(link)
    body, link.buffer = link.buffer[:size], link.buffer[size:]
    return Request(method, target, headers, body)


async def send(address, method, target, headers=(), body=b'', timeout_s=10.0):
    """Send one request on a new connection; return status and body.

    Return status 0 if there was no complete answer.
    """
    status, _, content = await send_full(
        address, method, target, headers, body, timeout_s
    )
    return status, content


async def send_full(
    address, method, target, headers=(), body=b'', timeout_s=10.0
):
    """Send one request; return its status, headers and body."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                lines = [f'{method} {target} HTTP/1.1']
                lines += [f'{name}: {value}' for name, value in headers]
                lines.append(f'Content-Length: {len(body)}')
                writer.write('\r\n'.join([*lines, '', '']).encode() + body)
                return await _read_reply(reader)
            finally:
                writer.close()
    except (OSError, EOFError, ValueError):
        # TimeoutError is an OSError; the others are cut answers.
        return 0, {}, b''


async def _read_reply(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.strip().split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.lower()] = value.strip()
    status = int(first.split(' ')[1])
    if headers.get('transfer-encoding') != 'chunked':
        size = int(headers.get('content-length', '0'))
        return status, headers, await reader.readexactly(size)
    parts = []
    while True:
        size = int(await reader.readline(), 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return status, headers, b''.join(parts)
        parts.append(chunk[:-2])


def find_free_port(hosts):
    """Return a port that is free on all addresses."""
    while True:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        if all(_is_free(host, port) for host in hosts):
            return port


def _is_free(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
