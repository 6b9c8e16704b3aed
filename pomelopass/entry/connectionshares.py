"""Divide the descriptors of a process among its listening addresses."""

import dataclasses
import resource

from . import settings as entrysettings

__all__ = ['ConnectionShares', 'make_shares']

# The platform reserves these for files.
RESERVED_DESCRIPTORS = 200
# A connection at rest and what it may have unread.
CONNECTION_BYTES = 32_768
MEMORY_SHARE = 0.4
BYTES_PER_MB = 1_000_000
MIN_CONNECTIONS = 16
MAX_CONNECTIONS = 6000
# What remains is for the table, endpoints, tunnels and new connections.
CALLER_SHARE = 0.5
RELAY_SHARE = 0.15
DIRECTORY_SHARE = 0.1
PROBE_SHARE = 0.03


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionShares:
    """Largest number of connections by listening address."""

    caller: int
    directory: int
    # Readiness and metrics, each.
    probe: int
    relay: int


def make_shares(
    settings: entrysettings.EntrySettings, soft_limit: int
) -> ConnectionShares:
    """Return the shares below the descriptor limits and in the memory."""
    descriptors = soft_limit
    if soft_limit == resource.RLIM_INFINITY:
        descriptors = MAX_CONNECTIONS * 2
    if settings.max_descriptors is not None:
        descriptors = min(descriptors, settings.max_descriptors)
    total = min(
        descriptors - RESERVED_DESCRIPTORS,
        MEMORY_SHARE * settings.memory_mb * BYTES_PER_MB / CONNECTION_BYTES,
    )
    caller, directory, probe, relay = (
        min(max(int(share * total), MIN_CONNECTIONS), MAX_CONNECTIONS)
        for share in (CALLER_SHARE, DIRECTORY_SHARE, PROBE_SHARE, RELAY_SHARE)
    )
    return ConnectionShares(caller, directory, probe, relay)
