"""Reload settings that change while the process runs."""

import asyncio
from collections import abc
import os

from returns import result

from ..configuring import problem
from ..reporting import logevents
from . import settings as entrysettings

__all__ = ['SettingsWatch']

CHECK_INTERVAL_S = 1.0


class SettingsWatch:
    """Watcher of the settings file.

    An unreadable or invalid file leaves the settings in force unchanged.
    """

    def __init__(
        self,
        path: str,
        apply: abc.Callable[[entrysettings.EntrySettings], None],
        write_event: logevents.WriteEvent,
    ):
        self.path = path
        self.apply = apply
        self.write_event = write_event
        self.file_stamp = self._get_file_stamp()

    def reload(self) -> None:
        """Read the file again and apply its settings if they are valid."""
        self.file_stamp = self._get_file_stamp()
        loaded = entrysettings.load_entry_settings(self.path)
        if isinstance(loaded, result.Failure):
            problems = [
                problem.format_problem(settings_problem)
                for settings_problem in loaded.failure()
            ]
            self.write_event(logevents.SettingsRefused(problems=problems))
            return
        self.apply(loaded.unwrap())
        self.write_event(logevents.SettingsReloaded())

    async def run(self) -> None:
        """Reload the file whenever it changes, also without a signal."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._get_file_stamp() != self.file_stamp:
                self.reload()

    def _get_file_stamp(self) -> tuple[int, int]:
        try:
            status = os.stat(self.path)
        except OSError:
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)
