"""Show one time line of events over all processes."""

import dataclasses
import pathlib
from typing import Annotated

import cappa

from .. import command
from ..reporting import isotime
from ..reporting import timelinepage

__all__ = ['Timeline']


@cappa.command(name='timeline', help='Show the events of all processes.')
@dataclasses.dataclass
class Timeline:
    """Hold the arguments of the command."""

    html: Annotated[
        str | None, cappa.Arg(long=True, help='Write a page to this file.')
    ] = None
    also: Annotated[
        list[str],
        cappa.Arg(
            long=True, help='Address of another process with /timeline.'
        ),
    ] = dataclasses.field(default_factory=list)
    last: Annotated[
        int, cappa.Arg(long=True, help='Number of events to show.')
    ] = 1000

    def run(self, access: command.Access) -> None:
        """Print the events in order or write them as a page."""
        accesses = command.find_instances(access)
        accesses += [command.Access(one, '') for one in self.also]
        events = collect(accesses, '/timeline')[-self.last :]
        if self.html is not None:
            page = timelinepage.make_page(
                [_make_page_event(one) for one in events]
            )
            pathlib.Path(self.html).write_text(page, encoding='utf-8')
            print(f'{len(events)} events in {self.html}')
            return
        for one in events:
            print(format_event(one))


def collect(accesses: list[command.Access], target: str) -> list[dict]:
    """Return the events of many processes in one order."""
    events = []
    for _, answer in command.call_all(accesses, target):
        if answer is not None:
            events.extend(answer['events'])
    events.sort(key=lambda one: (one['utc_ms'], one['process'], one['order']))
    return events


def format_event(one: dict) -> str:
    """Return an event as one line."""
    time = isotime.format_utc(one['utc_ms'])
    return (
        f'{time}  {one["process"]:24s}  {one["kind"]:20s}'
        f'  {one["subject"]}  {one["detail"]}'
    )


def _make_page_event(one: dict) -> timelinepage.PageEvent:
    text = f'{one["kind"]}: {one["subject"]} {one["detail"]}'
    return timelinepage.PageEvent(one['utc_ms'], one['process'], text)
