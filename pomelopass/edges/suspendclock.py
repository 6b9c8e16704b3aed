"""Run the event loop on a clock that counts suspended time."""

import asyncio
import time

__all__ = ['SuspendAwareLoop']


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """Event loop whose time also advances while the machine is suspended.

    Ages of copies, leases, permits and deadlines are compared with the time
    of the loop. On a clock that stands still meanwhile, all of them would
    seem valid after a pause in which they ran out.
    """

    def time(self) -> float:
        """Return the seconds since the start of the machine."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
