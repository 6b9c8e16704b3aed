"""Show the decisions about one request, sample or batch."""

import dataclasses
from typing import Annotated
from urllib import parse

import cappa

from .. import command
from . import timeline

__all__ = ['Explain']


@cappa.command(name='explain', help='Show decisions and their reasons.')
@dataclasses.dataclass
class Explain:
    """Arguments of the command."""

    subject: Annotated[
        str, cappa.Arg(help='Id of a request, a sample or a batch.')
    ]

    def run(self, access: command.Access) -> None:
        """Print the events of the subject on all instances."""
        target = f'/explain/{parse.quote(self.subject, safe="")}'
        accesses = command.find_instances(access)
        events = timeline.collect_events(accesses, target)
        if not events:
            text = f'No instance has an event of {self.subject!r}.'
            raise command.CommandError(text)
        for event in events:
            print(timeline.format_event(event))
