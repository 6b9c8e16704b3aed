"""Show the events of all processes as one timeline."""

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
    """Arguments of the command."""

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
        accesses += [command.Access(address, '') for address in self.also]
        events = collect_events(accesses, '/timeline')[-self.last :]
        if self.html is not None:
            page = timelinepage.make_page(
                [_make_page_event(event) for event in events]
            )
            pathlib.Path(self.html).write_text(page, encoding='utf-8')
            print(f'{len(events)} events in {self.html}')
            return
        for event in events:
            print(format_event(event))


def collect_events(accesses: list[command.Access], target: str) -> list[dict]:
    """Return the events of all processes ordered by time."""
    events = []
    for _, answer in command.call_all(accesses, target):
        if answer is not None:
            events.extend(answer['events'])
    events.sort(
        key=lambda event: (event['utc_ms'], event['process'], event['order'])
    )
    return events


def format_event(event: dict) -> str:
    """Return an event as one line."""
    time = isotime.format_utc(event['utc_ms'])
    return (
        f'{time}  {event["process"]:24s}  {event["kind"]:20s}'
        f'  {event["subject"]}  {event["detail"]}'
    )


def _make_page_event(event: dict) -> timelinepage.PageEvent:
    text = f'{event["kind"]}: {event["subject"]} {event["detail"]}'
    return timelinepage.PageEvent(event['utc_ms'], event['process'], text)
