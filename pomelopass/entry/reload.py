"""Take in settings that change while the process runs."""

import asyncio
from collections import abc
import os

from returns import result

from ..configuring import problem
from ..reporting import logevents
from . import settings as entrysettings

__all__ = ['SettingsWatch']

CHECK_EVERY_S = 1.0


class SettingsWatch:
    """Hold the file and the state in which it was read last.

    A file that can't be read leaves the settings in force as they are.
    """

    def __init__(
        self,
        path: str,
        take: abc.Callable[[entrysettings.EntrySettings], None],
        write_event: logevents.WriteEvent,
    ):
        self.path = path
        self.take = take
        self.write_event = write_event
        self.stamp = self._get_stamp()

    def reload(self) -> None:
        """Read the file again."""
        self.stamp = self._get_stamp()
        loaded = entrysettings.load_entry_settings(self.path)
        if isinstance(loaded, result.Failure):
            told = [problem.format_problem(one) for one in loaded.failure()]
            self.write_event(logevents.SettingsRefused(problems=told))
            return
        self.take(loaded.unwrap())
        self.write_event(logevents.SettingsReloaded())

    async def run(self) -> None:
        """Read the file again whenever it changes without a signal."""
        while True:
            await asyncio.sleep(CHECK_EVERY_S)
            if self._get_stamp() != self.stamp:
                self.reload()

    def _get_stamp(self) -> tuple[int, int]:
        try:
            found = os.stat(self.path)
        except OSError:
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)
