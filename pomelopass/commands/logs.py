"""Explain and show what saved logs tell, without a live instance."""

import dataclasses
import pathlib
import sys
from typing import Annotated

import cappa

from .. import command
from ..reporting import clockskew
from ..reporting import savedlogs
from ..reporting import timelinepage

__all__ = ['Logs']


@cappa.command(name='explain', help='Show all events of one id in order.')
@dataclasses.dataclass
class ExplainLogs:
    """Hold the arguments of an explanation."""

    subject: Annotated[
        str, cappa.Arg(help='Id of a request, an item or a job.')
    ]
    files: Annotated[
        list[str], cappa.Arg(help='Log files; - is standard input.')
    ]

    def run(self, access: command.Access | None) -> None:
        """Print the events of the id and of its job on all instances."""
        lines = _read(self.files)
        found = savedlogs.find_related(lines, self.subject)
        if not found:
            raise command.CommandError(f'No line names {self.subject!r}.')
        shown = {one.instance for one in found}
        for remark in _get_remarks(
            [one for one in lines if one.instance in shown]
        ):
            print(f'# {remark}')
        for one in found:
            print(savedlogs.format_line(one))


@cappa.command(name='timeline', help='Show the events of all files in order.')
@dataclasses.dataclass
class TimelineLogs:
    """Hold the arguments of a time line."""

    files: Annotated[
        list[str], cappa.Arg(help='Log files; - is standard input.')
    ]
    html: Annotated[
        str | None, cappa.Arg(long=True, help='Write a page to this file.')
    ] = None
    without: Annotated[
        list[str], cappa.Arg(long=True, help='Leave an event out by name.')
    ] = dataclasses.field(default_factory=list)

    def run(self, access: command.Access | None) -> None:
        """Print the events or write them as a page."""
        lines = _read(self.files)
        found = [one for one in lines if one.event not in self.without]
        remarks = _get_remarks(lines)
        if self.html is None:
            for remark in remarks:
                print(f'# {remark}')
            for one in found:
                print(savedlogs.format_line(one))
            return
        page = timelinepage.make_page(
            [_make_event(one) for one in found], remarks
        )
        pathlib.Path(self.html).write_text(page, encoding='utf-8')
        print(f'{len(found)} events in {self.html}')


@cappa.command(name='logs', help='Read saved logs of several instances.')
@dataclasses.dataclass
class Logs:
    """Hold what to do with the logs."""

    action: cappa.Subcommands[ExplainLogs | TimelineLogs]

    def run(self, access: command.Access | None) -> None:
        """Run the action."""
        self.action.run(access)


def _read(files: list[str]) -> list[savedlogs.LogLine]:
    sources = []
    for name in files:
        if name == '-':
            sources.append(sys.stdin.read().splitlines())
            continue
        try:
            text = pathlib.Path(name).read_text(errors='replace')
        except OSError as error:
            told = f'A log file cannot be read: {error}'
            raise command.CommandError(told) from None
        sources.append(text.splitlines())
    return savedlogs.read_lines(sources)


def _make_event(one: savedlogs.LogLine) -> timelinepage.PageEvent:
    text = f'{one.event} {savedlogs.format_fields(one)}'
    return timelinepage.PageEvent(one.utc_ms or 0.0, one.instance, text)


def _get_remarks(lines: list[savedlogs.LogLine]) -> list[str]:
    gaps = clockskew.find_clock_skews(lines)
    return [clockskew.format_clock_skew(one) for one in gaps]
