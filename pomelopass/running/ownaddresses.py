"""Hold where an instance listens."""

import dataclasses

__all__ = ['OwnAddresses']


@dataclasses.dataclass(slots=True)
class OwnAddresses:
    """Hold IP address and port for each kind of client."""

    callers: str = ''
    peers: str = ''
    operators: str = ''
