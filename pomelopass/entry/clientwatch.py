"""Report how often clients exceeded the limits of a process."""

import asyncio
from collections import abc

from ..edges import callermemory
from ..edges import connectionlimit
from ..reporting import logevents

__all__ = ['ClientWatch']

INTERVAL_S = 5.0


class ClientWatch:
    """Writer of one event an interval in which clients were limited."""

    def __init__(
        self,
        memory: callermemory.CallerMemory,
        limits: abc.Sequence[connectionlimit.ConnectionLimit],
        write_event: logevents.WriteEvent,
    ):
        self.memory = memory
        self.limits = limits
        self.write_event = write_event
        self.reported = self.get_counts()

    async def run(self) -> None:
        """Write events until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            self.report()

    def get_counts(self) -> dict[str, int]:
        """Return what became of clients above a limit since the start."""
        connections = [limit.count_by_outcome for limit in self.limits]
        bodies = self.memory.count_by_outcome
        return {
            'connections_refused': sum(
                counts['refused'] for counts in connections
            ),
            'connections_evicted': sum(
                counts['evicted'] for counts in connections
            ),
            'bodies_waited': bodies['waited'],
            'bodies_refused': bodies['refused'],
            'bodies_evicted': bodies['evicted'],
        }

    def report(self) -> None:
        """Write an event with the counts since the last one, if any."""
        counts = self.get_counts()
        growth = {
            name: count - self.reported[name] for name, count in counts.items()
        }
        self.reported = counts
        if any(growth.values()):
            self.write_event(
                logevents.ClientsLimited(
                    **growth, held_bytes=int(self.memory.total)
                )
            )
