"""Define the addresses that an instance listens on."""

import dataclasses

__all__ = ['OwnAddresses']


@dataclasses.dataclass(slots=True)
class OwnAddresses:
    """IP address and port for each kind of client."""

    callers: str = ''
    peers: str = ''
    operators: str = ''
