"""Split addresses of peers and endpoints."""

import ipaddress

from .. import decoding

__all__ = ['split_address']


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of IP:PORT; raise OSError for others.

    A name would be looked up, and a port out of range is no connection
    error to the event loop.

    >>> split_address('[::1]:80')
    ('::1', 80)
    """
    host, _, port = address.rpartition(':')
    host = host.strip('[]')
    number = decoding.parse_count(port)
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise OSError(f'not IP:PORT: {address[:80]!r}') from None
    if number is None or not 0 < number <= decoding.MAX_PORT:
        raise OSError(f'not IP:PORT: {address[:80]!r}')
    return host, number
