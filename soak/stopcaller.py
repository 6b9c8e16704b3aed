"""Send orders to an instance that stops until it is gone."""

import asyncio

from pomelopass.edges import httpclient
from pomelopass import message
from soak import clients

__all__ = ['send_until_gone']

PAUSE_S = 0.05
DEADLINES_MS = (300, 1000, 3000)


async def send_until_gone(callers: clients.Clients, name: str) -> None:
    """Send orders over kept connections; record their outcomes."""
    http = httpclient.HttpClient()
    address = callers.address_by_name[name]
    while await _send_order(callers, http, address):
        await asyncio.sleep(PAUSE_S)
    await http.close()


async def _send_order(
    callers: clients.Clients, http: httpclient.HttpClient, address: str
) -> bool:
    """Return whether the instance took a connection."""
    callers.counter += 1
    callers.stayed += 1
    order = f'order-{callers.counter}'
    deadline_ms = callers.rng.choice(DEADLINES_MS)
    request = message.Request(
        'POST',
        '/orders/1',
        (
            ('host', callers.host),
            ('attempt-id', order),
            ('deadline-ms', str(deadline_ms)),
            *callers.make_credentials(order),
        ),
        b'{}',
    )
    try:
        reply = await http.open(address, request, clients.CALL_TIMEOUT_MS)
        await reply.read(clients.MAX_REPLY_BYTES)
        callers.status_by_order[order] = reply.status
    except message.ExchangeError as error:
        if not error.bytes_written:
            return False
        callers.status_by_order[order] = 0
        if error.kind in message.DISCONNECT_KINDS:
            callers.cut_orders.append(order)
    return True
